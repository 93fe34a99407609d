// A stand-in backend server with concurrency slots, a bounded queue, drain, cold start, deadlines,
// cancellation and fault injection.
#pragma once

#include "backend_fault.h"
#include "execution_log.h"
#include "http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace camphor::standin {

/// Identity, capacity and simulated service time of a stand-in backend server.
struct backend_settings {
    std::string name;
    std::string service;
    std::string release;
    /// Maximum number of calls that run concurrently.
    std::int32_t slots = 1;
    /// Maximum number of calls that wait for a slot; further calls are rejected with status 503.
    std::int32_t queue_capacity = 1;
    std::chrono::microseconds service_time{};
    /// Service times are uniform in service_time * [1 - service_time_spread, 1 +
    /// service_time_spread].
    double service_time_spread = 0;
    /// Time after the start during which the state is `warming`.
    std::chrono::milliseconds warm_up{};
    /// Time after the warm-up during which calls are slower.
    std::chrono::milliseconds cold_start{};
    /// Service time multiplier at the beginning of the cold start; decreases linearly to 1.
    double cold_start_factor = 1;
    std::uint64_t seed = 1;
    /// Path of the execution log; empty for none.
    std::string execution_file;
};

/// Serves calls and the control endpoints. Invariant: at most `slots` calls run concurrently; a
/// call that started runs to completion unless its caller disconnects, its deadline passes or the
/// process crashes.
class backend_service {
public:
    backend_service(boost::asio::io_context& io, backend_settings settings);

    void handle(const http_request& request, const http_exchange_ptr& reply);
    /// Reports the state `draining` from now on. `on_drained` runs once no call is in flight and
    /// `grace` has passed, which gives other nodes time to learn of the drain. Later calls have no
    /// effect.
    void drain(std::chrono::milliseconds grace, std::function<void()> on_drained);
    /// Sets the function that PUT /control/drain calls. Must be set before such a
    /// request is served.
    void set_drain_handler(std::function<void()> handler) { drain_handler_ = std::move(handler); }

    /// `warming`, `ready` or `draining`.
    std::string state() const;
    /// Number of running and queued calls; 0 while the fakes_health fault is active.
    std::int32_t reported_in_flight() const;
    const backend_settings& settings() const { return settings_; }

private:
    using clock = std::chrono::steady_clock;
    struct running_call;
    using call_ptr = std::shared_ptr<running_call>;

    bool handle_control(const http_request& request, const http_exchange_ptr& reply);
    void admit(const http_request& request, const http_exchange_ptr& reply);
    void start(const call_ptr& call);
    void finish(const call_ptr& call);
    /// Ends the call before completion; `outcome` is `cancelled` or `deadline`.
    void abort(const call_ptr& call, const std::string& outcome);
    void release_slot();
    void check_drained();
    void start_deadline_timer(const call_ptr& call);
    bool fault_applies(const http_request& request) const;
    void crash_if_requested(const http_request& request) const;
    std::chrono::microseconds service_time_of(const http_request& request);
    http_response make_response(const running_call& call);
    bool is_faking_health() const;
    void record_start();

    boost::asio::io_context& io_;
    backend_settings settings_;
    clock::time_point started_at_;
    std::mt19937_64 random_;
    execution_log executions_;
    backend_fault fault_;
    clock::time_point fault_starts_at_ = clock::time_point::max();
    /// Start times of the calls of the last second, for backend_fault::above_rps.
    std::deque<clock::time_point> recent_start_times_;
    std::deque<call_ptr> queue_;
    std::int32_t running_calls_ = 0;
    /// Prefix of the run ids of this process.
    std::string run_id_prefix_;
    std::uint64_t last_run_number_ = 0;
    bool draining_ = false;
    bool grace_elapsed_ = false;
    boost::asio::steady_timer grace_timer_;
    std::function<void()> on_drained_;
    std::function<void()> drain_handler_;
};

/// Digest of a request for the response header `Request-Digest`: 16 hex digits of XXH3-64 over
/// "METHOD\nTARGET\nBODY".
std::string request_digest(const std::string& method, const std::string& target,
                           const std::string& body);

} // namespace camphor::standin
