// Open-loop load generator: sends a schedule of HTTP/1.1 calls to targets from one thread.
#pragma once

#include "report.h"
#include "scenario.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace camphor::load {

/// Address of the call listener of one node.
struct target_address {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "host:port,host:port", where each host is an IP address.
/// @throws invalid_input when an entry does not have that form or there is none
std::vector<target_address> parse_targets(const std::string& text);

/// Parameters of a load run.
struct load_options {
    /// Attempts are distributed round-robin. Invariant: not empty.
    std::vector<target_address> targets;
    scenario mix;
    double calls_per_s = 0;
    std::chrono::milliseconds duration{};
    std::uint64_t seed = 1;
    /// Limit of resends of a keyed call whose failure does not tell whether it was executed.
    std::int32_t max_resends = 0;
    /// Limit of connections per target. A call above the limit waits for a connection; the wait
    /// counts towards its latency and its timeout.
    std::size_t max_connections = 256;
    /// Called about once a second with the results so far; may be empty.
    std::function<void(const report&, double elapsed_s)> on_progress;
};

/// Sends the scheduled calls and returns when all of them have ended; SIGINT and SIGTERM stop the
/// sending early. Unless `history` is null, the record of each attempt is written to it as a JSON
/// line.
/// @throws boost::system::system_error when a timer or a signal handler cannot be set up
report run_load(const load_options& options, std::ostream* history);

} // namespace camphor::load
