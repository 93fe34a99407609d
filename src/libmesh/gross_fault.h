// Detects large faults of a new release within few requests. Used for short roll-outs, which have
// too few requests for a sequential test of small differences to decide.
#pragma once

#include <camphortally/latency_histogram.h>

#include <cstdint>
#include <optional>
#include <string>

namespace camphor::mesh {

/// Outcome of one request that was sent to a backend server.
enum class run_verdict : std::uint8_t {
    good,
    failed,
    /// The backend server rejected the request without running it.
    shed
};

/// Counted outcomes of one release. With decay() older outcomes weigh less, so counts are
/// fractional.
struct recent_outcomes {
    double good = 0;
    /// Failed requests, without those that were shed.
    double bad = 0;
    double shed = 0;
    /// Latencies of the good outcomes.
    latency_histogram latency;

    double failures() const { return bad + shed; }
    double total() const { return good + failures(); }
    void add(const recent_outcomes& added);
    /// Multiplies all counts by `factor`, in [0, 1].
    void decay(double factor);
};

/// Describes a large excess of failures or latency of the new release over the old one; none
/// without one.
std::optional<std::string> find_gross_fault(const recent_outcomes& old_release,
                                            const recent_outcomes& new_release);

/// Returns whether the failure ratio of the new release over all its requests is too high to raise
/// its share of the traffic.
bool is_suspect(const recent_outcomes& old_release, const recent_outcomes& new_release);

} // namespace camphor::mesh
