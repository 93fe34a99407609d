// Comparison of two releases on few requests.
#include "libmesh/gross_fault.h"

#include <algorithm>
#include <array>
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
/// A release is suspect with at least `suspect_min_failures` failed or shed requests and a ratio of
/// these above the old release's times `suspect_ratio_factor` plus `suspect_ratio_margin`.
constexpr double suspect_min_failures = 3;
constexpr double suspect_ratio_factor = 2;
constexpr double suspect_ratio_margin = 0.05;
/// Failure ratio above which a release fails often.
constexpr double often_failing_ratio = 0.2;

/// A ratio of outcomes by which releases are compared.
struct compared_ratio {
    double recent_outcomes::*part;
    double (recent_outcomes::*whole)() const;
    const char* excess_text;

    double of(const recent_outcomes& release) const
    {
        const double all = (release.*whole)();
        return all > 0 ? release.*part / all : 0;
    }
};

constexpr std::array compared_ratios{
    compared_ratio{&recent_outcomes::bad, &recent_outcomes::executed,
                   "the new release's failure ratio is far above the old release's"},
    compared_ratio{&recent_outcomes::shed, &recent_outcomes::total,
                   "the new release sheds far more requests than the old release"},
};

bool far_exceeds(const compared_ratio& ratio, const recent_outcomes& old_release,
                 const recent_outcomes& new_release)
{
    if (new_release.*ratio.part < min_failures) {
        return false;
    }
    const double reference =
        (old_release.*ratio.whole)() > min_answers ? ratio.of(old_release) : default_failure_ratio;
    const double standard_deviation =
        std::sqrt(std::max(reference, default_failure_ratio) / (new_release.*ratio.whole)());
    return ratio.of(new_release) >
           reference + std::max(min_ratio_excess, required_deviations * standard_deviation);
}

bool is_too_high_to_raise(const compared_ratio& ratio, const recent_outcomes& old_release,
                          const recent_outcomes& new_release)
{
    return new_release.*ratio.part >= suspect_min_failures &&
           ratio.of(new_release) >
               ratio.of(old_release) * suspect_ratio_factor + suspect_ratio_margin;
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
    for (const auto& ratio : compared_ratios) {
        if (far_exceeds(ratio, old_release, new_release)) {
            return ratio.excess_text;
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
    return std::any_of(compared_ratios.begin(), compared_ratios.end(), [&](const auto& ratio) {
        return is_too_high_to_raise(ratio, old_release, new_release);
    });
}

bool fails_often(const recent_outcomes& release)
{
    return release.bad >= suspect_min_failures &&
           release.bad > often_failing_ratio * release.executed();
}

} // namespace camphor::mesh
