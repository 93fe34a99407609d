// Stages of a move by the evidence that there is.
#define BOOST_TEST_MODULE move_policy
#include <camphortally/move_policy.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace std::chrono_literals;

namespace {

struct thin_case {
    const char* name;
    thin_evidence answer;
    /// Calls of the new release in each window, all good; the old one has ten times as many.
    double calls;
    /// Shares that are set, in order.
    std::vector<int> shares;
    move_action last;
};

std::ostream& operator<<(std::ostream& out, const thin_case& item)
{
    return out << item.name;
}

const std::vector<thin_case> thin_cases{
    {"no traffic, goes on",
     thin_evidence::complete,
     0,
     {100, 200, 500, 900, 1000},
     move_action::complete},
    {"a call now and then, goes on",
     thin_evidence::complete,
     0.2,
     {100, 200, 500, 900, 1000},
     move_action::complete},
    {"no traffic, taken back", thin_evidence::revert, 0, {100}, move_action::revert},
};

} // namespace

BOOST_DATA_TEST_CASE(thin_evidence_goes_on_one_stage_at_a_time,
                     boost::unit_test::data::make(thin_cases), item)
{
    const wall_time start{1h};
    move_spec spec;
    spec.service = service_id{"s"};
    spec.to_release = release_id{"v2"};
    spec.deadline = start + 14s;
    spec.soak = 1s;
    spec.unproven_share = permille{100};
    spec.on_thin_evidence = item.answer;
    move_policy policy(spec, 0ms);
    move_status status;
    status.phase = move_phase::accepted;
    status.changed_at = start;
    policy.set_move(spec, status, start);
    std::vector<int> shares;
    auto last = move_action::hold;
    for (auto now = start; now < spec.deadline; now += move_policy::window) {
        for (const auto side : {release_side::old_release, release_side::new_release}) {
            call_evidence seen;
            seen.successes = side == release_side::new_release ? item.calls : 10 * item.calls;
            policy.observe({zone_id{"z"}, route_id{"r"}, side}, seen);
        }
        const auto decided = policy.decide(now);
        if (decided.action == move_action::hold) {
            continue;
        }
        last = decided.action;
        if (decided.action != move_action::set_share) {
            break;
        }
        shares.push_back(decided.share.value());
        status = policy.status();
        status.phase = move_phase::progressing;
        status.share = decided.share;
        status.stage = decided.stage;
        status.changed_at = now;
        policy.set_move(spec, status, now);
    }
    BOOST_TEST(shares == item.shares, boost::test_tools::per_element());
    BOOST_TEST((last == item.last));
}
