// What a node of a mesh is told at its start.
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
    /// A draining backend server takes requests for this long after its leaving was acknowledged.
    milliseconds drain_timeout{2000};
    /// Time between SIGTERM and SIGKILL.
    milliseconds grace_period{6000};
    /// An accepted configuration is in force everywhere after this time.
    milliseconds config_apply{2000};
    /// Retries that a service may get as a part of its requests, within `budget_window`.
    double retry_ratio = 0.2;
    /// Retries allowed in a window on top of the ratio, over all nodes.
    double retry_extra = 50;
    milliseconds budget_window{10000};
    /// Part of a service's requests that a bad release may get during its roll-out.
    double exposure_share = 0.1;
    milliseconds heartbeat_interval{1500};

    bool operator==(const mesh_bounds&) const = default;
};

/// A read that waits for a change of the operators' rows is answered after this long at the latest.
/// Together with `read_slack` it leaves two fifths of the time until a configuration is in force
/// for other nodes to read and pass on what a reader missed.
constexpr milliseconds longest_read(const mesh_bounds& bounds)
{
    return bounds.config_apply * 2 / 5;
}

/// A read is late when it is answered so long after its wait: a hundred times the usual.
constexpr milliseconds read_slack(const mesh_bounds& bounds)
{
    return bounds.config_apply / 5;
}

struct mesh_settings {
    node_id node;
    zone_id zone;
    /// The service of the backend server beside this node.
    service_id service;
    listen_address app;
    listen_address inbound;
    listen_address outbound;
    listen_address ready;
    listen_address control;
    /// Where other nodes connect.
    listen_address peers;
    listen_address metrics;
    listen_address store;
    mesh_bounds bounds;
};

/// What a changed settings file asks for.
struct settings_change {
    bool bounds = false;
    bool store = false;
    /// Settings that differ and hold until the next start.
    std::vector<std::string> at_restart;
};

settings_change compare(const mesh_settings& held, const mesh_settings& wanted);

} // namespace camphor::mesh
