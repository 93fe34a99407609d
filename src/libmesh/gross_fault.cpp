// Comparison of two releases by few requests.
#include "libmesh/gross_fault.h"

#include <algorithm>
#include <cmath>

namespace camphor::mesh {

namespace {

/// Failures below this number are left to chance.
constexpr double least_failures = 4;
/// Standard deviations by which the failure ratio must exceed the old release's.
constexpr double deviations = 3;
/// And by this ratio at least.
constexpr double least_excess = 0.08;
/// Failure ratio assumed of an old release that has no requests.
constexpr double unknown_ratio = 0.05;
/// Answers needed to compare latencies.
constexpr double least_answers = 12;
/// Quantile at which a fault shows that slows half of the requests.
constexpr double slow_quantile = 0.75;
/// Backend servers of one release differ in speed by up to this factor.
constexpr int speed_spread = 3;
/// A release is suspect with so many failures, and a ratio above the old one's times the factor and
/// the margin.
constexpr double suspect_failures = 3;
constexpr double suspect_factor = 2;
constexpr double suspect_margin = 0.05;

} // namespace

void recent_outcomes::add(double more_good, double more_bad, const latency_histogram& more)
{
    good += more_good;
    bad += more_bad;
    latency.add(more);
}

void recent_outcomes::decay(double factor)
{
    good *= factor;
    bad *= factor;
    latency.decay(factor);
}

std::optional<std::string> find_gross_fault(const recent_outcomes& old_side,
                                            const recent_outcomes& new_side)
{
    if (new_side.bad >= least_failures) {
        const double tolerated =
            old_side.total() > least_answers ? old_side.bad / old_side.total() : unknown_ratio;
        const double ratio = new_side.bad / new_side.total();
        const double deviation = std::sqrt(std::max(tolerated, unknown_ratio) / new_side.total());
        if (ratio > tolerated + std::max(least_excess, deviations * deviation)) {
            return "it fails far more often than the old release";
        }
    }
    if (new_side.good >= least_answers && old_side.good >= least_answers &&
        new_side.latency.quantile(slow_quantile) >
            speed_spread * old_side.latency.quantile(slow_quantile)) {
        return "it is several times slower than the old release";
    }
    return std::nullopt;
}

bool is_suspect(const recent_outcomes& old_side, const recent_outcomes& new_side)
{
    if (new_side.bad < suspect_failures) {
        return false;
    }
    const double usual = old_side.total() > 0 ? old_side.bad / old_side.total() : 0;
    return new_side.bad / new_side.total() > usual * suspect_factor + suspect_margin;
}

} // namespace camphor::mesh
