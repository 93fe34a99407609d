// Which service a call goes to, and how that service's calls are shared among its releases.
#pragma once

#include <camphortally/event_call.h>
#include <camphortally/snapshot.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphor {

/// One service as the applied snapshot describes it.
struct service_plan {
    service_id service;
    camphor::priority priority = camphor::priority::normal;
    /// Sums to 1000.
    std::vector<release_share> shares;
    std::map<release_id, upstream_spec> upstreams;
};

/// What a call's route says of it. Lives as long as its route_table.
struct route_rule {
    route_id route;
    std::string host;
    std::string prefix;
    std::map<std::string, std::string> headers;
    duration timeout{};
    bool require_key = false;
    const service_plan* plan = nullptr;
};

/// The routes of one snapshot, indexed by the first segment of their path prefix.
/// A prefix matches whole path segments: `/desk` matches `/desk` and `/desk/a`, not `/desktop`.
/// The longest prefix wins, then the most conditions (host and headers), then the name.
class route_table {
public:
    route_table() = default;
    explicit route_table(const snapshot& view);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    route_table(route_table&&) = delete;
    route_table& operator=(route_table&&) = delete;
    ~route_table() = default;

    /// Null when no route matches.
    const route_rule* match(const call_head& head) const;
    /// Null when the service is unknown.
    const service_plan* plan(const service_id& service) const;

private:
    using rule_list = std::vector<route_rule>;

    void add_plans(const snapshot& view);
    void add_rules(const snapshot& view);

    std::map<service_id, service_plan> plans_;
    /// Key "" holds the prefixes without a segment of their own.
    /// Invariant: each list is in order of precedence.
    std::unordered_map<std::string, rule_list> rules_;
};
using route_table_ptr = std::shared_ptr<const route_table>;

/// Path of a request target: without its query.
std::string_view path_of(std::string_view target);

} // namespace camphor
