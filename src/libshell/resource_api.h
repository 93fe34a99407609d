// The operators' resource API and the backend servers' announcements, over the admin listener.
#pragma once

#include "libshell/admin_server.h"
#include "libshell/json_log.h"
#include "libshell/platform_http.h"
#include "libshell/runtime.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

namespace camphor::shell {

/// Serves the paths of design section 7; see docs/OPERATORS.md for each answer.
class resource_api {
public:
    /// Text of /metrics, written by the daemon that knows all parts.
    using metrics_function = std::function<std::string()>;

    resource_api(runtime& core, platform_http& platform, json_log& log, metrics_function metrics);

    void handle(const api_request& request, const responder_ptr& reply);
    /// An operator's request was decided.
    void answer(const answer_operator& decided);
    /// The node holds a newer version: watchers get what changed.
    void on_applied();

private:
    struct watcher {
        responder_ptr reply;
        resource_kind kind;
        /// Resources with a later revision are still to be sent.
        config_version sent;
        /// Names that the reader was told of, so that it learns of deletions.
        std::set<std::string> shown;
    };

    void handle_resource(const api_request& request, const responder_ptr& reply, resource_kind kind,
                         const std::string& name);
    void put(const api_request& request, const responder_ptr& reply, const resource_key& key);
    void remove(const api_request& request, const responder_ptr& reply, const resource_key& key);
    void get(const responder_ptr& reply, const resource_key& key) const;
    void watch(const api_request& request, const responder_ptr& reply, resource_kind kind);
    void announce(const api_request& request, const responder_ptr& reply);
    void audit(const api_request& request, const responder_ptr& reply);
    void log_level_request(const api_request& request, const responder_ptr& reply);
    void ready(const responder_ptr& reply) const;
    bool feed(watcher& item) const;

    runtime& core_;
    platform_http& platform_;
    json_log& log_;
    metrics_function metrics_;
    std::uint64_t next_request_ = 0;
    std::map<request_id, responder_ptr> owed_;
    std::list<watcher> watchers_;
};

} // namespace camphor::shell
