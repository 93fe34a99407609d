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

    /// Requests that were run.
    double executed() const { return good + bad; }
    double total() const { return executed() + shed; }
    void add(const recent_outcomes& added);
    /// Multiplies all counts by `factor`, in [0, 1].
    void decay(double factor);
};

/// Describes a large excess of failed requests, shed requests or latency of the new release over
/// the old one; none without one. Each is compared by itself, so that requests which the old
/// release sheds do not excuse failures of the new one.
std::optional<std::string> find_gross_fault(const recent_outcomes& old_release,
                                            const recent_outcomes& new_release);

/// Returns whether the new release fails or sheds too large a part of all its requests to raise its
/// share of the traffic.
bool is_suspect(const recent_outcomes& old_release, const recent_outcomes& new_release);

/// Returns whether the release fails so large a part of its requests that a comparison with an old
/// release which fails as well does not show it to be good.
bool fails_often(const recent_outcomes& release);

} // namespace camphor::mesh
