// Events about the backend servers beside this node.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <string>
#include <variant>

namespace camphor {

enum class backend_state : std::uint8_t { warming, ready, draining };

/// A backend server told its own node that it is there, or repeated it as a heartbeat.
struct backend_announced {
    backend_id backend;
    service_id service;
    release_id release;
    std::string host;
    std::uint16_t port = 0;
    std::int32_t slots = 0;
    backend_state state = backend_state::ready;
    /// Load that the backend server reports for itself; a hint, since it lags.
    std::int32_t reported_in_flight = 0;
};

/// The backend server withdrew, or its connection attempts fail and its heartbeat stopped.
struct backend_gone {
    backend_id backend;
    /// True when it died with calls in flight, false after a drain.
    bool crashed = false;
};

using backend_event = std::variant<backend_announced, backend_gone>;

} // namespace camphor
