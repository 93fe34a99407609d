// Tests roll-outs during which the backend servers of the old release are in trouble of their own.
// What goes wrong at the old release must not hide a fault of the new one, nor end a good roll-out.
#define BOOST_TEST_MODULE rollout_trouble
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

/// One in so many requests fails or is shed; 0: none.
struct trouble {
    int failure_period = 0;
    int shed_period = 0;
};

struct trouble_case {
    const char* name;
    trouble old_release;
    trouble new_release;
    /// Seconds of the roll-out in which the old release is in trouble: the first, and the end.
    int from_second;
    int end_second;
    /// The new release's trouble lasts for the whole roll-out, or as long as the old one's.
    bool new_recovers;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& out, const trouble_case& sample)
{
    return out << sample.name;
}

constexpr int whole_rollout = rollout_duration / 1s;

const std::vector<trouble_case> trouble_cases{
    {"bad while the old release sheds half",
     {0, 2},
     {2, 0},
     0,
     9,
     false,
     rollout_phase::rolled_back},
    {"bad while the old release sheds half to the end",
     {0, 2},
     {2, 0},
     0,
     whole_rollout,
     false,
     rollout_phase::rolled_back},
    {"a third fails, the old release sheds half later",
     {0, 2},
     {3, 0},
     1,
     9,
     false,
     rollout_phase::rolled_back},
    {"good while the old release sheds half", {0, 2}, {}, 0, 9, false, rollout_phase::completed},
    {"good while both releases shed half", {0, 2}, {0, 2}, 2, 6, true, rollout_phase::completed},
    {"good, both releases begin to shed half in the middle",
     {0, 2},
     {0, 2},
     5,
     12,
     true,
     rollout_phase::completed},
    {"bad while the old release fails half too",
     {2, 0},
     {2, 0},
     0,
     9,
     false,
     rollout_phase::rolled_back},
    {"bad while the old release fails half too, to the end",
     {2, 0},
     {2, 0},
     0,
     whole_rollout,
     false,
     rollout_phase::rolled_back},
    {"a third fails, the old release fails half later",
     {2, 0},
     {3, 0},
     1,
     whole_rollout,
     false,
     rollout_phase::rolled_back},
    {"good while both releases fail a third", {3, 0}, {3, 0}, 2, 6, true, rollout_phase::completed},
    {"good while the old release fails half", {2, 0}, {}, 0, 9, false, rollout_phase::completed},
    {"sheds half, the old release none",
     {},
     {0, 2},
     0,
     whole_rollout,
     false,
     rollout_phase::rolled_back},
};

} // namespace

BOOST_DATA_TEST_CASE(trouble_of_the_old_release_does_not_excuse_the_new_one,
                     boost::unit_test::data::make(trouble_cases), sample)
{
    simulated_mesh net(node_count);
    begin_rollout(net);
    const int sent = send_during_rollout(net, [&](int second) {
        const bool troubled = second >= sample.from_second && second < sample.end_second;
        for (std::size_t i = 0; i < node_count; ++i) {
            const bool is_new = i >= first_new_node;
            const auto& kind = is_new ? sample.new_release : sample.old_release;
            const bool applies = troubled || (is_new && !sample.new_recovers);
            net.app(i).failure_period = applies ? kind.failure_period : 0;
            net.app(i).shed_period = applies ? kind.shed_period : 0;
        }
    });
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == sample.expected));
    if (sample.expected == rollout_phase::rolled_back) {
        BOOST_TEST(new_release_arrivals(net) <= allowed_exposure(sent));
    }
}
