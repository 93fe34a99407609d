// The stand-in platform's store by its published HTTP protocol, with outages, slowness, lost
// answers and dropped history on demand. `/control/` is for tests: faults, figures and the
// operator's rows.
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
    /// Every request gets 503 and has no effect.
    down,
    /// Every request waits `latency` first.
    slow,
    /// A write takes effect, then the connection is closed unanswered with probability `ratio`.
    lose_answers,
};
inline constexpr std::size_t platform_fault_modes = 3;

struct platform_fault {
    /// Zero lasts until it is cleared.
    std::chrono::milliseconds lasts{};
    std::chrono::milliseconds latency{};
    double ratio = 0;
};

/// A request to set one fault, or to clear all.
struct platform_fault_order {
    bool clear = false;
    platform_fault_mode mode{};
    platform_fault fault;
};

/// Reads `{"mode":"down|slow|lose_answers|none","for_ms","latency_ms","ratio"}`.
/// @throws invalid_input when the text is something else
platform_fault_order parse_platform_fault(const std::string& text);

class platform_service {
public:
    platform_service(boost::asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}

    void handle(const http_request& request, const exchange_ptr& reply);

private:
    using clock = std::chrono::steady_clock;

    struct active_fault {
        platform_fault fault;
        clock::time_point ends = clock::time_point::min();
    };

    /// A feed that waits for a change of its table. Invariant: `late` is armed.
    struct waiting_feed {
        std::string table;
        std::int64_t after = 0;
        exchange_ptr reply;
        boost::asio::steady_timer late;
    };

    /// Requests of one second.
    struct second_counts {
        std::int64_t second = 0;
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t transactions = 0;
    };

    bool is_active(platform_fault_mode mode) const;
    const platform_fault& fault(platform_fault_mode mode) const;
    second_counts& counts_now();
    void serve(const http_request& request, const exchange_ptr& reply);
    void follow(const std::string& target, const exchange_ptr& reply);
    /// Answers feeds of tables that changed; all of them when `all`.
    void answer_feeds(bool all);
    http_response changes(const std::string& table, std::int64_t after) const;
    http_response route(const http_request& request, bool& is_write);
    http_response transact(const http_request& request);
    http_response read_rows(const std::string& target);
    http_response use_object(const http_request& request, const std::string& name);
    /// A row as the operator or a test writes and reads it, its value not encoded.
    http_response use_row(const http_request& request);
    http_response set_fault(const std::string& body);
    http_response stats() const;

    boost::asio::io_context& io_;
    platform_table table_;
    std::map<std::uint64_t, waiting_feed> feeds_;
    std::uint64_t last_feed_ = 0;
    std::mt19937_64 random_;
    std::array<active_fault, platform_fault_modes> faults_;
    /// Oldest first.
    std::deque<second_counts> counts_;
};

} // namespace camphor::standin
