// Time limits and operations that complete in the same turn of the event loop, as after a pause of
// the process.
#define BOOST_TEST_MODULE cancellable_timer
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/cancellable_timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <ostream>
#include <thread>
#include <vector>

namespace camphor::shell {

namespace {

using namespace std::chrono_literals;

/// Both timers expire during this pause.
constexpr auto pause = 20ms;

struct late_handler_case {
    const char* name;
    /// What the first handler of the turn does with the time limit.
    std::function<void(std::optional<cancellable_timer>&, int&)> act;
    int expected_runs;
};

std::ostream& operator<<(std::ostream& out, const late_handler_case& sample)
{
    return out << sample.name;
}

const std::vector<late_handler_case> late_handler_cases{
    {"left alone, it runs", [](std::optional<cancellable_timer>&, int&) {}, 1},
    {"cancelled, it does not run",
     [](std::optional<cancellable_timer>& limit, int&) { limit->cancel(); }, 0},
    {"destroyed, it does not run",
     [](std::optional<cancellable_timer>& limit, int&) { limit.reset(); }, 0},
    {"started again, only the new handler runs",
     [](std::optional<cancellable_timer>& limit, int& runs) {
         limit->start(1ms, [&runs] { runs += 10; });
     },
     10},
};

} // namespace

// Guards against a request that is reported as not sent after it was written, because the limit of
// its connection attempt had expired before the connection was noticed.
BOOST_DATA_TEST_CASE(an_expired_limit_does_not_undo_what_came_before_it,
                     boost::unit_test::data::make(late_handler_cases), sample)
{
    boost::asio::io_context io{1};
    int runs = 0;
    std::optional<cancellable_timer> limit(std::in_place, io.get_executor());
    boost::asio::steady_timer operation(io, 1ms);
    operation.async_wait([&](boost::system::error_code) { sample.act(limit, runs); });
    limit->start(2ms, [&runs] { ++runs; });
    std::this_thread::sleep_for(pause);
    io.run();
    BOOST_TEST(runs == sample.expected_runs);
}

} // namespace camphor::shell
