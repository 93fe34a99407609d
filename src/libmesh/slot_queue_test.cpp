// Tests admission, order of service and expiry in the queue of one backend server.
#define BOOST_TEST_MODULE slot_queue
#include "libmesh/slot_queue.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace std::chrono_literals;

namespace {

const route_id lookup{"lookup"};
const route_id call{"call"};
constexpr time_point start{std::chrono::hours(1)};

struct request_params {
    std::uint64_t id;
    int rank = 1;
    duration deadline = 1000ms;
    duration objective = 400ms;
    bool may_wait = true;
    route_id route = lookup;
};

slot_request make_request(const request_params& sample, time_point now)
{
    return {run_id{sample.id},     sample.route,           sample.rank,
            now + sample.deadline, now + sample.objective, sample.may_wait};
}

/// Returns a queue with `slots` slots whose mean hold times are 100 ms for `lookup` and 20 ms for
/// `call`.
slot_queue make_trained_queue(int slots)
{
    slot_queue queue;
    queue.set_slots(slots);
    for (std::uint64_t id = 1000; id < 1030; ++id) {
        queue.offer(make_request({id, 1, 1s, 1s, false, call}, start), start);
        queue.finish(run_id{id}, true, start + 20ms);
    }
    for (std::uint64_t id = 2000; id < 2060; ++id) {
        queue.offer(make_request({id}, start), start);
        queue.finish(run_id{id}, true, start + 100ms);
    }
    return queue;
}

void fill_slots(slot_queue& queue, int slots)
{
    for (int i = 0; i < slots; ++i) {
        queue.offer(make_request({100 + static_cast<std::uint64_t>(i)}, start), start);
    }
}

struct admission_case {
    const char* name;
    int running;
    int waiting;
    request_params request;
    slot_queue::admission expected;
};

std::ostream& operator<<(std::ostream& out, const admission_case& sample)
{
    return out << sample.name;
}

const std::vector<admission_case> admission_cases{
    {"a free slot runs the request", 1, 0, {1}, slot_queue::admission::run},
    {"a request that may not wait is refused",
     2,
     0,
     {1, 1, 1s, 400ms, false},
     slot_queue::admission::refuse},
    {"a request waits while it can meet its objective", 2, 2, {1}, slot_queue::admission::wait},
    {"a request that would miss its objective in a burst is refused",
     2,
     6,
     {1, 1, 1s, 390ms},
     slot_queue::admission::refuse},
    {"a request that would miss its deadline is refused",
     2,
     0,
     {1, 1, 120ms, 400ms},
     slot_queue::admission::refuse},
    {"a request of higher priority overtakes others", 2, 6, {1, 0}, slot_queue::admission::wait},
    {"a late request is refused while others wait",
     2,
     1,
     {1, 1, 1s, 50ms},
     slot_queue::admission::refuse},
    {"a late request waits while the queue is empty",
     2,
     0,
     {1, 1, 1s, 50ms},
     slot_queue::admission::wait},
    {"a short call waits although it misses its objective",
     2,
     6,
     {1, 1, 600ms, 100ms, true, call},
     slot_queue::admission::wait},
};

} // namespace

BOOST_DATA_TEST_CASE(admits_queues_or_refuses_by_expected_wait,
                     boost::unit_test::data::make(admission_cases), sample)
{
    auto queue = make_trained_queue(2);
    fill_slots(queue, sample.running);
    for (int i = 0; i < sample.waiting; ++i) {
        queue.offer(make_request({200 + static_cast<std::uint64_t>(i), 1, 5s, 380ms}, start),
                    start);
    }
    BOOST_TEST((queue.offer(make_request(sample.request, start), start).result == sample.expected));
}

