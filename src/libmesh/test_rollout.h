// Set-up shared by the tests of roll-outs on the simulated mesh.
#pragma once

#include "libmesh/test_mesh_net.h"

#include <functional>

namespace camphor::mesh::test {

/// The first `first_new_node` of `node_count` backend servers have the old release "v1", the others
/// the new release "v2".
inline constexpr std::size_t node_count = 9;
inline constexpr std::size_t first_new_node = 6;
inline constexpr int requests_per_second = 120;
inline constexpr auto rollout_duration = 14s;

/// Requests that a bad release may get of `sent`: one in ten, plus a slack.
inline int allowed_exposure(int sent)
{
    constexpr int exposure_divisor = 10;
    constexpr int exposure_slack = 50;
    return sent / exposure_divisor + exposure_slack;
}

/// Requests that reached backend servers of the new release.
inline int new_release_arrivals(simulated_mesh& net)
{
    int sum = 0;
    for (std::size_t i = first_new_node; i < node_count; ++i) {
        sum += net.app(i).arrivals;
    }
    return sum;
}

inline void check_in_all(simulated_mesh& net)
{
    for (std::size_t i = 0; i < node_count; ++i) {
        if (!net.app(i).crashed) {
            net.check_in(i);
        }
    }
}

/// Starts the backend servers of both releases and orders the roll-out of the new one.
inline void begin_rollout(simulated_mesh& net)
{
    net.configure(true, 1000ms, 400ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).slots = 6;
        net.app(i).release = release_id{i >= first_new_node ? "v2" : "v1"};
        net.app(i).work = 60ms;
    }
    check_in_all(net);
    net.order_rollout("v2", rollout_duration);
}

/// Sends requests to all nodes in turn for the whole roll-out. Calls `each_second` at the start of
/// each second, counted from 0. Returns the number of requests sent.
inline int send_during_rollout(simulated_mesh& net, const std::function<void(int)>& each_second)
{
    const int requests = rollout_duration / 1s * requests_per_second;
    for (int sent = 0; sent < requests; ++sent) {
        if (sent % requests_per_second == 0) {
            check_in_all(net);
            each_second(sent / requests_per_second);
        }
        net.send(static_cast<std::size_t>(sent) % node_count, "m" + std::to_string(sent));
        net.run_for(duration(1s) / requests_per_second);
    }
    return requests;
}

} // namespace camphor::mesh::test
