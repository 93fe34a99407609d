// Tests the comparison of two releases on few requests.
#define BOOST_TEST_MODULE gross_fault
#include "libmesh/gross_fault.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace std::chrono_literals;

namespace {

/// Outcomes to generate for one release; the fractions are of its requests.
struct generated_release {
    int requests = 0;
    double failing_fraction = 0;
    double slow_fraction = 0;
    int slow_factor = 1;
    double shed_fraction = 0;
};

struct fault_case {
    const char* name;
    generated_release old_release;
    generated_release new_release;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const fault_case& sample)
{
    return out << sample.name;
}

/// Generates outcomes with exactly the given fractions of failed, slow and shed requests. Latencies
/// are uniform from 60 to 140 ms, times the slow factor.
recent_outcomes outcomes(const generated_release& release)
{
    recent_outcomes out;
    std::mt19937_64 random(20261204);
    std::uniform_int_distribution<int> base_latency_ms(60, 140);
    for (int i = 0; i < release.requests; ++i) {
        const double position = (i + 0.5) / release.requests;
        if (position < release.failing_fraction) {
            out.add({0, 1, 0, {}});
            continue;
        }
        if (position > 1 - release.shed_fraction) {
            out.add({0, 0, 1, {}});
            continue;
        }
        const bool slow = position - release.failing_fraction < release.slow_fraction;
        latency_histogram latency;
        latency.add(
            std::chrono::milliseconds(base_latency_ms(random) * (slow ? release.slow_factor : 1)));
        out.add({1, 0, 0, latency});
    }
    return out;
}

const std::vector<fault_case> fault_cases{
    {"half of few requests fail", {400, 0.01}, {20, 0.5}, true},
    {"half fail while the old release fails too", {900, 0.13}, {28, 0.53}, true},
    {"both have the same failure ratio", {900, 0.13}, {60, 0.15}, false},
    {"one failure of few", {400, 0.0}, {10, 0.1}, false},
    {"half are eight times as slow", {400, 0.01}, {30, 0, 0.5, 8}, true},
    {"twice as slow, as during a cold start", {400, 0.01}, {30, 0, 1, 2}, false},
    {"healthy", {400, 0.01}, {100, 0.01}, false},
    {"no requests of the new release", {400, 0.01}, {0}, false},
    {"most fail, without requests of the old release", {0}, {20, 0.6}, true},
    {"a third fails while the old release sheds half", {400, 0.01, 0, 1, 0.5}, {30, 0.33}, true},
    {"both shed half", {400, 0.01, 0, 1, 0.5}, {60, 0.01, 0, 1, 0.5}, false},
    {"sheds half, the old release none", {400, 0.01}, {20, 0, 0, 1, 0.5}, false},
};

} // namespace

BOOST_DATA_TEST_CASE(finds_only_large_faults, boost::unit_test::data::make(fault_cases), sample)
{
    BOOST_TEST(
        find_gross_fault(outcomes(sample.old_release), outcomes(sample.new_release)).has_value() ==
        sample.expected);
}

struct suspect_case {
    const char* name;
    generated_release old_release;
    generated_release new_release;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const suspect_case& sample)
{
    return out << sample.name;
}

const std::vector<suspect_case> suspect_cases{
    {"an eighth fails where one in a hundred did", {765, 0.01}, {41, 0.122}, true},
    {"both have the same failure ratio", {900, 0.13}, {60, 0.15}, false},
    {"two failures of forty", {765, 0.01}, {40, 0.05}, false},
    {"healthy", {765, 0.01}, {200, 0.01}, false},
    {"no requests of the new release", {765, 0.01}, {0}, false},
    {"an eighth fails while the old release sheds half", {765, 0.01, 0, 1, 0.5}, {41, 0.122}, true},
    {"both shed half", {765, 0.01, 0, 1, 0.5}, {60, 0.01, 0, 1, 0.5}, false},
};

BOOST_DATA_TEST_CASE(suspects_a_release_with_a_higher_failure_ratio,
                     boost::unit_test::data::make(suspect_cases), sample)
{
    BOOST_TEST(is_suspect(outcomes(sample.old_release), outcomes(sample.new_release)) ==
               sample.expected);
}

struct often_failing_case {
    const char* name;
    generated_release release;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const often_failing_case& sample)
{
    return out << sample.name;
}

const std::vector<often_failing_case> often_failing_cases{
    {"a third fails", {30, 0.33}, true},
    {"a tenth fails", {300, 0.1}, false},
    {"two failures of four", {4, 0.5}, false},
    {"a third of those that are not shed fails", {60, 0.165, 0, 1, 0.5}, true},
    {"half are shed", {60, 0, 0, 1, 0.5}, false},
    {"no requests", {0}, false},
};

BOOST_DATA_TEST_CASE(recognizes_a_release_that_fails_often,
                     boost::unit_test::data::make(often_failing_cases), sample)
{
    BOOST_TEST(fails_often(outcomes(sample.release)) == sample.expected);
}

struct shedding_case {
    const char* name;
    /// Outcomes before the doubt, and in each window from then on.
    generated_release old_before;
    generated_release new_before;
    generated_release old_window;
    generated_release new_window;
    shed_comparison::verdict first;
    shed_comparison::verdict last;
};

std::ostream& operator<<(std::ostream& out, const shedding_case& sample)
{
    return out << sample.name;
}

using verdict = shed_comparison::verdict;

const std::vector<shedding_case> shedding_cases{
    {"neither sheds", {400, 0.01}, {60}, {20}, {10}, verdict::alike, verdict::alike},
    {"sheds half, the old release none",
     {400, 0.01},
     {20, 0, 0, 1, 0.5},
     {20},
     {4, 0, 0, 1, 0.5},
     verdict::in_doubt,
     verdict::worse},
    {"sheds half, without requests of the old release",
     {0},
     {20, 0, 0, 1, 0.5},
     {0},
     {20, 0, 0, 1, 0.5},
     verdict::in_doubt,
     verdict::worse},
    {"both begin to shed half",
     {400, 0.01},
     {20, 0, 0, 1, 0.5},
     {20, 0, 0, 1, 0.5},
     {4, 0, 0, 1, 0.5},
     verdict::in_doubt,
     verdict::alike},
    {"both begin to shed half, hardly any requests of the old release",
     {400, 0.01},
     {20, 0, 0, 1, 0.5},
     {2, 0, 0, 1, 0.5},
     {20, 0, 0, 1, 0.5},
     verdict::in_doubt,
     verdict::alike},
    {"both have shed half",
     {400, 0.01, 0, 1, 0.5},
     {60, 0.01, 0, 1, 0.5},
     {20, 0, 0, 1, 0.5},
     {4, 0, 0, 1, 0.5},
     verdict::alike,
     verdict::alike},
    {"half fail, none are shed",
     {400, 0.01},
     {20, 0.5},
     {20},
     {4, 0.5},
     verdict::alike,
     verdict::alike},
};

BOOST_DATA_TEST_CASE(recognizes_a_release_that_sheds_far_more,
                     boost::unit_test::data::make(shedding_cases), sample)
{
    const release_outcomes recent{outcomes(sample.old_before), outcomes(sample.new_before)};
    const release_outcomes window{outcomes(sample.old_window), outcomes(sample.new_window)};
    shed_comparison tested;
    time_point now{1h};
    BOOST_TEST((tested.add_window({}, recent, now) == sample.first));
    auto last = sample.first;
    for (int i = 0; i < 5; ++i) {
        now += 200ms;
        last = tested.add_window(window, recent, now);
    }
    BOOST_TEST((last == sample.last));
}
