// Which owner runs a request.
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

candidate make(const char* node, bool same_zone, int running, duration hold, double failing = 0,
               duration age = 0ms)
{
    candidate out;
    out.node = node_id{node};
    out.same_zone = same_zone;
    out.running = running;
    out.slots = 10;
    out.hold = hold;
    out.failing = failing;
    out.age = age;
    return out;
}

candidate tried(candidate item)
{
    item.tried = true;
    return item;
}

struct placement_case {
    const char* name;
    std::vector<candidate> items;
    std::size_t expected;
};

std::ostream& operator<<(std::ostream& out, const placement_case& item)
{
    return out << item.name;
}

const std::vector<placement_case> placement_cases{
    {"the own zone when both are in time",
     {make("a", false, 1, 50ms), make("b", true, 5, 150ms)},
     1},
    {"another zone when the own is full",
     {make("a", false, 1, 50ms), make("b", true, 10, 150ms)},
     0},
    {"the fast one when the slow one would be late",
     {make("a", true, 2, 500ms), make("b", true, 6, 100ms)},
     1},
    {"the sound one beside one that fails",
     {make("a", true, 1, 100ms, 0.4), make("b", false, 1, 100ms)},
     1},
    {"the less loaded of equals", {make("a", true, 8, 100ms), make("b", true, 2, 100ms)}, 1},
    {"another one than the one that did not serve it",
     {tried(make("a", true, 1, 100ms)), make("b", false, 9, 200ms)},
     1},
    {"an old report of a full owner is not believed for long",
     {make("a", true, 10, 100ms, 0, 90ms), make("b", false, 10, 100ms)},
     0},
};

} // namespace

BOOST_DATA_TEST_CASE(chooses, boost::unit_test::data::make(placement_cases), item)
{
    placement_request wanted;
    wanted.objective_left = 400ms;
    wanted.crossing_cost = 0.06;
    wanted.jitter = 0.5;
    const auto chosen = choose(item.items, wanted);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == item.expected);
}

BOOST_AUTO_TEST_CASE(idle_equals_all_get_their_part)
{
    // A newcomer has the last name of its zone, and nothing runs there.
    const std::vector<candidate> items{make("a", true, 0, 100ms), make("b", true, 0, 100ms),
                                       make("new", true, 0, 100ms), make("c", false, 0, 100ms)};
    constexpr int requests = 400;
    std::vector<int> chosen(items.size());
    for (int i = 0; i < requests; ++i) {
        placement_request wanted;
        wanted.objective_left = 400ms;
        wanted.crossing_cost = 0.05;
        wanted.jitter = static_cast<double>(i) / requests;
        ++chosen.at(*choose(items, wanted));
    }
    BOOST_TEST(chosen.at(0) >= requests / 5);
    BOOST_TEST(chosen.at(1) >= requests / 5);
    BOOST_TEST(chosen.at(2) >= requests / 5);
    BOOST_TEST(chosen.at(3) == 0);
}

BOOST_AUTO_TEST_CASE(the_own_backend_server_comes_first_among_equals)
{
    std::vector<candidate> items{make("a", true, 0, 100ms), make("own", true, 0, 100ms)};
    items.back().is_own = true;
    for (const double jitter : {0.0, 0.4, 0.9}) {
        placement_request wanted;
        wanted.objective_left = 400ms;
        wanted.jitter = jitter;
        BOOST_TEST(*choose(items, wanted) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(has_no_choice_without_candidates)
{
    BOOST_TEST(!choose({}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(expects_reported_requests_to_end)
{
    auto item = make("a", true, 10, 100ms);
    BOOST_TEST(expected_load(item) == 10);
    item.age = 50ms;
    BOOST_TEST(expected_load(item) == 5);
    item.age = 10s;
    BOOST_TEST(expected_load(item) == 0);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_ratio_and_extra_in_any_window)
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
        // The window's requests, or those of the window before it, as the operators count.
        BOOST_TEST(retries <= ratio * std::max(requests, 1100) + extra);
    }
}
