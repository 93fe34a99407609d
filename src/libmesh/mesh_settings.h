// Settings of a node, read from its settings file.
#pragma once

#include <camphortally/ids.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphor::mesh {

using std::chrono::milliseconds;

struct listen_address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const listen_address&) const = default;
};

/// Limits that the operators of the mesh set for all nodes.
struct mesh_bounds {
    /// Time for which a draining backend server still takes requests after its departure was
    /// acknowledged.
    milliseconds drain_timeout{2000};
    /// Time between SIGTERM and SIGKILL.
    milliseconds grace_period{6000};
    /// Time until an accepted configuration is in force on all nodes.
    milliseconds config_apply{2000};
    /// Retry budget of a service in any `budget_window`, over all nodes: this fraction of its
    /// requests plus `retry_extra`.
    double retry_ratio = 0.2;
    double retry_extra = 50;
    milliseconds budget_window{10000};
    /// Fraction of a service's requests that a bad release may get during its roll-out.
    double exposure_share = 0.1;
    milliseconds heartbeat_interval{1500};
    /// Requests beyond an organisation's allowance that are tolerated in a few seconds.
    double allowance_tolerance = 0;

    bool operator==(const mesh_bounds&) const = default;
};

/// Maximum wait of a read that blocks until the operators' rows change (long polling). Together
/// with `read_slack` it leaves two fifths of `config_apply` for other nodes to read and forward
/// what one reader missed.
constexpr milliseconds max_read_wait(const mesh_bounds& bounds)
{
    return bounds.config_apply * 2 / 5;
}

/// Time after `max_read_wait` from which a read without an answer counts as late; about a hundred
/// times the usual delay.
constexpr milliseconds read_slack(const mesh_bounds& bounds)
{
    return bounds.config_apply / 5;
}

/// Settings of one node.
struct mesh_settings {
    node_id node;
    zone_id zone;
    /// The service of the backend server beside this node.
    service_id service;
    /// Where the backend server beside this node listens.
    listen_address app;
    listen_address inbound;
    listen_address outbound;
    listen_address ready;
    listen_address control;
    /// Where this node accepts connections of other nodes.
    listen_address peers;
    listen_address metrics;
    listen_address store;
    mesh_bounds bounds;
    /// Memory in bytes and descriptors that the process may use; 0: not stated, no limit.
    std::size_t memory_bytes = 0;
    std::size_t max_descriptors = 0;
};

/// Differences between the settings in force and a changed settings file.
struct settings_change {
    /// `bounds` differ; they apply at once.
    bool bounds = false;
    /// The address of the store differs; it applies at once.
    bool store = false;
    /// Names of the settings that differ and apply only after a restart.
    std::vector<std::string> at_restart;
};

settings_change compare_settings(const mesh_settings& current, const mesh_settings& updated);

} // namespace camphor::mesh
