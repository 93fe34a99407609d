// Stand-in for the platform's store. Implements the published HTTP protocol and injects outages,
// latency, lost answers, loss of change history and a return from a copy. Paths under `/control/`
// are for tests: faults, copies, request statistics and rows of operator tables.
#pragma once

#include "http_server.h"
#include "platform_table.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace camphor::standin {

enum class platform_fault_mode : std::uint8_t {
    /// Every request is answered with status 503 and has no effect.
    down,
    /// Every request is delayed by `latency`.
    slow,
    /// A write takes effect; with probability `ratio`, its connection is closed without a response.
    lose_answers,
};
inline constexpr std::size_t platform_fault_mode_count = 3;

/// Duration and strength of an injected fault.
struct platform_fault {
    /// Zero means until the fault is cleared.
    std::chrono::milliseconds duration{};
    /// Used by `slow`.
    std::chrono::milliseconds latency{};
    /// Probability from 0 to 1; used by `lose_answers`.
    double ratio = 0;
};

/// A request to set one fault, or to clear all faults.
struct platform_fault_request {
    /// Clear all faults; the other members are unused.
    bool clear = false;
    platform_fault_mode mode{};
    platform_fault fault;
};

/// Parses `{"mode":"down|slow|lose_answers|none","for_ms","latency_ms","ratio"}`.
/// @throws invalid_input for invalid JSON, an unknown mode or a wrong type
platform_fault_request parse_platform_fault(const std::string& text);

/// Serves the store protocol and `/control/` for one in-memory table. Requests under `/control/`
/// are not subject to faults.
class platform_service {
public:
    platform_service(boost::asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}

    void handle(const http_request& request, const http_exchange_ptr& reply);
    /// Whether answers state how often the store came back from a copy; they do by default.
    void set_states_era(bool states_era) { states_era_ = states_era; }

private:
    using clock = std::chrono::steady_clock;

    struct active_fault {
        platform_fault fault;
        clock::time_point ends_at = clock::time_point::min();
    };

    /// A feed request that waits for a change of its table. Invariant: `timeout_timer` is running.
    struct waiting_feed {
        std::string table;
        /// Version after which changes are requested.
        std::int64_t after = 0;
        http_exchange_ptr reply;
        boost::asio::steady_timer timeout_timer;
    };

    /// Number of requests in one second.
    struct second_counts {
        /// Seconds since the Unix epoch.
        std::int64_t second = 0;
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t transactions = 0;
        /// Feed requests that were answered 410.
        std::uint64_t histories_gone = 0;
    };

    /// Answers a call of the store, which states how often the store came back from a copy.
    void answer(const http_exchange_ptr& reply, http_response response) const;
    /// Returns to the table of the last `/control/copy`: what was written since then is gone.
    http_response restore_copy();
    bool is_active(platform_fault_mode mode) const;
    const platform_fault& fault(platform_fault_mode mode) const;
    second_counts& current_counts();
    void serve(const http_request& request, const http_exchange_ptr& reply);
    void serve_feed(const std::string& target, const http_exchange_ptr& reply);
    /// Answers feeds whose table changed. With `drop_all`, closes the connections of all feeds
    /// without a response instead.
    void answer_waiting_feeds(bool drop_all);
    http_response changes(const std::string& table, std::int64_t after);
    http_response route(const http_request& request, bool& is_write);
    http_response transact(const http_request& request);
    http_response read_rows(const std::string& target);
    http_response handle_object(const http_request& request, const std::string& name);
    /// Reads or writes one row of any table; the body is the value without encoding.
    http_response handle_control_row(const http_request& request);
    http_response set_fault(const std::string& body);
    http_response stats() const;

    boost::asio::io_context& io_;
    platform_table table_;
    /// Table as of the last copy.
    platform_table copy_;
    /// Value of the header Store-Era; rises with each return from a copy.
    std::int64_t era_ = 1;
    bool states_era_ = true;
    std::map<std::uint64_t, waiting_feed> feeds_;
    std::uint64_t last_feed_id_ = 0;
    std::mt19937_64 random_;
    std::array<active_fault, platform_fault_mode_count> faults_;
    /// Counts of the last 600 seconds with requests, oldest first.
    std::deque<second_counts> counts_by_second_;
};

} // namespace camphor::standin
