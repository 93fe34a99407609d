// Tests which releases a request may go to during and after a roll-out.
#define BOOST_TEST_MODULE rollouts
#include "libmesh/rollouts.h"
#include "libmesh/store_position.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace std::chrono_literals;

namespace {

const service_id service{"s"};
const time_point start{1h};

struct release_case {
    const char* name;
    rollout_phase phase;
    /// Result of rollouts::choose() for the request.
    std::optional<release_id> chosen;
    /// Release of a backend server.
    release_id release;
    bool allowed;
};

std::ostream& operator<<(std::ostream& out, const release_case& sample)
{
    return out << sample.name;
}

const release_id old_release{"v1"};
const release_id target{"v2"};

const std::vector<release_case> release_cases{
    {"chosen for the target, backend server of the target", rollout_phase::running, target, target,
     true},
    {"chosen for the target, backend server of the old release", rollout_phase::running, target,
     old_release, false},
    {"not chosen for the target, backend server of the target", rollout_phase::running,
     std::nullopt, target, false},
    {"not chosen for the target, backend server of the old release", rollout_phase::running,
     std::nullopt, old_release, true},
    {"completed, backend server of the target", rollout_phase::completed, std::nullopt, target,
     true},
    {"completed, backend server of the old release", rollout_phase::completed, std::nullopt,
     old_release, false},
    {"rolled back, backend server of the target", rollout_phase::rolled_back, std::nullopt, target,
     false},
    {"rolled back, backend server of the old release", rollout_phase::rolled_back, std::nullopt,
     old_release, true},
};

} // namespace

BOOST_DATA_TEST_CASE(allows_only_backend_servers_of_the_chosen_release,
                     boost::unit_test::data::make(release_cases), sample)
{
    rollouts tested;
    tested.on_order({service, target, 14s, 1}, start);
    mesh_wire::rollout_share share;
    share.__set_service_name(service.value());
    share.__set_target(target.value());
    share.__set_order(1);
    share.__set_sequence(1);
    share.__set_permille(100);
    share.__set_stage(1);
    share.__set_phase(static_cast<std::int32_t>(sample.phase));
    tested.on_share(share, start);
    BOOST_TEST(tested.allows(service, sample.release, sample.chosen) == sample.allowed);
}

