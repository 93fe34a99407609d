// Client of the resource API of a node: typed failures and idempotent retries.
#pragma once

#include "exit_code.h"

#include "libshell/http_client.h"

#include <camphortally/resource.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace camphor::ctl {

/// Failure of a request, with the exit code that camphorctl returns for it.
class api_failure : public std::runtime_error {
public:
    api_failure(exit_code code, const std::string& message)
        : std::runtime_error(message), code_(code)
    {
    }

    exit_code code() const { return code_; }

private:
    exit_code code_;
};

/// Target node, operator name and retry limit of a client.
struct api_settings {
    shell::http_endpoint node;
    /// Sent as X-Operator and recorded in the audit trail.
    std::string operator_name;
    /// How long a change is retried with the same Operation-Id while the node or its platform is
    /// unavailable or the outcome is unknown.
    std::chrono::milliseconds retry_timeout{};
};

/// Write or deletion of one resource.
struct change_request {
    /// HTTP method: PUT or DELETE.
    std::string method;
    resource_key key;
    std::string body;
    /// Revision that the change replaces; 0 for any.
    std::int64_t if_match = 0;
    std::string operation_id;
};

/// Sends requests to the admin listener of one node.
class api_client {
public:
    explicit api_client(api_settings settings);

    /// Sends a single request and returns the JSON body of the response.
    /// @throws api_failure unless the status is 200 and the body is JSON
    nlohmann::json get(const std::string& path);
    nlohmann::json put(const std::string& path, const nlohmann::json& body);
    /// Returns the resource, or nothing when the status is 404.
    /// @throws api_failure on any other status than 200 and when the node cannot be reached
    std::optional<nlohmann::json> find(const resource_key& key);
    /// Sends a change and retries it until its outcome is known or the retry timeout has passed.
    /// Retries are idempotent, since they carry the same Operation-Id.
    /// @throws api_failure unless the change was accepted
    nlohmann::json change(const change_request& request);
    /// Calls `handler` with each resource of the kind that changes after revision `since_revision`,
    /// until the handler returns false.
    /// @throws api_failure when the stream is refused or fails
    void watch(resource_kind kind, std::int64_t since_revision,
               const std::function<bool(const nlohmann::json&)>& handler);

private:
    shell::http_answer send(const shell::http_call& call);

    api_settings settings_;
    shell::http_client http_;
};

/// Path of a resource, such as `/v1/services/NAME`, or of the list of the kind when `name` is
/// empty.
std::string resource_path(resource_kind kind, const std::string& name);

} // namespace camphor::ctl
