// Load, failures and roll-outs on a small mesh in virtual time: checks what clients receive and
// what backend servers run.
#define BOOST_TEST_MODULE mesh_load
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t nodes = 3;

struct tally {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
};

tally count(test_net& net, duration objective = 400ms)
{
    tally out;
    for (const auto& [id, result] : net.results()) {
        if (result.status == 200) {
            ++(result.took <= objective ? out.in_time : out.late);
        } else {
            ++(result.status == 503 ? out.refused : out.failed);
        }
    }
    return out;
}

void check_in_all(test_net& net)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
}

/// Sends `rate` requests per second for `span`, in turn to each node.
void load(test_net& net, int rate, duration span, const std::string& prefix = "q")
{
    const int total = static_cast<int>(span / 1ms) * rate / 1000;
    for (int i = 0; i < total; ++i) {
        net.send(static_cast<std::size_t>(i) % nodes, prefix + std::to_string(i));
        net.run_for(duration(1s) / rate);
    }
    net.run_for(3s);
}

struct load_case {
    const char* name;
    /// Requests per second. The 12 slots hold each request for 100 ms, so 120 requests per second
    /// can be served.
    int rate;
    std::function<void(test_net&)> trouble;
    /// Minimum and maximum as a fraction of all requests.
    double least_in_time;
    double most_failed;
};

std::ostream& operator<<(std::ostream& out, const load_case& item)
{
    return out << item.name;
}

const std::vector<load_case> load_cases{
    {"calm", 60, [](test_net&) {}, 0.99, 0.0},
    {"near the limit", 110, [](test_net&) {}, 0.93, 0.0},
    {"three times what fits", 360, [](test_net&) {}, 0.30, 0.0},
    {"five times what fits", 600, [](test_net&) {}, 0.17, 0.0},
    {"one slow backend server of three", 60, [](test_net& net) { net.app(0).work = 600ms; }, 0.90,
     0.01},
    {"a third of the service gone", 70, [](test_net& net) { net.app(1).crashed = true; }, 0.95,
     0.01},
    {"one fails every request", 50, [](test_net& net) { net.app(2).status = 500; }, 0.85, 0.12},
    {"one loses its answers", 50, [](test_net& net) { net.app(2).loses_answers = true; }, 0.70,
     0.10},
};

} // namespace

BOOST_DATA_TEST_CASE(serves_under_load, boost::unit_test::data::make(load_cases), item)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    item.trouble(net);
    load(net, item.rate, 5s);
    const auto got = count(net);
    const double all = got.in_time + got.late + got.refused + got.failed;
    BOOST_TEST_MESSAGE("in time " << got.in_time << " late " << got.late << " refused "
                                  << got.refused << " failed " << got.failed);
    BOOST_TEST(all == item.rate * 5);
    BOOST_TEST(got.in_time / all >= item.least_in_time);
    BOOST_TEST(got.failed / all <= item.most_failed);
    for (std::size_t i = 0; i < nodes; ++i) {
        BOOST_TEST(net.core(i).queue().waiting() == 0);
    }
}

BOOST_AUTO_TEST_CASE(never_sends_more_than_fits)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    load(net, 500, 3s);
    for (std::size_t i = 0; i < nodes; ++i) {
        BOOST_TEST(net.app(i).most_running <= net.app(i).slots);
    }
}

BOOST_AUTO_TEST_CASE(refuses_overload_at_once_with_a_time_to_return)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    load(net, 400, 3s);
    int refused = 0;
    for (const auto& [id, result] : net.results()) {
        if (result.status == 503) {
            ++refused;
            BOOST_TEST((result.took <= 60ms));
            BOOST_TEST(result.retry_after.has_value());
            // A refusal says "not run", so the request must not have run.
            BOOST_TEST(net.runs(id) == 0);
        }
    }
    BOOST_TEST(refused > 0);
}

struct unsafe_case {
    const char* name;
    std::function<void(test_net&)> trouble;
};

std::ostream& operator<<(std::ostream& out, const unsafe_case& item)
{
    return out << item.name;
}

