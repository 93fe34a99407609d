// Tests which releases a request may go to during and after a roll-out.
#define BOOST_TEST_MODULE rollouts
#include "libmesh/rollouts.h"

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