namespace {

mesh_wire::rollout_share make_share(std::int64_t order, rollout_phase phase)
{
    mesh_wire::rollout_share share;
    share.__set_service_name(service.value());
    share.__set_target(target.value());
    share.__set_order(order);
    share.__set_sequence(9);
    share.__set_permille(1'000);
    share.__set_phase(static_cast<std::int32_t>(phase));
    return share;
}

struct restored_case {
    const char* name;
    /// Positions of an earlier order to the old release and of the known one to the target.
    store_position earlier;
    store_position known;
    /// Found in the store, or stated by another node, after it came back from a copy.
    rollout_order found;
    /// The target's backend servers stay in use: its roll-out has completed.
    bool stays_completed;
};

std::ostream& operator<<(std::ostream& out, const restored_case& sample)
{
    return out << sample.name;
}

const std::vector<restored_case> restored_cases{
    {"the order survived",
     {1, 5},
     {1, 9},
     {service, target, 14s, store_position{2, 9}.packed()},
     true},
    {"the order was written again",
     {1, 5},
     {1, 9},
     {service, target, 14s, store_position{2, 7}.packed()},
     true},
    {"the order before it survived",
     {1, 5},
     {1, 9},
     {service, old_release, 14s, store_position{2, 5}.packed()},
     true},
    {"a new order to the earlier release",
     {1, 5},
     {1, 9},
     {service, old_release, 14s, store_position{2, 8}.packed()},
     false},
    {"a new order of the same era",
     {1, 5},
     {1, 9},
     {service, target, 14s, store_position{1, 10}.packed()},
     false},
};

} // namespace

// Guards against a completed roll-out that begins again when the store comes back from a copy.
BOOST_DATA_TEST_CASE(an_order_found_again_in_a_restored_store_keeps_its_outcome,
                     boost::unit_test::data::make(restored_cases), sample)
{
    for (const bool from_store : {true, false}) {
        rollouts tested;
        tested.on_order({service, old_release, 14s, sample.earlier.packed()}, start);
        tested.on_order({service, target, 14s, sample.known.packed()}, start);
        tested.on_share(make_share(sample.known.packed(), rollout_phase::completed), start);
        tested.on_store_restored(2);
        if (from_store) {
            tested.on_order(sample.found, start);
        } else {
            auto share = make_share(sample.found.row_version, rollout_phase::running);
            share.__set_target(sample.found.target.value());
            share.__set_permille(0);
            tested.on_share(share, start);
        }
        const auto known = tested.shares(start).front();
        const bool is_completed = known.target == target.value() &&
                                  known.phase == static_cast<int>(rollout_phase::completed);
        BOOST_TEST(is_completed == sample.stays_completed);
    }
}

// Guards against a status that names the version of an order which the store has lost.
BOOST_AUTO_TEST_CASE(a_status_is_written_again_once_the_order_is_back_in_the_store)
{
    const rollouts::limits allowed{0.1, true, [](const auto&) { return 1s; },
                                   [](const auto&, const auto&) {
                                       return true;
                                   }};
    rollouts tested;
    tested.on_order({service, target, 14s, store_position{1, 9}.packed()}, start);
    tested.on_share(make_share(store_position{1, 9}.packed(), rollout_phase::completed), start);
    const auto first = tested.decide(start, allowed);
    BOOST_REQUIRE_EQUAL(first.writes.size(), 1U);
    rollout_status_written written;
    written.status = first.writes.front().status;
    written.row_version = store_position{1, 10}.packed();
    tested.on_written(written, start);
    BOOST_TEST(tested.decide(start, allowed).writes.empty());
    tested.on_store_restored(2);
    BOOST_TEST(tested.decide(start, allowed).writes.empty());
    tested.on_order({service, target, 14s, store_position{2, 7}.packed()}, start);
    const auto again = tested.decide(start, allowed);
    BOOST_REQUIRE_EQUAL(again.writes.size(), 1U);
    BOOST_TEST(again.writes.front().status.order == 7);
    BOOST_TEST(again.writes.front().expected_version == 0);
    BOOST_TEST((again.writes.front().status.phase == rollout_phase::completed));
}

// Guards against a status write that is repeated for ever after its row was lost, and against one
// of the lost row that is believed written.
BOOST_AUTO_TEST_CASE(results_from_before_the_restoration_are_ignored)
{
    const rollouts::limits allowed{0.1, true, [](const auto&) { return 1s; },
                                   [](const auto&, const auto&) {
                                       return true;
                                   }};
    using outcome = rollout_status_written::outcome;
    rollouts tested;
    tested.on_order({service, target, 14s, store_position{1, 9}.packed()}, start);
    tested.on_share(make_share(store_position{1, 9}.packed(), rollout_phase::completed), start);
    auto now = start;
    const auto first = tested.decide(now, allowed);
    BOOST_REQUIRE_EQUAL(first.writes.size(), 1U);
    tested.on_store_restored(2);
    tested.on_order({service, target, 14s, store_position{2, 9}.packed()}, now);
    tested.on_written(
        {first.writes.front().status, outcome::written, store_position{1, 12}.packed()}, now);
    tested.on_status({first.writes.front().status, store_position{1, 12}.packed()});
    now += 1s;
    const auto second = tested.decide(now, allowed);
    BOOST_REQUIRE_EQUAL(second.writes.size(), 1U);
    BOOST_TEST(second.writes.front().expected_version == 0);
    // A row that was read in this era and is gone since: the conflict finds none.
    tested.on_written({second.writes.front().status, outcome::conflict, 0}, now);
    tested.on_status(
        {{service, old_release, 3, rollout_phase::completed}, store_position{2, 4}.packed()});
    now += 1s;
    const auto third = tested.decide(now, allowed);
    BOOST_REQUIRE_EQUAL(third.writes.size(), 1U);
    BOOST_TEST(third.writes.front().expected_version == 4);
    tested.on_written({third.writes.front().status, outcome::conflict, 0}, now);
    now += 1s;
    BOOST_TEST(tested.decide(now, allowed).writes.front().expected_version == 0);
}