BOOST_AUTO_TEST_CASE(serves_by_rank_then_objective_and_late_requests_last)
{
    auto queue = make_trained_queue(2);
    fill_slots(queue, 2);
    // A request that is already late is queued only while no other request waits.
    queue.offer(make_request({5, 1, 5s, 50ms}, start), start);
    queue.offer(make_request({1, 1, 5s, 4s}, start), start);
    queue.offer(make_request({2, 1, 5s, 3s}, start), start);
    queue.offer(make_request({3, 0, 5s, 5s}, start), start);
    std::vector<std::uint64_t> order;
    for (std::uint64_t ended = 100; order.size() < 4; ++ended) {
        queue.finish(run_id{ended < 102 ? ended : order.at(ended - 102)}, true, start + 10ms);
        const auto next = queue.start_next(start + 10ms);
        BOOST_REQUIRE(next.has_value());
        order.push_back(next->value());
    }
    const std::vector<std::uint64_t> expected{3, 2, 1, 5};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(counts_untracked_requests_against_the_slots)
{
    auto queue = make_trained_queue(3);
    queue.set_untracked_running(2, start);
    BOOST_TEST((queue.offer(make_request({1}, start), start).result == slot_queue::admission::run));
    BOOST_TEST(
        (queue.offer(make_request({2}, start), start).result == slot_queue::admission::wait));
    queue.set_untracked_running(0, start);
    BOOST_TEST(queue.start_next(start).has_value());
}

BOOST_AUTO_TEST_CASE(finish_removes_a_waiting_request)
{
    auto queue = make_trained_queue(1);
    fill_slots(queue, 1);
    queue.offer(make_request({1}, start), start);
    queue.finish(run_id{1}, false, start);
    BOOST_TEST(queue.waiting() == 0);
    BOOST_TEST(queue.running() == 1);
}

BOOST_AUTO_TEST_CASE(expires_requests_that_cannot_meet_their_deadline)
{
    auto queue = make_trained_queue(1);
    fill_slots(queue, 1);
    queue.offer(make_request({1, 1, 300ms, 300ms}, start), start);
    BOOST_TEST(queue.expire(start + 200ms).empty());
    const auto expired = queue.expire(start + 290ms);
    BOOST_REQUIRE(expired.size() == 1);
    BOOST_TEST(expired.front().value() == 1U);
}

BOOST_AUTO_TEST_CASE(expected_wait_grows_with_the_queue)
{
    auto queue = make_trained_queue(2);
    fill_slots(queue, 2);
    duration previous_wait{};
    for (std::uint64_t id = 1; id < 5; ++id) {
        const auto refused = queue.offer(make_request({id, 1, 5s, 5s, false}, start), start);
        BOOST_TEST((refused.wait > previous_wait));
        previous_wait = refused.wait;
        queue.offer(make_request({id + 10, 1, 5s, 5s}, start), start);
    }
}

BOOST_AUTO_TEST_CASE(without_slots_every_request_is_refused)
{
    slot_queue queue;
    queue.set_slots(2);
    fill_slots(queue, 2);
    // The backend server has lost both answers, and then reports that it has no slots.
    queue.set_untracked_running(-2, start);
    queue.set_slots(0);
    queue.finish(run_id{100}, false, start);
    queue.finish(run_id{101}, false, start);
    BOOST_TEST(!queue.has_free_slot(start));
    const auto decided = queue.offer(make_request({200}, start), start);
    BOOST_TEST((decided.result == slot_queue::admission::refuse));
}

struct untracked_case {
    const char* name;
    /// Requests beyond the tracked ones, as last reported; there are 4 slots of 100 ms each.
    int untracked;
    int running;
    duration report_age;
    /// Number of requests that are admitted at once.
    int admitted;
};

std::ostream& operator<<(std::ostream& out, const untracked_case& sample)
{
    return out << sample.name;
}

const std::vector<untracked_case> untracked_cases{
    {"full by a new report", 11, 0, 50ms, 0},
    {"full by an old report: one probe", 11, 0, 5s, 1},
    {"just full by an old report: one probe", 4, 0, 5s, 1},
    {"full by an old report, but an answer is due", 4, 1, 5s, 0},
    {"partly used by an old report", 2, 0, 5s, 2},
    {"nothing untracked", 0, 0, 5s, 4},
    {"lost answers of requests that have ended since", -3, 0, 50ms, 4},
    {"lost answers of running requests", -2, 3, 50ms, 3},
};

// Guards against a backend server that is never used again because it was full when it last
// answered, and against one that is still full and gets more than a probe.
BOOST_DATA_TEST_CASE(an_old_report_of_untracked_requests_admits_a_probe,
                     boost::unit_test::data::make(untracked_cases), sample)
{
    auto queue = make_trained_queue(4);
    fill_slots(queue, sample.running);
    queue.set_untracked_running(sample.untracked, start);
    const auto now = start + sample.report_age;
    int admitted = 0;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        const auto decided = queue.offer(make_request({id, 1, 1s, 1s, false}, now), now);
        admitted += decided.result == slot_queue::admission::run ? 1 : 0;
    }
    BOOST_TEST(admitted == sample.admitted);
}

// Guards against probes that follow each other while the backend server says that it is full.
BOOST_AUTO_TEST_CASE(a_probe_that_finds_the_backend_server_full_renews_the_report)
{
    auto queue = make_trained_queue(4);
    queue.set_untracked_running(4, start);
    const auto probed_at = start + 5s;
    BOOST_TEST((queue.offer(make_request({1, 1, 1s, 1s, false}, probed_at), probed_at).result ==
                slot_queue::admission::run));
    queue.finish(run_id{1}, false, probed_at + 1ms);
    queue.set_untracked_running(4, probed_at + 1ms);
    BOOST_TEST(!queue.has_free_slot(probed_at + 2ms));
    BOOST_TEST(queue.has_free_slot(probed_at + 5s));
}
