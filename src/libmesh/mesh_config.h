// The configuration of a mesh: routes, services and limits for clients.
#pragma once

#include "libmesh/organisations.h"

#include <camphortally/ids.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphor::mesh {

using std::chrono::milliseconds;

/// One of the services among which a route's requests are distributed.
struct weighted_service {
    service_id service;
    /// Share of the requests, relative to the sum over the route's services; not negative.
    double weight = 0;
};

/// Requests of one host whose path begins with `prefix`.
struct route {
    route_id name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    /// Requests are safe to run more than once.
    bool safe = false;
    /// Maximum time until a client gets an answer.
    milliseconds timeout{};
    /// Latency objective: an answer after this time loses most of its value.
    milliseconds objective{};
    /// 0 is served first.
    int priority = 0;
    /// Maximum number of backend servers to which one request is sent.
    int max_attempts = 1;
    /// Not empty, and at least one weight is above zero.
    std::vector<weighted_service> targets;
    /// Requests need no key of an organisation.
    bool is_public = false;
};

/// Settings of one service.
struct service_settings {
    service_id name;
    /// Path of the health check of its backend servers.
    std::string health_path;
    /// Maximum number of connections that a backend server of the service accepts, over all
    /// callers.
    int max_connections = 0;
    /// Requests per second that a backend server bears while it is cold, over all nodes; 0: no
    /// limit.
    double cold_per_second = 0;
};

/// Limits on the size and duration of a client's request.
struct client_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 64UL * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// One version of the configuration. Immutable.
class mesh_config {
public:
    mesh_config(config_version version, std::vector<route> routes,
                std::vector<service_settings> services, client_limits limits,
                organisation_directory organisations = {});

    config_version version() const { return version_; }
    const client_limits& limits() const { return limits_; }
    const std::vector<route>& routes() const { return routes_; }
    const organisation_directory& organisations() const { return organisations_; }
    /// Null when the configuration does not contain the service.
    const service_settings* find_service(const service_id& name) const;
    /// The route of `host` with the longest prefix that matches `path`; null when none matches. A
    /// query or fragment in `path` is ignored.
    const route* match(std::string_view host, std::string_view path) const;

private:
    config_version version_;
    /// Sorted by host, then by descending length of the prefix.
    std::vector<route> routes_;
    std::map<service_id, service_settings> services_;
    client_limits limits_;
    organisation_directory organisations_;
};

using mesh_config_ptr = std::shared_ptr<const mesh_config>;

/// An operator's order to roll out another release of a service.
struct rollout_order {
    service_id service;
    release_id target;
    /// Time within which the roll-out has to end.
    milliseconds duration{};
    /// Packed store_position of the row that holds the order; larger for a later order of the same
    /// service.
    std::int64_t row_version = 0;
};

} // namespace camphor::mesh
