// Tests which frames of one read are handled.
#define BOOST_TEST_MODULE frame_batch
#include "libmesh/frame_batch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;

namespace {

/// `r1` asks for run 1, `c1` cancels it, `p` is a ping.
frame_ptr parse_frame(const std::string& text)
{
    auto frame = std::make_shared<mesh_wire::mesh_frame>();
    if (text == "p") {
        frame->__set_ping(true);
        return frame;
    }
    const auto call = std::stoll(text.substr(1));
    if (text.front() == 'r') {
        frame->run.__set_call(call);
        frame->__isset.run = true;
    } else {
        frame->cancel.__set_call(call);
        frame->__isset.cancel = true;
    }
    return frame;
}

std::string format_frame(const mesh_wire::mesh_frame& frame)
{
    return frame.__isset.run      ? "r" + std::to_string(frame.run.call)
           : frame.__isset.cancel ? "c" + std::to_string(frame.cancel.call)
                                  : "p";
}

struct batch_case {
    const char* name;
    std::vector<std::string> received;
    std::vector<std::string> handled;
};

std::ostream& operator<<(std::ostream& frame, const batch_case& scenario)
{
    return frame << scenario.name;
}

const std::vector<batch_case> batch_cases{
    {"nothing", {}, {}},
    {"runs alone", {"r1", "p", "r2"}, {"r1", "p", "r2"}},
    {"a run that is cancelled", {"r1", "p", "r2", "c1"}, {"p", "r2", "c1"}},
    {"a cancel of a run that came before", {"c1", "r2"}, {"c1", "r2"}},
    {"an id that is used again", {"c1", "r1"}, {"c1", "r1"}},
    {"all of them", {"r1", "r2", "c2", "c1"}, {"c2", "c1"}},
};

} // namespace

BOOST_DATA_TEST_CASE(drops_runs_that_the_same_read_cancels,
                     boost::unit_test::data::make(batch_cases), scenario)
{
    std::vector<frame_ptr> batch;
    for (const auto& text : scenario.received) {
        batch.push_back(parse_frame(text));
    }
    drop_cancelled_runs(batch);
    std::vector<std::string> handled;
    handled.reserve(batch.size());
    for (const auto& frame : batch) {
        handled.push_back(format_frame(*frame));
    }
    BOOST_TEST(handled == scenario.handled, boost::test_tools::per_element());
}
