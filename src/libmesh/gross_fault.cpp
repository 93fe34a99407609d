// Comparison of two releases on few requests.
#include "libmesh/gross_fault.h"

#include <algorithm>
#include <cmath>

namespace camphor::mesh {

namespace {

/// Fewer failures of the new release than this may be chance and are ignored.
constexpr double min_failures = 4;
/// Number of standard deviations by which the failure ratio must exceed the old release's.
constexpr double required_deviations = 3;
/// Minimum difference by which the failure ratio must exceed the old release's.
constexpr double min_ratio_excess = 0.08;
/// Failure ratio assumed of an old release with too few requests, and the lower bound of the ratio
/// from which the standard deviation is computed.
constexpr double default_failure_ratio = 0.05;
/// Answers of a release needed to use its latencies or its failure ratio as the reference.
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
    if (new_release.failures() >= min_failures) {
        const double reference_ratio = old_release.total() > min_answers
                                           ? old_release.failures() / old_release.total()
                                           : default_failure_ratio;
        const double failure_ratio = new_release.failures() / new_release.total();
        const double standard_deviation =
            std::sqrt(std::max(reference_ratio, default_failure_ratio) / new_release.total());
        if (failure_ratio > reference_ratio + std::max(min_ratio_excess,
                                                       required_deviations * standard_deviation)) {
            return "the new release's failure ratio is far above the old release's";
        }
    }
    if (new_release.good >= min_answers && old_release.good >= min_answers &&
        new_release.latency.quantile(latency_quantile) >
            max_slowdown * old_release.latency.quantile(latency_quantile)) {
        return "the new release is several times slower than the old release";
    }
    return std::nullopt;
}

bool is_suspect(const recent_outcomes& old_release, const recent_outcomes& new_release)
{
    if (new_release.failures() < suspect_min_failures) {
        return false;
    }
    const double reference_ratio =
        old_release.total() > 0 ? old_release.failures() / old_release.total() : 0;
    return new_release.failures() / new_release.total() >
           reference_ratio * suspect_ratio_factor + suspect_ratio_margin;
}

} // namespace camphor::mesh
