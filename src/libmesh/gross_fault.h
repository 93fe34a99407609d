// Detects large faults of a new release within few requests. Used for short roll-outs, which have
// too few requests for a sequential test of small differences to decide.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/latency_histogram.h>
#include <camphortally/release_comparison.h>

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

    double total() const { return good + bad + shed; }
    /// Requests that were run, and how many of them failed.
    trial_counts failure_counts() const { return {good + bad, bad}; }
    /// All requests, and how many of them were shed.
    trial_counts shed_counts() const { return {total(), shed}; }
    void add(const recent_outcomes& added);
    /// Multiplies all counts by `factor`, in [0, 1].
    void decay(double factor);
};

/// Describes a large excess of failures or latency of the new release over the old one; none
/// without one. Shed requests count as neither good nor failed.
std::optional<std::string> find_gross_fault(const recent_outcomes& old_release,
                                            const recent_outcomes& new_release);

/// Outcomes of both releases in the same span of time.
struct release_outcomes {
    recent_outcomes old_release;
    recent_outcomes new_release;
};

/// Finds out whether a new release sheds far more requests than the old one. When both begin to
/// shed, the decayed outcomes show that of the release whose traffic has grown first, so that an
/// excess there is only a doubt. What follows is compared window by window.
class shed_comparison {
public:
    enum class verdict : std::uint8_t { alike, in_doubt, worse };

    /// Adds the outcomes of the last window. `recent` are the decayed outcomes, that window
    /// included.
    verdict add_window(const release_outcomes& window, const release_outcomes& recent,
                       time_point now);

private:
    bool differs() const;

    /// When the doubt began; none without one.
    std::optional<time_point> in_doubt_since_;
    /// End of the time for which both releases are taken to shed alike.
    time_point alike_until_{};
    trial_counts old_release_;
    trial_counts new_release_;
    stratified_test at_same_time_;
};

/// Returns whether the failure ratio of the new release over all its requests is too high to raise
/// its share of the traffic.
bool is_suspect(const recent_outcomes& old_release, const recent_outcomes& new_release);

/// Returns whether the release fails so large a part of its requests that a comparison with an old
/// release which fails as well does not show it to be good.
bool fails_often(const recent_outcomes& release);

} // namespace camphor::mesh
