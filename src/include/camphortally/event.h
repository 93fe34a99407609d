// Everything that can happen to a node. One header per concern, so that parts grow apart.
#pragma once

#include <camphortally/event_backend.h>
#include <camphortally/event_call.h>
#include <camphortally/event_operator.h>
#include <camphortally/platform_client.h>
#include <camphortally/timer.h>
#include <wire_types.h>

#include <variant>

namespace camphor {

/// The first event of a life.
struct node_started {
    wall_time wall_now{};
    /// Seeds every random choice of the node.
    std::uint64_t seed = 0;
};

/// Ties the monotonic clock to the wall clock; the shell sends one a second.
struct clock_synced {
    wall_time wall_now{};
};

struct timer_fired {
    timer_key key;
};

struct platform_replied {
    platform_ticket ticket;
    platform_reply reply;
};

/// A frame whose mesh name, protocol and size were already checked.
struct frame_received {
    wire::frame frame;
};

/// SIGTERM: finish what is in flight, take nothing new, leave.
struct stop_requested {};

using event =
    std::variant<node_started, clock_synced, timer_fired, platform_replied, frame_received,
                 stop_requested, backend_event, call_event, operator_event>;

} // namespace camphor
