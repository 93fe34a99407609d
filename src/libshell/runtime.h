// Drives the pure core: events in, effects out, one thread.
#pragma once

#include "libshell/event_sink.h"

#include <camphortally/node.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace camphor::shell {

/// Performs the effects that need I/O. Each is called on the I/O thread, never from within a step.
struct effect_handlers {
    std::function<void(const send_frame&)> send;
    std::function<void(const platform_call&)> call_platform;
    std::function<void(const answer_operator&)> answer;
    std::function<void(const log_record&)> log;
    std::function<void(const config_applied&)> applied;
    std::function<void(const call_effect&)> call;
    std::function<void()> stopped;
};

/// Monotonic time as the core counts it.
time_point monotonic_now();
/// Wall clock in milliseconds.
wall_time system_now();

/// Owns a node's state and its timers.
class runtime : public event_sink {
public:
    runtime(boost::asio::io_context& io, node_settings settings);

    /// Set before start().
    void set_handlers(effect_handlers handlers) { handlers_ = std::move(handlers); }
    /// Sends node_started, then a clock_synced every second.
    void start(std::uint64_t seed);
    /// Ends the timers, so that the I/O context can run dry.
    void shut_down();

    void post(event happened) override;
    const node_state& state() const { return state_; }

private:
    void drain();
    void perform(const effect& item);
    void set(const set_timer& order);
    void cancel(const timer_key& key);
    void arm();
    void on_clock();

    node_state state_;
    effect_handlers handlers_;
    std::deque<event> pending_;
    bool in_step_ = false;
    bool down_ = false;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer clock_timer_;
    /// Invariant: timers_ and due_ hold the same entries.
    std::map<timer_key, time_point> timers_;
    std::multimap<time_point, timer_key> due_;
    std::optional<time_point> armed_for_;
};

} // namespace camphor::shell
