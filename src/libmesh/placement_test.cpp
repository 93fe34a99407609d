// Tests the choice of the backend server for a request, and the retry budget.
#define BOOST_TEST_MODULE placement
#include "libmesh/placement.h"
#include "libmesh/retry_window.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace std::chrono_literals;

namespace {

candidate make_candidate(const char* node, bool same_zone, int running, duration mean_hold,
                         double failure_ratio = 0, duration report_age = 0ms)
{
    candidate out;
    out.node = node_id{node};
    out.same_zone = same_zone;
    out.running = running;
    out.slots = 10;
    out.mean_hold = mean_hold;
    out.failure_ratio = failure_ratio;
    out.report_age = report_age;
    return out;
}

candidate with_failed_attempt(candidate target)
{
    target.tried = true;
    return target;
}

struct placement_case {
    const char* name;
    std::vector<candidate> candidates;
    std::size_t expected;
};

std::ostream& operator<<(std::ostream& out, const placement_case& sample)
{
    return out << sample.name;
}

const std::vector<placement_case> placement_cases{
    {"the local zone when both are in time",
     {make_candidate("a", false, 1, 50ms), make_candidate("b", true, 5, 150ms)},
     1},
    {"another zone when the local one is full",
     {make_candidate("a", false, 1, 50ms), make_candidate("b", true, 10, 150ms)},
     0},
    {"the faster one when the slower would be late",
     {make_candidate("a", true, 2, 500ms), make_candidate("b", true, 6, 100ms)},
     1},
    {"the healthy one rather than the failing one",
     {make_candidate("a", true, 1, 100ms, 0.4), make_candidate("b", false, 1, 100ms)},
     1},
    {"the less loaded of otherwise equal ones",
     {make_candidate("a", true, 8, 100ms), make_candidate("b", true, 2, 100ms)},
     1},
    {"not the one that has already failed to serve the request",
     {with_failed_attempt(make_candidate("a", true, 1, 100ms)),
      make_candidate("b", false, 9, 200ms)},
     1},
    {"an old report of a full backend server is discounted",
     {make_candidate("a", true, 10, 100ms, 0, 90ms), make_candidate("b", false, 10, 100ms)},
     0},
};

} // namespace

BOOST_DATA_TEST_CASE(chooses_the_candidate_with_the_lowest_cost,
                     boost::unit_test::data::make(placement_cases), sample)
{
    placement_request wanted;
    wanted.objective_left = 400ms;
    wanted.crossing_cost = 0.06;
    wanted.jitter = 0.5;
    const auto chosen = choose_candidate(sample.candidates, wanted);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == sample.expected);
}

BOOST_AUTO_TEST_CASE(spreads_requests_over_equal_idle_candidates)
{
    // `new` has just joined, is idle and sorts last in its zone.
    const std::vector<candidate> candidates{
        make_candidate("a", true, 0, 100ms), make_candidate("b", true, 0, 100ms),
        make_candidate("new", true, 0, 100ms), make_candidate("c", false, 0, 100ms)};
    constexpr int requests = 400;
    std::vector<int> chosen(candidates.size());
    for (int i = 0; i < requests; ++i) {
        placement_request wanted;
        wanted.objective_left = 400ms;
        wanted.crossing_cost = 0.05;
        wanted.jitter = static_cast<double>(i) / requests;
        ++chosen.at(*choose_candidate(candidates, wanted));
    }
    BOOST_TEST(chosen.at(0) >= requests / 5);
    BOOST_TEST(chosen.at(1) >= requests / 5);
    BOOST_TEST(chosen.at(2) >= requests / 5);
    BOOST_TEST(chosen.at(3) == 0);
}

BOOST_AUTO_TEST_CASE(prefers_the_local_backend_server_among_equals)
{
    std::vector<candidate> candidates{make_candidate("a", true, 0, 100ms),
                                      make_candidate("own", true, 0, 100ms)};
    candidates.back().is_local = true;
    for (const double jitter : {0.0, 0.4, 0.9}) {
        placement_request wanted;
        wanted.objective_left = 400ms;
        wanted.jitter = jitter;
        BOOST_TEST(*choose_candidate(candidates, wanted) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(returns_none_without_candidates)
{
    BOOST_TEST(!choose_candidate({}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(expected_load_falls_with_the_age_of_the_report)
{
    auto target = make_candidate("a", true, 10, 100ms);
    BOOST_TEST(expected_load(target) == 10);
    target.report_age = 50ms;
    BOOST_TEST(expected_load(target) == 5);
    target.report_age = 10s;
    BOOST_TEST(expected_load(target) == 0);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_in_any_window)
{
    constexpr double ratio = 0.1;
    constexpr double extra = 5;
    retry_window budget(10s);
    time_point now{1h};
    std::vector<std::pair<time_point, bool>> history;
    for (int i = 0; i < 6000; ++i) {
        now += 10ms;
        // Half of the time every request fails.
        const bool failing = (i / 500) % 2 == 0;
        budget.on_request(now);
        history.emplace_back(now, failing && budget.try_spend(ratio, extra, now));
    }
    for (std::size_t last = 0; last < history.size(); last += 50) {
        int requests = 0;
        int retries = 0;
        for (const auto& [at, retried] : history) {
            if (at <= history[last].first && at > history[last].first - 10s) {
                ++requests;
                retries += retried ? 1 : 0;
            }
        }
        // The operators' rule counts the requests of the window itself or of the one before it.
        BOOST_TEST(retries <= ratio * std::max(requests, 1100) + extra);
    }
}
