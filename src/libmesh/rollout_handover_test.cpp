// Tests roll-outs during which the leader dies or nodes restart. The new leader has to decide with
// the state and the outcomes that the other nodes hold: a bad release is rolled back within the
// allowed exposure, and a good one completes.
#define BOOST_TEST_MODULE rollout_handover
#include "libmesh/test_rollout.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr auto restart_delay = 200ms;

struct handover_case {
    const char* name;
    /// Second of the roll-out from which the new release fails half of its requests; none for a
    /// good release.
    std::optional<int> fails_from_second;
    /// Second and index of each node that is killed; it restarts after `restart_delay`.
    std::vector<std::pair<int, std::size_t>> kills;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& out, const handover_case& sample)
{
    return out << sample.name;
}

const std::vector<handover_case> handover_cases{
    {"leader killed once, bad from the start", 0, {{2, 0}}, rollout_phase::rolled_back},
    {"leader killed as the release turns bad", 3, {{3, 0}}, rollout_phase::rolled_back},
    {"two leaders killed, bad late", 4, {{3, 0}, {5, 1}, {6, 0}}, rollout_phase::rolled_back},
    {"all nodes restart in turn, bad from the start",
     0,
     {{1, 0}, {2, 1}, {3, 2}, {4, 3}, {5, 6}, {6, 4}, {7, 5}, {8, 7}, {9, 8}},
     rollout_phase::rolled_back},
    {"all nodes restart in turn, bad late",
     5,
     {{1, 0}, {2, 6}, {3, 1}, {4, 7}, {5, 2}, {6, 8}, {7, 3}, {8, 4}, {9, 5}},
     rollout_phase::rolled_back},
    {"all nodes restart in turn, good",
     std::nullopt,
     {{1, 0}, {2, 6}, {3, 1}, {4, 7}, {5, 2}, {6, 8}, {7, 3}, {8, 4}, {9, 5}},
     rollout_phase::completed},
    {"leader killed, good", std::nullopt, {{3, 0}}, rollout_phase::completed},
};

} // namespace

BOOST_DATA_TEST_CASE(restarts_do_not_change_the_outcome_of_a_rollout,
                     boost::unit_test::data::make(handover_cases), sample)
{
    simulated_mesh net(node_count);
    begin_rollout(net);
    const int sent = send_during_rollout(net, [&](int second) {
        for (std::size_t i = 0; i < node_count; ++i) {
            const bool is_bad = sample.fails_from_second && second >= *sample.fails_from_second &&
                                i >= first_new_node;
            net.app(i).failure_period = is_bad ? 2 : 0;
        }
        for (const auto& [killed_at, killed] : sample.kills) {
            if (killed_at == second) {
                net.kill(killed);
                net.after(restart_delay, [&net, node = killed] { net.restart_node(node); });
            }
        }
    });
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == sample.expected));
    if (sample.expected == rollout_phase::rolled_back) {
        BOOST_TEST(new_release_arrivals(net) <= allowed_exposure(sent));
    }
}

BOOST_AUTO_TEST_CASE(a_rollout_ends_by_its_deadline_when_the_leader_restarts_late)
{
    simulated_mesh net(node_count);
    net.configure(true, 1000ms, 400ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).release = release_id{i >= first_new_node ? "v2" : "v1"};
        net.app(i).work = 60ms;
        net.check_in(i);
    }
    net.order_rollout("v2", rollout_duration);
    const auto deadline = net.now() + rollout_duration;
    for (int tick = 0; net.now() < deadline; ++tick) {
        if (tick == 9 * requests_per_second) {
            net.kill(0);
            net.after(restart_delay, [&net] { net.restart_node(0); });
        }
        if (tick % requests_per_second == 0) {
            check_in_all(net);
        }
        net.send(static_cast<std::size_t>(tick) % node_count, "d" + std::to_string(tick));
        net.run_for(duration(1s) / requests_per_second);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase != rollout_phase::running));
}

BOOST_AUTO_TEST_CASE(a_slow_release_with_a_cold_start_is_rolled_back_in_a_short_rollout)
{
    constexpr int seconds = 11;
    simulated_mesh net(node_count);
    net.configure(true, 250ms, 100ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        const bool is_new = i >= first_new_node;
        net.app(i).release = release_id{is_new ? "v2" : "v1"};
        net.app(i).work = 40ms;
        // Half of the requests of the new release take longer than their callers wait.
        net.app(i).slow_period = is_new ? 2 : 0;
        net.app(i).slow_factor = 8;
        net.app(i).cold_until = is_new ? net.now() + 3s : time_point{};
        net.check_in(i);
    }
    net.order_rollout("v2", seconds * 1s);
    int sent = 0;
    for (int tick = 0; tick < seconds * requests_per_second; ++tick) {
        if (tick % requests_per_second == 0) {
            check_in_all(net);
        }
        net.send(static_cast<std::size_t>(tick) % node_count, "c" + std::to_string(tick), 250ms);
        ++sent;
        net.run_for(duration(1s) / requests_per_second);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == rollout_phase::rolled_back));
    BOOST_TEST(new_release_arrivals(net) <= allowed_exposure(sent));
}

namespace {

struct pause_case {
    const char* name;
    /// The machine is suspended, so that the steady clock stands still too.
    bool suspended;
};

std::ostream& operator<<(std::ostream& out, const pause_case& sample)
{
    return out << sample.name;
}

const std::vector<pause_case> pause_cases{{"the process stands still", false},
                                          {"the machine is suspended", true}};

} // namespace

// During the pause another node leads. The first step after it must not act on the old lead.
BOOST_DATA_TEST_CASE(a_paused_leader_gives_no_orders_when_it_resumes,
                     boost::unit_test::data::make(pause_cases), sample)
{
    constexpr auto pause = 4s;
    simulated_mesh net(node_count);
    begin_rollout(net);
    net.run_for(2s);
    BOOST_REQUIRE(net.share_frames(0) > 0);
    net.pause(0);
    net.run_for(pause);
    const int before = net.share_frames(0);
    const auto statuses = net.statuses().size();
    net.resume(0, sample.suspended ? std::optional<duration>(pause) : std::nullopt);
    BOOST_TEST(net.share_frames(0) == before);
    BOOST_TEST(net.statuses().size() == statuses);
    net.handle_deferred(0);
    net.run_for(20s);
    // It takes the lead again once the store has answered, and the roll-out has one outcome.
    BOOST_TEST((net.statuses().back().phase != rollout_phase::running));
    BOOST_TEST(net.statuses().size() == 2U);
}
