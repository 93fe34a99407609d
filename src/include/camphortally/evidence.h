// What proxies saw of two releases, and the comparison of them on one part of the traffic.
#pragma once

#include <camphortally/latency_histogram.h>
#include <camphortally/release_comparison.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace camphor {

/// Outcomes of calls to one release.
struct call_evidence {
    double successes = 0;
    double failures = 0;
    /// Refused or shed for overload; neither success nor failure.
    double overloaded = 0;
    /// Of the successes.
    latency_histogram latency;

    double calls() const { return successes + failures; }
    void add(const call_evidence& other);
};

enum class release_side : std::uint8_t { old_release, new_release };

/// Where evidence comes from.
struct evidence_key {
    zone_id zone;
    route_id route;
    release_side side{};
    friend auto operator<=>(const evidence_key&, const evidence_key&) = default;
};

/// What a comparison looks at.
enum class symptom : std::uint8_t { failures, slow_median, slow_tail };
std::string to_string(symptom value);

/// Compares two releases on one part of the traffic, such as a route or an availability zone, by
/// failures and by latency at two quantiles.
class traffic_slice {
public:
    traffic_slice();

    void add_window(const call_evidence& old_side, const call_evidence& new_side);

    const release_comparison& comparison(symptom kind) const;
    /// The comparison with the strongest evidence against the new release.
    symptom worst() const;
    /// Forgets the new release's latency so far.
    void restart_latency();
    /// Starts the span that probability_worse() speaks of.
    void mark();

    /// Latency limits above which a call counts as slow; zero until the old release is known.
    duration median_limit() const { return median_limit_; }
    duration tail_limit() const { return tail_limit_; }
    const call_evidence& old_total() const { return old_total_; }
    const call_evidence& new_total() const { return new_total_; }
    /// Takes over what an earlier holder knew of the old release.
    void set_reference(const trial_counts& failures, duration median_limit, duration tail_limit);

private:
    void update_limits(const call_evidence& old_side);

    release_comparison failures_;
    release_comparison slow_median_;
    release_comparison slow_tail_;
    /// Decays within seconds.
    latency_histogram old_latency_;
    duration median_limit_{};
    duration tail_limit_{};
    call_evidence old_total_;
    call_evidence new_total_;
};

/// Judges the calls of one proxy, so that it can stop without waiting for the holder of the move.
class local_judge {
public:
    void observe(release_side side, const call_evidence& seen);
    /// Ends a window; answers the symptom that is strong enough to stop. At the first stage
    /// slowness is left to the holder, since it may be a cold start.
    std::optional<symptom> close_window(std::int32_t stage);

private:
    traffic_slice slice_;
    call_evidence old_window_;
    call_evidence new_window_;
};

} // namespace camphor