const std::vector<unsafe_case> unsafe_cases{
    {"answers are lost",
     [](test_net& net) {
         net.app(0).loses_answers = true;
     }},
    {"every answer is a failure",
     [](test_net& net) {
         net.app(1).status = 500;
     }},
    {"a backend server crashes",
     [](test_net& net) {
         net.app(1).crashed = true;
     }},
    {"a node dies",
     [](test_net& net) {
         net.kill(2);
     }},
    {"a node is cut off",
     [](test_net& net) {
         net.cut(2, true);
     }},
    {"a backend server drains",
     [](test_net& net) {
         net.check_in(0, true);
     }},
    {"a node is stopped",
     [](test_net& net) {
         net.stop(0);
     }},
};

BOOST_DATA_TEST_CASE(runs_unsafe_requests_at_most_once, boost::unit_test::data::make(unsafe_cases),
                     item)
{
    test_net net(nodes);
    net.configure(false);
    check_in_all(net);
    for (int i = 0; i < 200; ++i) {
        if (i == 50) {
            item.trouble(net);
        }
        net.send(static_cast<std::size_t>(i) % 2, "u" + std::to_string(i));
        net.run_for(12ms);
    }
    net.run_for(3s);
    for (const auto& [id, times] : net.all_runs()) {
        BOOST_TEST(times == 1);
    }
    for (const auto& [id, result] : net.results()) {
        BOOST_TEST((result.status != 503 || net.runs(id) == 0));
    }
}

BOOST_AUTO_TEST_CASE(runs_on_no_more_backend_servers_than_the_route_allows)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    // The first attempt fails and the second is overdue: a hedged request would be the third.
    net.app(0).status = 500;
    net.app(1).loses_answers = true;
    net.app(2).loses_answers = true;
    for (int i = 0; i < 10; ++i) {
        net.send(0, "h" + std::to_string(i));
        net.run_for(1500ms);
    }
    for (const auto& [id, times] : net.all_runs()) {
        BOOST_TEST(times <= 2);
    }
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_backend_server_that_leaves)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    for (int i = 0; i < 100; ++i) {
        net.send(static_cast<std::size_t>(i) % nodes, "d" + std::to_string(i));
        net.run_for(5ms);
        if (i == 40) {
            net.check_in(1, true);
        }
    }
    net.run_for(2s);
    BOOST_TEST(net.app(1).after_leaving == 0);
    BOOST_TEST(count(net).failed == 0);
}

BOOST_AUTO_TEST_CASE(places_nothing_on_a_node_that_fell_silent)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    net.cut(2, true);
    // More load than the two other nodes can serve, so the outdated report of the partitioned node
    // looks better.
    for (int i = 0; i < 400; ++i) {
        net.send(static_cast<std::size_t>(i) % 2, "s" + std::to_string(i));
        net.run_for(8ms);
    }
    net.run_for(3s);
    int failed_late = 0;
    for (int i = 200; i < 400; ++i) {
        const auto status = net.results().at("s" + std::to_string(i)).status;
        failed_late += status == 200 || status == 503 ? 0 : 1;
    }
    BOOST_TEST(failed_late == 0);
}

BOOST_AUTO_TEST_CASE(drops_the_work_of_a_client_that_left)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    net.app(0).work = 900ms;
    net.send(0, "gone");
    net.run_for(50ms);
    BOOST_TEST(net.app(0).running == 1);
    net.leave(0, "gone");
    net.run_for(10ms);
    BOOST_TEST(net.app(0).running == 0);
    BOOST_TEST(net.core(0).queue().running() == 0);
}

BOOST_AUTO_TEST_CASE(never_applies_an_older_configuration)
{
    test_net net(nodes);
    net.configure(true, 1000ms, 400ms, 7);
    net.configure(true, 1000ms, 400ms, 5);
    BOOST_TEST(net.core(0).config()->version().value() == 7);
}

BOOST_AUTO_TEST_CASE(answers_unavailable_before_the_first_configuration)
{
    test_net net(nodes);
    net.send(0, "early");
    net.run_for(10ms);
    BOOST_TEST(net.results().at("early").status == 503);
    net.configure(true);
    net.send(0, "late");
    net.run_for(10ms);
    // The route is known, but there is no backend server yet.
    BOOST_TEST(net.results().at("late").status == 503);
}

BOOST_AUTO_TEST_CASE(ignores_a_check_in_that_was_delayed)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    net.check_in(0, true);
    net.app(0).sequence = 0;
    net.check_in(0);
    BOOST_TEST(!net.core(0).own_backend()->takes_work());
}

