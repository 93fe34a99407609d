// What a part of the reducer may use while it handles one event.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/ids.h>
#include <camphortally/timer.h>

#include <optional>
#include <string>

namespace camphor {

struct node_state;

/// Lives for one step. Parts reach each other through `node`.
struct step_context {
    node_state& node;
    time_point now;
    effect_list& out;

    wall_time wall_now() const;
    void send(const peer_address& to, wire::frame frame) const;
    void call_platform(const platform_ticket& ticket, platform_request request) const;
    /// Fires `delay` from now.
    void start_timer(const timer_key& key, duration delay) const;
    void log(log_level level, std::string event, std::string detail,
             std::optional<call_id> call = std::nullopt) const;
    /// Uniform in [low, high], from the node's seeded generator.
    duration jitter(duration low, duration high) const;
};

} // namespace camphor
