// CUSUM over windows of two releases' calls.
#include <camphortally/release_comparison.h>

#include <boost/math/distributions/beta.hpp>

#include <algorithm>
#include <cmath>

namespace camphor {

namespace {

/// Log likelihood ratio at which the new release counts as worse: odds of 10^5 for each sum.
const double threshold = std::log(1e5 * 4);
/// A sum needs at least three windows.
constexpr double window_part = 0.4;
/// A window of the old release counts half after seven more: some 1.5 s.
constexpr double recent_decay = 0.905;
/// Calls of the long run that the ratio of the last seconds is blended with.
constexpr double prior_calls = 40;
/// Calls of the long run that may narrow the uncertainty of the tolerated ratio.
constexpr double greatest_prior_calls = 3000;
/// Calls from which on a recent ratio may set the worst one.
constexpr double least_recent_calls = 100;
/// A stratum ends with this many calls of the old release, or after a number of windows.
constexpr double stratum_calls = 10;
constexpr int stratum_windows = 10;
/// With a smaller part of the last windows' calls the old release is nothing to compare with.
constexpr double least_control_part = 0.02;
constexpr double control_decay = 0.8;
/// Standard deviations between the releases that an alarm, and a doubt, need.
constexpr double alarm_deviations = 3;
constexpr double doubt_deviations = 1.5;
/// Strength of a sum over the threshold while both releases fare alike.
constexpr double undecided = 0.4;
/// A window is a burst when it has more bad calls than this, plus a multiple of the usual number.
constexpr double burst_base = 2.5;
constexpr double burst_factor = 3;
constexpr double confidence = 0.95;
constexpr double least_ratio = 1e-4;
constexpr double greatest_ratio = 0.98;

/// Jeffreys posterior of a ratio.
boost::math::beta_distribution<> posterior(const trial_counts& counts)
{
    constexpr double half = 0.5;
    return {counts.bad + half, std::max(counts.calls - counts.bad, 0.0) + half};
}

double gain(const trial_counts& counts, double expected, double alternative)
{
    const double good = counts.calls - counts.bad;
    return counts.bad * std::log(alternative / expected) +
           good * std::log((1 - alternative) / (1 - expected));
}

} // namespace

void trial_counts::add(const trial_counts& other)
{
    calls += other.calls;
    bad += other.bad;
}

void trial_counts::decay(double factor)
{
    calls *= factor;
    bad *= factor;
}

void trimmed_counts::add(const trial_counts& window, double expected)
{
    sum_.add(window);
    const left_out item{window, window.bad - expected * window.calls};
    if (item.excess > worst_.front().excess) {
        worst_.front() = item;
        std::sort(worst_.begin(), worst_.end(), [](const left_out& left, const left_out& right) {
            return left.excess < right.excess;
        });
    }
}

trial_counts trimmed_counts::value() const
{
    auto rest = sum_;
    for (const auto& item : worst_) {
        rest.calls -= item.window.calls;
        rest.bad -= item.window.bad;
    }
    auto out = rest;
    for (const auto& item : worst_) {
        const double usual = rest.ratio() * item.window.calls;
        if (item.window.bad <= burst_base + burst_factor * usual) {
            out.add(item.window);
        }
    }
    return out;
}

void stratified_test::add(const trial_counts& old_side, const trial_counts& new_side)
{
    open_old_.add(old_side);
    open_new_.add(new_side);
    ++open_windows_;
    if (open_old_.calls < stratum_calls && open_windows_ < stratum_windows) {
        return;
    }
    closed_ = with_open_stratum();
    open_old_ = {};
    open_new_ = {};
    open_windows_ = 0;
}

stratified_test::totals stratified_test::with_open_stratum() const
{
    auto out = closed_;
    const double calls = open_old_.calls + open_new_.calls;
    const double bad = open_old_.bad + open_new_.bad;
    if (open_old_.calls <= 0 || open_new_.calls <= 0 || calls < 2) {
        return out;
    }
    const double part = open_new_.calls / calls;
    out.excess += open_new_.bad - part * bad;
    out.variance += part * (1 - part) * bad * (calls - bad) / (calls - 1);
    return out;
}

double stratified_test::deviations() const
{
    const auto sum = with_open_stratum();
    return sum.variance > 0 ? sum.excess / std::sqrt(sum.variance) : 0;
}

void release_comparison::add_window(const trial_counts& old_side, const trial_counts& new_side)
{
    old_total_.add(old_side);
    old_recent_.decay(recent_decay);
    old_recent_.add(old_side);
    if (old_recent_.calls >= least_recent_calls) {
        const double ratio = old_recent_.ratio();
        const double deviation = std::sqrt(ratio * (1 - ratio) / old_recent_.calls);
        old_worst_ratio_ = std::max(old_worst_ratio_, ratio - 2 * deviation);
    }
    const double expected = tolerated_ratio();
    new_total_.add(new_side, expected);
    since_mark_.add(new_side, expected);
    same_time_since_mark_.add(old_side, new_side);
    old_now_ = control_decay * old_now_ + old_side.calls;
    new_now_ = control_decay * new_now_ + new_side.calls;
    for (std::size_t i = 0; i < tests_.size(); ++i) {
        auto& test = tests_.at(i);
        const double alternative = std::min(expected + limits_.excess.at(i), greatest_ratio + 0.01);
        const double step =
            std::min(gain(new_side, expected, alternative), threshold * window_part);
        if (test.sum + step <= 0) {
            test = {};
            continue;
        }
        test.sum += step;
        test.at_same_time.add(old_side, new_side);
    }
}

bool release_comparison::differs(const stratified_test& test, double deviations) const
{
    const bool alone = old_now_ < least_control_part * new_now_;
    return alone || test.deviations() >= deviations;
}

void release_comparison::mark()
{
    since_mark_ = {};
    same_time_since_mark_ = {};
}

double release_comparison::tolerated_ratio() const
{
    // The mean of a Beta posterior whose prior is the long run, raised by its uncertainty.
    const double long_run = (old_total_.bad + 0.5) / (old_total_.calls + 100);
    const double calls = old_recent_.calls + prior_calls;
    const double mean = (old_recent_.bad + prior_calls * long_run) / calls;
    const double known = old_recent_.calls + std::min(old_total_.calls, greatest_prior_calls);
    const double deviation = std::sqrt(mean * (1 - mean) / std::max(known, prior_calls));
    double ratio = std::max(mean + deviation, long_run);
    if (old_recent_.calls < least_recent_calls) {
        ratio = std::max(ratio, old_worst_ratio_);
    }
    ratio = ratio * (1 + limits_.relative) + limits_.absolute;
    return std::clamp(ratio, least_ratio, greatest_ratio);
}

double release_comparison::strength() const
{
    double out = 0;
    for (const auto& test : tests_) {
        const double part = test.sum / threshold;
        out = std::max(
            out, differs(test.at_same_time, alarm_deviations) ? part : std::min(part, undecided));
    }
    return out;
}

bool release_comparison::is_worse() const
{
    return strength() >= 1;
}

double release_comparison::probability_worse(double least_calls) const
{
    if (since_mark_.sum().calls < least_calls ||
        !differs(same_time_since_mark_, doubt_deviations)) {
        return 0;
    }
    return boost::math::cdf(
        boost::math::complement(posterior(since_mark_.value()), tolerated_ratio()));
}

double release_comparison::excess_bound() const
{
    if (new_total_.sum().calls <= 0) {
        return 1;
    }
    return boost::math::quantile(posterior(new_total_.value()), confidence) - tolerated_ratio();
}

void release_comparison::restart()
{
    tests_.fill({});
}

void release_comparison::set_reference(const trial_counts& old_side)
{
    if (old_total_.calls < old_side.calls) {
        old_total_ = old_side;
    }
}

} // namespace camphor