BOOST_AUTO_TEST_CASE(a_goodbye_outlasts_check_ins_that_were_delayed)
{
    // A node that has just started receives the deregistration before any check-in.
    test_net net(nodes);
    net.configure(true);
    net.say_goodbye(0);
    net.run_for(1500ms);
    net.check_in(0);
    BOOST_TEST((!net.core(0).own_backend() || !net.core(0).own_backend()->takes_work()));
    net.send(0, "g");
    net.run_for(1s);
    BOOST_TEST(net.app(0).after_leaving == 0);
    // A later start under the same id checks in well after that time.
    net.run_for(10s);
    net.check_in(0);
    BOOST_TEST(net.core(0).own_backend()->takes_work());
}

BOOST_AUTO_TEST_CASE(answers_what_comes_once_it_may_stop)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    net.stop(0);
    // The node has signalled that its process may exit, but the process has not exited yet.
    net.run_for(2'700ms);
    net.send(0, "late");
    net.run_for(100ms);
    BOOST_TEST(net.results().at("late").status == 503);
    BOOST_TEST(net.runs("late") == 0);
}

struct rollout_case {
    const char* name;
    std::function<void(test_app&)> fault;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& out, const rollout_case& item)
{
    return out << item.name;
}

const std::vector<rollout_case> rollout_cases{
    {"good", [](test_app&) {}, rollout_phase::completed},
    {"fails", [](test_app& app) { app.status = 500; }, rollout_phase::rolled_back},
    {"slow", [](test_app& app) { app.work = 800ms; }, rollout_phase::rolled_back},
};

BOOST_DATA_TEST_CASE(ends_each_rollout_in_time, boost::unit_test::data::make(rollout_cases), item)
{
    // Six nodes, of which n3 to n5 run the new release.
    test_net net(6);
    net.configure(true, 2000ms, 1000ms);
    for (std::size_t i = 0; i < 6; ++i) {
        net.app(i).slots = 12;
        if (i >= 3) {
            net.app(i).release = release_id{"v2"};
        }
    }
    net.order_rollout("v2", 15s);
    for (std::size_t i = 3; i < 6; ++i) {
        item.fault(net.app(i));
    }
    constexpr int requests = 15 * 150;
    for (int i = 0; i < requests; ++i) {
        if (i % 150 == 0) {
            for (std::size_t n = 0; n < 6; ++n) {
                net.check_in(n);
            }
        }
        net.send(static_cast<std::size_t>(i) % 6, "m" + std::to_string(i));
        net.run_for(duration(1s) / 150);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().front().phase == rollout_phase::running));
    BOOST_TEST((net.statuses().back().phase == item.expected));
    // Exactly two statuses: the start and one result.
    BOOST_TEST(net.statuses().size() == 2U);
    if (item.expected == rollout_phase::rolled_back) {
        // The share of requests that a bad release may receive, plus the tolerance that the
        // operators allow.
        BOOST_TEST(net.app(3).arrivals + net.app(4).arrivals + net.app(5).arrivals <=
                   requests / 10 + 50);
    }
}

BOOST_AUTO_TEST_CASE(a_rollout_ends_though_the_deciding_node_died_and_its_address_was_reused)
{
    test_net net(6);
    net.configure(true, 2000ms, 1000ms);
    for (std::size_t i = 3; i < 6; ++i) {
        net.app(i).release = release_id{"v2"};
    }
    net.order_rollout("v2", 15s);
    net.run_for(500ms);
    net.kill(0);
    net.pass_address(0, 5);
    for (int second = 0; second < 17; ++second) {
        for (std::size_t n = 1; n < 6; ++n) {
            net.check_in(n);
            net.send(n, "a" + std::to_string(second) + "-" + std::to_string(n));
        }
        net.run_for(1s);
    }
    BOOST_REQUIRE(!net.statuses().empty());
    BOOST_TEST((net.statuses().back().phase != rollout_phase::running));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_to_a_node_under_the_name_of_another)
{
    test_net net(nodes);
    net.configure(true);
    check_in_all(net);
    net.kill(0);
    net.pass_address(0, 2);
    net.run_for(2s);
    // More load than the node's own backend server can serve, less than two can.
    for (int i = 0; i < 60; ++i) {
        net.send(1, "h" + std::to_string(i));
        net.run_for(17ms);
    }
    net.run_for(1s);
    BOOST_TEST(count(net).in_time == 60);
    // A request addressed to the killed node's backend server would be refused there.
    BOOST_TEST(net.core(2).counters().owner_refusals == 0U);
}
