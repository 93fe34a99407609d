// Faults of a new release that show within few requests.
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

struct release {
    int requests = 0;
    double failing = 0;
    double slow = 0;
    int slow_factor = 1;
};

struct fault_case {
    const char* name;
    release old_side;
    release new_side;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const fault_case& item)
{
    return out << item.name;
}

/// Exact parts fail and are slow; latencies spread from 60 to 140 ms.
recent_outcomes outcomes(const release& item)
{
    recent_outcomes out;
    std::mt19937_64 random(20261204);
    std::uniform_int_distribution<int> spread(60, 140);
    for (int i = 0; i < item.requests; ++i) {
        const double at = (i + 0.5) / item.requests;
        if (at < item.failing) {
            out.add(0, 1, {});
            continue;
        }
        const bool slow = at - item.failing < item.slow;
        latency_histogram one;
        one.add(std::chrono::milliseconds(spread(random) * (slow ? item.slow_factor : 1)));
        out.add(1, 0, one);
    }
    return out;
}

const std::vector<fault_case> fault_cases{
    {"half of few requests fail", {400, 0.01}, {20, 0.5}, true},
    {"half fail while the old release fails too", {900, 0.13}, {28, 0.53}, true},
    {"both fail alike", {900, 0.13}, {60, 0.15}, false},
    {"one failure of few", {400, 0.0}, {10, 0.1}, false},
    {"half are eight times as slow", {400, 0.01}, {30, 0, 0.5, 8}, true},
    {"twice as slow, as while cold", {400, 0.01}, {30, 0, 1, 2}, false},
    {"sound", {400, 0.01}, {100, 0.01}, false},
    {"nothing seen of the new release", {400, 0.01}, {0}, false},
    {"most fail where nothing is known of the old release", {0}, {20, 0.6}, true},
};

} // namespace

BOOST_DATA_TEST_CASE(finds_gross_faults_only, boost::unit_test::data::make(fault_cases), item)
{
    BOOST_TEST(find_gross_fault(outcomes(item.old_side), outcomes(item.new_side)).has_value() ==
               item.expected);
}

struct suspect_case {
    const char* name;
    release old_side;
    release new_side;
    bool expected;
};

std::ostream& operator<<(std::ostream& out, const suspect_case& item)
{
    return out << item.name;
}

const std::vector<suspect_case> suspect_cases{
    {"an eighth fails where one in a hundred did", {765, 0.01}, {41, 0.122}, true},
    {"both fail alike", {900, 0.13}, {60, 0.15}, false},
    {"two failures of forty", {765, 0.01}, {40, 0.05}, false},
    {"sound", {765, 0.01}, {200, 0.01}, false},
    {"nothing seen", {765, 0.01}, {0}, false},
};

BOOST_DATA_TEST_CASE(suspects_what_fails_more, boost::unit_test::data::make(suspect_cases), item)
{
    BOOST_TEST(is_suspect(outcomes(item.old_side), outcomes(item.new_side)) == item.expected);
}
