// Comparison of two releases on few requests.
#include "libmesh/gross_fault.h"

#include <algorithm>
#include <cmath>

namespace camphor::mesh {

namespace {

/// Fewer failed or shed requests of the new release than this may be chance and are ignored.
constexpr double min_failures = 4;
/// Number of standard deviations by which a ratio must exceed the old release's.
constexpr double required_deviations = 3;
/// Minimum difference by which a ratio must exceed the old release's.
constexpr double min_ratio_excess = 0.08;
/// Ratio assumed of an old release with too few requests, and the lower bound of the ratio
/// from which the standard deviation is computed.
constexpr double default_failure_ratio = 0.05;
/// Requests of a release needed to use its latencies or its ratios as the reference.
constexpr double min_answers = 12;
/// Quantile of the compared latencies; shows a fault that slows half of the requests.
constexpr double latency_quantile = 0.75;
/// The new release is slow beyond this factor. Backend servers of one release differ in speed by up
/// to as much.
constexpr int max_slowdown = 3;
/// A release is suspect with at least `suspect_min_failures` failures and a failure ratio above the
/// old release's times `suspect_ratio_factor` plus `suspect_ratio_margin`.
constexpr double suspect_min_failures = 3;
constexpr double suspect_ratio_factor = 2;
constexpr double suspect_ratio_margin = 0.05;
/// Time for which a new release in doubt is observed.
constexpr auto doubt_time = std::chrono::seconds(1);
/// Time for which a doubt that has passed does not begin again: until outcomes from before the
/// doubt hardly count.
constexpr auto alike_time = std::chrono::seconds(3);
/// With a smaller part of the new release's requests the old one is nothing to compare with.
constexpr double min_compared_part = 0.02;
/// Failure ratio above which a release fails often.
constexpr double often_failing_ratio = 0.2;

/// Returns whether the ratio of bad requests of the new release is far above that of the old one.
bool far_exceeds(const trial_counts& old_release, const trial_counts& new_release)
{
    if (new_release.bad < min_failures) {
        return false;
    }
    const double reference =
        old_release.calls > min_answers ? old_release.ratio() : default_failure_ratio;
    const double standard_deviation =
        std::sqrt(std::max(reference, default_failure_ratio) / new_release.calls);
    return new_release.ratio() >
           reference + std::max(min_ratio_excess, required_deviations * standard_deviation);
}

} // namespace

void recent_outcomes::add(const recent_outcomes& added)
{
    good += added.good;
    bad += added.bad;
    shed += added.shed;
    latency.add(added.latency);
}

void recent_outcomes::decay(double factor)
{
    good *= factor;
    bad *= factor;
    shed *= factor;
    latency.decay(factor);
}

std::optional<std::string> find_gross_fault(const recent_outcomes& old_release,
                                            const recent_outcomes& new_release)
{
    if (far_exceeds(old_release.failure_counts(), new_release.failure_counts())) {
        return "the new release's failure ratio is far above the old release's";
    }
    if (new_release.good >= min_answers && old_release.good >= min_answers &&
        new_release.latency.quantile(latency_quantile) >
            max_slowdown * old_release.latency.quantile(latency_quantile)) {
        return "the new release is several times slower than the old release";
    }
    return std::nullopt;
}

shed_comparison::verdict shed_comparison::add_window(const release_outcomes& window,
                                                     const release_outcomes& recent, time_point now)
{
    if (!in_doubt_since_) {
        if (now < alike_until_ ||
            !far_exceeds(recent.old_release.shed_counts(), recent.new_release.shed_counts())) {
            return verdict::alike;
        }
        *this = {};
        in_doubt_since_ = now;
        return verdict::in_doubt;
    }
    old_release_.add(window.old_release.shed_counts());
    new_release_.add(window.new_release.shed_counts());
    at_same_time_.add(window.old_release.shed_counts(), window.new_release.shed_counts());
    if (now < *in_doubt_since_ + doubt_time) {
        return verdict::in_doubt;
    }
    in_doubt_since_.reset();
    if (differs()) {
        return verdict::worse;
    }
    alike_until_ = now + alike_time;
    return verdict::alike;
}

bool shed_comparison::differs() const
{
    if (old_release_.calls < min_compared_part * new_release_.calls) {
        return new_release_.ratio() > default_failure_ratio + min_ratio_excess;
    }
    return far_exceeds(old_release_, new_release_) &&
           at_same_time_.deviations() >= required_deviations;
}

bool is_suspect(const recent_outcomes& old_release, const recent_outcomes& new_release)
{
    if (new_release.bad < suspect_min_failures) {
        return false;
    }
    return new_release.failure_counts().ratio() >
           old_release.failure_counts().ratio() * suspect_ratio_factor + suspect_ratio_margin;
}

bool fails_often(const recent_outcomes& release)
{
    return release.bad >= suspect_min_failures &&
           release.failure_counts().ratio() > often_failing_ratio;
}

} // namespace camphor::mesh
