// The configuration that a node of a mesh serves by: routes, services, limits for clients.
#pragma once

#include <camphortally/ids.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphor::mesh {

using std::chrono::milliseconds;

/// One of the services among which a route's requests are divided.
struct weighted_service {
    service_id service;
    /// Relative to the sum over the route's services; not negative.
    double weight = 0;
};

/// Requests of one host whose path begins with `prefix`.
struct route {
    route_id name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Requests may run more than once.
    bool safe = false;
    /// Longest time that a client is kept waiting.
    milliseconds timeout{};
    /// Time within which an answer has its full value.
    milliseconds objective{};
    /// 0 is served first.
    int priority = 0;
    /// Backend servers to which one request may be sent.
    int max_attempts = 1;
    /// Invariant: not empty, and some weight is above zero.
    std::vector<weighted_service> targets;
};

struct service_settings {
    service_id name;
    std::string health_path;
    /// Connections that a backend server of the service accepts from all callers together.
    int max_connections = 0;
};

/// What a client may send, and how long it may take.
struct client_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 64UL * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// One accepted configuration. Immutable once it is shared.
class mesh_config {
public:
    mesh_config(config_version version, std::vector<route> routes,
                std::vector<service_settings> services, client_limits limits);

    config_version version() const { return version_; }
    const client_limits& limits() const { return limits_; }
    const std::vector<route>& routes() const { return routes_; }
    /// Null when the configuration has no such service.
    const service_settings* find_service(const service_id& name) const;
    /// The route with the longest prefix of `path` on `host`; null when none fits.
    const route* match(std::string_view host, std::string_view path) const;

private:
    config_version version_;
    /// Ordered by host, then by descending length of the prefix.
    std::vector<route> routes_;
    std::map<service_id, service_settings> services_;
    client_limits limits_;
};

using mesh_config_ptr = std::shared_ptr<const mesh_config>;

/// An operator's order to move a service's traffic to another release by a deadline.
struct rollout_order {
    service_id service;
    release_id target;
    milliseconds duration{};
    /// Version of the order's row; a later order of the same service has a larger one.
    std::int64_t row_version = 0;
};

} // namespace camphor::mesh
