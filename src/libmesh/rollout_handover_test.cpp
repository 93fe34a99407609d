// Roll-outs whose deciding node dies, and nodes that restart while a release is judged.
#define BOOST_TEST_MODULE rollout_handover
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t nodes = 9;
/// Nodes from here on have the new release.
constexpr std::size_t first_new = 6;
constexpr int requests_per_second = 120;
constexpr auto order_time = 14s;
constexpr auto restart_time = 200ms;
/// What operators allow a bad release: this part of the requests, and the slack.
constexpr int exposed_part = 10;
constexpr int exposure_slack = 50;

struct handover_case {
    const char* name;
    /// The new release fails from this second of the order on; none: it is good.
    std::optional<int> fails_from;
    /// Nodes that die, by second; each is back after the restart time.
    std::vector<std::pair<int, std::size_t>> deaths;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& out, const handover_case& item)
{
    return out << item.name;
}

const std::vector<handover_case> handover_cases{
    {"the decider dies once, bad at once", 0, {{2, 0}}, rollout_phase::rolled_back},
    {"the decider dies as the release turns bad", 3, {{3, 0}}, rollout_phase::rolled_back},
    {"two deciders die, bad late", 4, {{3, 0}, {5, 1}, {6, 0}}, rollout_phase::rolled_back},
    {"all restart in turn, bad at once",
     0,
     {{1, 0}, {2, 1}, {3, 2}, {4, 3}, {5, 6}, {6, 4}, {7, 5}, {8, 7}, {9, 8}},
     rollout_phase::rolled_back},
    {"all restart in turn, bad late",
     5,
     {{1, 0}, {2, 6}, {3, 1}, {4, 7}, {5, 2}, {6, 8}, {7, 3}, {8, 4}, {9, 5}},
     rollout_phase::rolled_back},
    {"all restart in turn, good",
     std::nullopt,
     {{1, 0}, {2, 6}, {3, 1}, {4, 7}, {5, 2}, {6, 8}, {7, 3}, {8, 4}, {9, 5}},
     rollout_phase::completed},
    {"the decider dies, good", std::nullopt, {{3, 0}}, rollout_phase::completed},
};

int arrivals(test_net& net)
{
    int sum = 0;
    for (std::size_t i = first_new; i < nodes; ++i) {
        sum += net.app(i).arrivals;
    }
    return sum;
}

} // namespace

BOOST_DATA_TEST_CASE(a_bad_release_is_taken_back_though_the_deciding_node_died,
                     boost::unit_test::data::make(handover_cases), item)
{
    test_net net(nodes);
    net.configure(true, 1000ms, 400ms);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.app(i).slots = 6;
        net.app(i).release = release_id{i >= first_new ? "v2" : "v1"};
        net.app(i).work = 60ms;
        net.check_in(i);
    }
    net.order_rollout("v2", order_time);
    int sent = 0;
    for (int tick = 0; tick < order_time / 1s * requests_per_second; ++tick) {
        const int second = tick / requests_per_second;
        if (tick % requests_per_second == 0) {
            for (std::size_t i = 0; i < nodes; ++i) {
                net.check_in(i);
                const bool bad = item.fails_from && second >= *item.fails_from && i >= first_new;
                net.app(i).fails_each = bad ? 2 : 0;
            }
            for (const auto& [when, who] : item.deaths) {
                if (when == second) {
                    net.kill(who);
                    net.after(restart_time, [&net, node = who] { net.start_again(node); });
                }
            }
        }
        net.send(static_cast<std::size_t>(tick) % nodes, "m" + std::to_string(tick));
        ++sent;
        net.run_for(duration(1s) / requests_per_second);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == item.expected));
    if (item.expected == rollout_phase::rolled_back) {
        BOOST_TEST(arrivals(net) <= sent / exposed_part + exposure_slack);
    }
}

BOOST_AUTO_TEST_CASE(a_rollout_ends_by_its_deadline_though_the_deciding_node_restarts_late)
{
    test_net net(nodes);
    net.configure(true, 1000ms, 400ms);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.app(i).release = release_id{i >= first_new ? "v2" : "v1"};
        net.app(i).work = 60ms;
        net.check_in(i);
    }
    net.order_rollout("v2", order_time);
    const auto deadline = net.now() + order_time;
    for (int tick = 0; net.now() < deadline; ++tick) {
        if (tick == 9 * requests_per_second) {
            net.kill(0);
            net.after(restart_time, [&net] { net.start_again(0); });
        }
        if (tick % requests_per_second == 0) {
            for (std::size_t i = 0; i < nodes; ++i) {
                net.check_in(i);
            }
        }
        net.send(static_cast<std::size_t>(tick) % nodes, "d" + std::to_string(tick));
        net.run_for(duration(1s) / requests_per_second);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase != rollout_phase::running));
}

BOOST_AUTO_TEST_CASE(a_slow_release_that_starts_cold_is_taken_back_within_a_short_order)
{
    constexpr int seconds = 11;
    test_net net(nodes);
    net.configure(true, 250ms, 100ms);
    for (std::size_t i = 0; i < nodes; ++i) {
        const bool is_new = i >= first_new;
        net.app(i).release = release_id{is_new ? "v2" : "v1"};
        net.app(i).work = 40ms;
        // Half of its requests take longer than their callers wait.
        net.app(i).slow_each = is_new ? 2 : 0;
        net.app(i).slow_factor = 8;
        net.app(i).cold_until = is_new ? net.now() + 3s : time_point{};
        net.check_in(i);
    }
    net.order_rollout("v2", seconds * 1s);
    int sent = 0;
    for (int tick = 0; tick < seconds * requests_per_second; ++tick) {
        if (tick % requests_per_second == 0) {
            for (std::size_t i = 0; i < nodes; ++i) {
                net.check_in(i);
            }
        }
        net.send(static_cast<std::size_t>(tick) % nodes, "c" + std::to_string(tick), 250ms);
        ++sent;
        net.run_for(duration(1s) / requests_per_second);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == rollout_phase::rolled_back));
    BOOST_TEST(arrivals(net) <= sent / exposed_part + exposure_slack);
}
