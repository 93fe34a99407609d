// Load patterns before the slots of one backend server.
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

struct offered {
    std::uint64_t id;
    int rank = 1;
    duration deadline = 1000ms;
    duration objective = 400ms;
    bool may_wait = true;
    route_id route = lookup;
};

slot_request slot_for(const offered& item, time_point now)
{
    return {run_id{item.id},     item.route,           item.rank,
            now + item.deadline, now + item.objective, item.may_wait};
}

/// A queue with `slots` slots that has learned to hold `lookup` for 100 ms and `call` for 20 ms.
slot_queue trained(int slots)
{
    slot_queue queue;
    queue.set_slots(slots);
    for (std::uint64_t id = 1000; id < 1030; ++id) {
        queue.offer(slot_for({id, 1, 1s, 1s, false, call}, start), start);
        queue.finish(run_id{id}, true, start + 20ms);
    }
    for (std::uint64_t id = 2000; id < 2060; ++id) {
        queue.offer(slot_for({id}, start), start);
        queue.finish(run_id{id}, true, start + 100ms);
    }
    return queue;
}

void fill(slot_queue& queue, int slots)
{
    for (int i = 0; i < slots; ++i) {
        queue.offer(slot_for({100 + static_cast<std::uint64_t>(i)}, start), start);
    }
}

struct admission_case {
    const char* name;
    int busy;
    int waiting;
    offered last;
    slot_queue::verdict expected;
};

std::ostream& operator<<(std::ostream& out, const admission_case& item)
{
    return out << item.name;
}

const std::vector<admission_case> admission_cases{
    {"a free slot takes it", 1, 0, {1}, slot_queue::verdict::run},
    {"it does not wait unless it may", 2, 0, {1, 1, 1s, 400ms, false}, slot_queue::verdict::refuse},
    {"it waits while it can be in time", 2, 2, {1}, slot_queue::verdict::wait},
    {"a burst beyond the objective is refused at once",
     2,
     6,
     {1, 1, 1s, 390ms},
     slot_queue::verdict::refuse},
    {"one that cannot be done by its deadline is refused",
     2,
     0,
     {1, 1, 120ms, 400ms},
     slot_queue::verdict::refuse},
    {"an urgent one passes the less urgent", 2, 6, {1, 0}, slot_queue::verdict::wait},
    {"one that is late already does not make others late",
     2,
     1,
     {1, 1, 1s, 50ms},
     slot_queue::verdict::refuse},
    {"one that is late already waits while nobody else does",
     2,
     0,
     {1, 1, 1s, 50ms},
     slot_queue::verdict::wait},
    {"a short call waits until its deadline allows no more",
     2,
     6,
     {1, 1, 600ms, 100ms, true, call},
     slot_queue::verdict::wait},
};

} // namespace

BOOST_DATA_TEST_CASE(admits_what_can_be_served, boost::unit_test::data::make(admission_cases), item)
{
    auto queue = trained(2);
    fill(queue, item.busy);
    for (int i = 0; i < item.waiting; ++i) {
        queue.offer(slot_for({200 + static_cast<std::uint64_t>(i), 1, 5s, 380ms}, start), start);
    }
    BOOST_TEST((queue.offer(slot_for(item.last, start), start).what == item.expected));
}

BOOST_AUTO_TEST_CASE(serves_urgent_then_earliest_objective_then_late)
{
    auto queue = trained(2);
    fill(queue, 2);
    // The late one waits first, since nobody else does then.
    queue.offer(slot_for({5, 1, 5s, 50ms}, start), start);
    queue.offer(slot_for({1, 1, 5s, 4s}, start), start);
    queue.offer(slot_for({2, 1, 5s, 3s}, start), start);
    queue.offer(slot_for({3, 0, 5s, 5s}, start), start);
    std::vector<std::uint64_t> order;
    for (std::uint64_t busy = 100; order.size() < 4; ++busy) {
        queue.finish(run_id{busy < 102 ? busy : order.at(busy - 102)}, true, start + 10ms);
        const auto next = queue.start_next(start + 10ms);
        BOOST_REQUIRE(next.has_value());
        order.push_back(next->value());
    }
    const std::vector<std::uint64_t> expected{3, 2, 1, 5};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(counts_requests_that_others_sent)
{
    auto queue = trained(3);
    queue.set_foreign(2);
    BOOST_TEST((queue.offer(slot_for({1}, start), start).what == slot_queue::verdict::run));
    BOOST_TEST((queue.offer(slot_for({2}, start), start).what == slot_queue::verdict::wait));
    queue.set_foreign(0);
    BOOST_TEST(queue.start_next(start).has_value());
}

BOOST_AUTO_TEST_CASE(forgets_a_waiting_request_whose_client_left)
{
    auto queue = trained(1);
    fill(queue, 1);
    queue.offer(slot_for({1}, start), start);
    queue.finish(run_id{1}, false, start);
    BOOST_TEST(queue.waiting() == 0);
    BOOST_TEST(queue.running() == 1);
}

BOOST_AUTO_TEST_CASE(expires_what_cannot_be_done_any_more)
{
    auto queue = trained(1);
    fill(queue, 1);
    queue.offer(slot_for({1, 1, 300ms, 300ms}, start), start);
    BOOST_TEST(queue.expire(start + 200ms).empty());
    const auto gone = queue.expire(start + 290ms);
    BOOST_REQUIRE(gone.size() == 1);
    BOOST_TEST(gone.front().value() == 1U);
}

BOOST_AUTO_TEST_CASE(names_a_longer_wait_the_more_wait)
{
    auto queue = trained(2);
    fill(queue, 2);
    duration before{};
    for (std::uint64_t id = 1; id < 5; ++id) {
        const auto refused = queue.offer(slot_for({id, 1, 5s, 5s, false}, start), start);
        BOOST_TEST((refused.wait > before));
        before = refused.wait;
        queue.offer(slot_for({id + 10, 1, 5s, 5s}, start), start);
    }
}
