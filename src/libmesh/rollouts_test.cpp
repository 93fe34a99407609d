// Which backend servers a request may go to while a release is rolled out.
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
    /// Release that the request was given by the roll-out's share.
    std::optional<release_id> chosen;
    /// Release of a backend server.
    release_id release;
    bool allowed;
};

std::ostream& operator<<(std::ostream& out, const release_case& item)
{
    return out << item.name;
}

const release_id old_one{"v1"};
const release_id target{"v2"};

const std::vector<release_case> release_cases{
    {"given to the target, at the target", rollout_phase::running, target, target, true},
    {"given to the target, at the old one", rollout_phase::running, target, old_one, false},
    {"not given to the target, at it", rollout_phase::running, std::nullopt, target, false},
    {"not given to the target, at the old one", rollout_phase::running, std::nullopt, old_one,
     true},
    {"completed, at the target", rollout_phase::completed, std::nullopt, target, true},
    {"completed, at the old one", rollout_phase::completed, std::nullopt, old_one, false},
    {"taken back, at the target", rollout_phase::rolled_back, std::nullopt, target, false},
    {"taken back, at the old one", rollout_phase::rolled_back, std::nullopt, old_one, true},
};

} // namespace

BOOST_DATA_TEST_CASE(a_request_goes_to_the_release_that_it_was_given,
                     boost::unit_test::data::make(release_cases), item)
{
    rollouts all;
    all.on_order({service, target, 14s, 1}, start);
    mesh_wire::rollout_share word;
    word.__set_service_name(service.value());
    word.__set_target(target.value());
    word.__set_order(1);
    word.__set_sequence(1);
    word.__set_permille(100);
    word.__set_stage(1);
    word.__set_phase(static_cast<std::int32_t>(item.phase));
    all.on_share(word, start);
    BOOST_TEST(all.allows(service, item.release, item.chosen) == item.allowed);
}
