// Roll-outs during which all backend servers of the service are down for some seconds. While
// nothing is known about the new release its share must not rise, and what is known afterwards must
// come from answers after the outage.
#define BOOST_TEST_MODULE rollout_outage
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

constexpr auto warm_up = 1s;

struct outage_case {
    const char* name;
    /// The backend servers from this one on are down.
    std::size_t first_down;
    int from_second;
    int seconds;
    /// One in so many requests fails at the new release after the outage; 0: none.
    int new_failure_period;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& out, const outage_case& sample)
{
    return out << sample.name;
}

const std::vector<outage_case> outage_cases{
    {"bad, all down for long", 0, 3, 7, 2, rollout_phase::rolled_back},
    {"bad, all down to the end", 0, 3, 14, 2, rollout_phase::rolled_back},
    {"bad, the new release down for long", first_new_node, 3, 7, 2, rollout_phase::rolled_back},
    {"good, all down to the end", 0, 3, 14, 0, rollout_phase::rolled_back},
    {"good, all down for a short time", 0, 3, 1, 0, rollout_phase::completed},
    {"good, the new release down for a short time", first_new_node, 3, 1, 0,
     rollout_phase::completed},
};

} // namespace

BOOST_DATA_TEST_CASE(a_share_rises_on_answers_after_the_outage_only,
                     boost::unit_test::data::make(outage_cases), sample)
{
    simulated_mesh net(node_count);
    begin_rollout(net);
    const int sent = send_during_rollout(net, [&](int second) {
        if (second == sample.from_second) {
            for (std::size_t i = sample.first_down; i < node_count; ++i) {
                net.app(i).restart_delay = std::chrono::seconds(sample.seconds);
                net.app(i).cold_until = net.now() + net.app(i).restart_delay + warm_up;
                net.app(i).failure_period = i >= first_new_node ? sample.new_failure_period : 0;
                net.crash_backend(i);
            }
        }
    });
    net.run_for(3s);
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase == sample.expected));
    if (sample.expected == rollout_phase::rolled_back) {
        BOOST_TEST(new_release_arrivals(net) <= allowed_exposure(sent));
    }
}
