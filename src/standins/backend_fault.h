// Faults injected into a stand-in backend server.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace camphor::standin {

/// A fault to inject, with the calls it applies to and its start. Conditions are combined with AND.
struct backend_fault {
    /// The fault applies to backend servers of this release; empty for all releases.
    std::string release;
    /// The fault applies to calls whose path starts with this text; empty for all calls.
    std::string path_prefix;
    /// Fraction of calls that are answered with status 500, from 0 to 1.
    double error_ratio = 0;
    /// Added to the service time.
    std::chrono::milliseconds added_latency{};
    /// Time from receiving the settings to the start of the fault.
    std::chrono::milliseconds delay{};
    /// The fault applies while this instance starts more calls per second than this; 0 for no
    /// minimum.
    double above_rps = 0;
    /// A call with this header makes the process exit at once; empty for none.
    std::string crash_on_header;
    /// Health checks and announcements report a ready server with no calls in flight.
    bool fakes_health = false;
};

/// Parses `{"release","route","error_ratio","added_latency_ms","after_s","above_rps",
/// "crash_on_header","health_lies"}`; `{}` clears the fault.
/// @throws invalid_input for invalid JSON, an unknown key, a wrong type or a value out of range
backend_fault parse_backend_fault(const std::string& text);

} // namespace camphor::standin
