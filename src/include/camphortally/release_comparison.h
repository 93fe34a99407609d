// Sequential test of one bad-event ratio of a new release against the old one at the same time.
#pragma once

#include <array>
#include <cstddef>

namespace camphor {

/// Calls and how many of them went badly (failed, or were slow).
struct trial_counts {
    double calls = 0;
    double bad = 0;

    void add(const trial_counts& other);
    void decay(double factor);
    /// bad / calls; 0 without calls.
    double ratio() const { return calls > 0 ? bad / calls : 0; }
};

/// What a difference must exceed to count.
struct tolerance {
    /// Ratio, as part of all calls, by which the new release may be worse.
    double absolute = 0;
    /// Part of the old release's ratio by which the new one may be worse.
    double relative = 0;
    /// Excess ratios over the tolerated one that the test looks for.
    std::array<double, 4> excess{};
};

/// Sum of windows from which the two worst are left out where they stand out as bursts, so that a
/// short burst does not weigh on it for long.
class trimmed_counts {
public:
    /// `expected` is the tolerated ratio; a window is the worse the more bad calls it has above it.
    void add(const trial_counts& window, double expected);
    /// The sum without bursts.
    trial_counts value() const;
    const trial_counts& sum() const { return sum_; }

private:
    struct left_out {
        trial_counts window;
        double excess = 0;
    };

    trial_counts sum_;
    /// Ascending by excess.
    std::array<left_out, 2> worst_{};
};

/// Cochran-Mantel-Haenszel statistic over short strata of time: whether the new release's calls
/// went worse than the old one's of the same moment, whatever hit both.
class stratified_test {
public:
    void add(const trial_counts& old_side, const trial_counts& new_side);
    /// Standard deviations by which the new release's bad calls exceed their share.
    double deviations() const;

private:
    struct totals {
        double excess = 0;
        double variance = 0;
    };

    totals with_open_stratum() const;

    totals closed_;
    trial_counts open_old_;
    trial_counts open_new_;
    int open_windows_ = 0;
};

/// CUSUM of log likelihood ratios, one per excess of the tolerance: tests whether the new release's
/// ratio left the tolerated one, at any moment, after any number of looks. The tolerated ratio
/// follows the old release's calls of the same seconds, so what hits both is not held against one;
/// a sum over the threshold counts only if both releases' calls since it left zero differ.
/// Invariant: one window raises a sum by at most a part of the threshold, so no single window
/// decides.
class release_comparison {
public:
    explicit release_comparison(const tolerance& limits) : limits_(limits) {}

    /// Adds the calls of one window of both releases.
    void add_window(const trial_counts& old_side, const trial_counts& new_side);

    /// True when the evidence against the new release is strong.
    bool is_worse() const;
    /// Largest sum as part of the threshold; 1 or more means is_worse().
    double strength() const;
    /// Probability that the new release's ratio is above the tolerated one, given the calls since
    /// mark() but for bursts. 0 with fewer than `least_calls` calls.
    double probability_worse(double least_calls) const;
    /// Upper 95% bound of the new release's ratio over the tolerated one, all calls counted but
    /// for bursts; 1 with no calls.
    double excess_bound() const;

    /// Restarts the sums, not the knowledge of the old release.
    void restart();
    /// Starts the span that probability_worse() speaks of.
    void mark();

    /// The ratio that the new release is held to now.
    double tolerated_ratio() const;
    const trial_counts& old_total() const { return old_total_; }
    const trial_counts& new_total() const { return new_total_.sum(); }
    const trial_counts& new_since_mark() const { return since_mark_.sum(); }
    /// Takes over what an earlier holder knew of the old release.
    void set_reference(const trial_counts& old_side);

private:
    tolerance limits_;
    /// Test for one excess, and the calls since its sum was last zero.
    struct excursion {
        double sum = 0;
        stratified_test at_same_time;
    };

    bool differs(const stratified_test& test, double deviations) const;

    std::array<excursion, 4> tests_{};
    trial_counts old_total_;
    /// Decays within seconds: the old release at the same time.
    trial_counts old_recent_;
    /// Calls of the last windows, by release.
    double old_now_ = 0;
    double new_now_ = 0;
    /// Lower bound of the worst recent ratio of the old release so far; stands in when it has no
    /// calls.
    double old_worst_ratio_ = 0;
    trimmed_counts new_total_;
    trimmed_counts since_mark_;
    stratified_test same_time_since_mark_;
};

} // namespace camphor
