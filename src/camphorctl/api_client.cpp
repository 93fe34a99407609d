// Requests to the admin listener of a node, with retries of changes.
#include "api_client.h"

#include "libshell/url.h"

#include <thread>
#include <utility>

namespace camphor::ctl {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds request_timeout{5'000};
constexpr milliseconds retry_interval{200};
constexpr milliseconds watch_timeout{24LL * 60 * 60 * 1'000};

json read_body(const shell::http_answer& response)
{
    auto body = json::parse(response.body, nullptr, false);
    if (body.is_discarded()) {
        throw api_failure(exit_code::unavailable, "response body of the node is not valid JSON");
    }
    return body;
}

exit_code exit_code_for_status(int status)
{
    switch (status) {
    case 404:
        return exit_code::not_found;
    case 409:
    case 412:
        return exit_code::conflict;
    case 503:
        return exit_code::unavailable;
    default:
        return exit_code::refused;
    }
}

/// Formats an error object: its code, then one indented line per fault.
std::string format_error(const json& error)
{
    std::string out = error.value("code", "error");
    for (const auto& fault : error.value("faults", json::array())) {
        const auto pointer = fault.value("pointer", "");
        out += "\n  " + (pointer.empty() ? "" : pointer + ": ") + fault.value("reason", "");
    }
    return out;
}

api_failure make_failure(const shell::http_answer& response)
{
    const auto body = json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body.at("error").is_object()) {
        return {exit_code_for_status(response.status),
                "unexpected HTTP status " + std::to_string(response.status)};
    }
    const auto& error = body.at("error");
    const bool is_outcome_unknown = error.value("code", "") == "outcome_unknown";
    return {is_outcome_unknown ? exit_code::outcome_unknown : exit_code_for_status(response.status),
            format_error(error)};
}

bool is_retryable(exit_code code)
{
    return code == exit_code::unavailable || code == exit_code::outcome_unknown;
}

} // namespace

std::string resource_path(resource_kind kind, const std::string& name)
{
    const auto list = "/v1/" + to_string(kind) + "s";
    return name.empty() ? list : list + "/" + shell::percent_encode(name);
}

api_client::api_client(api_settings settings)
    : settings_(std::move(settings)), http_(settings_.node, request_timeout)
{
}

shell::http_answer api_client::send(const shell::http_call& call)
{
    try {
        return http_.send(call);
    } catch (const shell::http_failure& error) {
        const bool may_have_run = error.was_sent() && call.method != "GET";
        throw api_failure(may_have_run ? exit_code::outcome_unknown : exit_code::unavailable,
                          error.what());
    }
}

json api_client::get(const std::string& path)
{
    const auto response = send({"GET", path, {}, ""});
    if (response.status != 200) {
        throw make_failure(response);
    }
    return read_body(response);
}

json api_client::put(const std::string& path, const json& body)
{
    const auto response =
        send({"PUT", path, {{"X-Operator", settings_.operator_name}}, body.dump()});
    if (response.status != 200) {
        throw make_failure(response);
    }
    return read_body(response);
}

std::optional<json> api_client::find(const resource_key& key)
{
    const auto response = send({"GET", resource_path(key.kind, key.name), {}, ""});
    if (response.status == 404) {
        return std::nullopt;
    }
    if (response.status != 200) {
        throw make_failure(response);
    }
    return read_body(response);
}

json api_client::change(const change_request& request)
{
    shell::http_call call{
        request.method, resource_path(request.key.kind, request.key.name), {}, ""};
    call.body = request.body;
    call.headers = {{"Operation-Id", request.operation_id},
                    {"X-Operator", settings_.operator_name}};
    if (request.if_match != 0) {
        call.headers["If-Match"] = '"' + std::to_string(request.if_match) + '"';
    }
    const auto deadline = std::chrono::steady_clock::now() + settings_.retry_timeout;
    bool may_have_run = false;
    while (true) {
        try {
            const auto response = send(call);
            if (response.status == 200) {
                return read_body(response);
            }
            throw make_failure(response);
        } catch (const api_failure& error) {
            may_have_run = may_have_run || error.code() == exit_code::outcome_unknown;
            if (!is_retryable(error.code())) {
                throw;
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                throw api_failure(may_have_run ? exit_code::outcome_unknown : error.code(),
                                  error.what());
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
}

void api_client::watch(resource_kind kind, std::int64_t since_revision,
                       const std::function<bool(const json&)>& handler)
{
    const auto path =
        resource_path(kind, "") + "?watch=true&since=" + std::to_string(since_revision);
    try {
        const auto on_line = [&](const std::string& line) {
            const auto resource = json::parse(line, nullptr, false);
            return !resource.is_object() || handler(resource);
        };
        const auto response = http_.stream({"GET", path, {}, ""}, on_line, watch_timeout);
        if (response.status != 200) {
            throw make_failure(response);
        }
    } catch (const shell::http_failure& error) {
        throw api_failure(exit_code::unavailable, error.what());
    }
}

} // namespace camphor::ctl
