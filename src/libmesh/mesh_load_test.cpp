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

constexpr std::size_t node_count = 3;

struct outcome_counts {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
};

outcome_counts count_outcomes(simulated_mesh& net, duration objective = 400ms)
{
    outcome_counts counts;
    for (const auto& [id, result] : net.results()) {
        if (result.status == 200) {
            ++(result.took <= objective ? counts.in_time : counts.late);
        } else {
            ++(result.status == 503 ? counts.refused : counts.failed);
        }
    }
    return counts;
}

void check_in_all(simulated_mesh& net)
{
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
}

/// Sends requests at the given rate for `span`, to each node in turn.
void send_load(simulated_mesh& net, int requests_per_second, duration span,
               const std::string& prefix = "q")
{
    const int request_count = static_cast<int>(span / 1ms) * requests_per_second / 1000;
    for (int i = 0; i < request_count; ++i) {
        net.send(static_cast<std::size_t>(i) % node_count, prefix + std::to_string(i));
        net.run_for(duration(1s) / requests_per_second);
    }
    net.run_for(3s);
}

struct load_case {
    const char* name;
    /// Requests per second. The 12 slots hold each request for 100 ms, so 120 requests per second
    /// can be served.
    int requests_per_second;
    std::function<void(simulated_mesh&)> inject_fault;
    /// Minimum and maximum as a fraction of all requests.
    double min_in_time_ratio;
    double max_failed_ratio;
};

std::ostream& operator<<(std::ostream& counts, const load_case& scenario)
{
    return counts << scenario.name;
}

const std::vector<load_case> load_cases{
    {"half of the capacity", 60, [](simulated_mesh&) {}, 0.99, 0.0},
    {"near the capacity", 110, [](simulated_mesh&) {}, 0.93, 0.0},
    {"three times the capacity", 360, [](simulated_mesh&) {}, 0.30, 0.0},
    {"five times the capacity", 600, [](simulated_mesh&) {}, 0.17, 0.0},
    {"one slow backend server of three", 60, [](simulated_mesh& net) { net.app(0).work = 600ms; },
     0.90, 0.01},
    {"one crashed backend server of three", 70,
     [](simulated_mesh& net) { net.app(1).crashed = true; }, 0.95, 0.01},
    {"one backend server fails every request", 50,
     [](simulated_mesh& net) { net.app(2).status = 500; }, 0.85, 0.12},
    {"one backend server loses its answers", 50,
     [](simulated_mesh& net) { net.app(2).loses_answers = true; }, 0.70, 0.10},
};

} // namespace

BOOST_DATA_TEST_CASE(serves_under_load, boost::unit_test::data::make(load_cases), scenario)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    scenario.inject_fault(net);
    send_load(net, scenario.requests_per_second, 5s);
    const auto counts = count_outcomes(net);
    const double total = counts.in_time + counts.late + counts.refused + counts.failed;
    BOOST_TEST_MESSAGE("in time " << counts.in_time << " late " << counts.late << " refused "
                                  << counts.refused << " failed " << counts.failed);
    BOOST_TEST(total == scenario.requests_per_second * 5);
    BOOST_TEST(counts.in_time / total >= scenario.min_in_time_ratio);
    BOOST_TEST(counts.failed / total <= scenario.max_failed_ratio);
    for (std::size_t i = 0; i < node_count; ++i) {
        BOOST_TEST(net.core(i).queue().waiting() == 0);
    }
}

BOOST_AUTO_TEST_CASE(never_exceeds_the_slots_of_a_backend_server)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    send_load(net, 500, 3s);
    for (std::size_t i = 0; i < node_count; ++i) {
        BOOST_TEST(net.app(i).peak_running <= net.app(i).slots);
    }
}

BOOST_AUTO_TEST_CASE(refuses_overload_at_once_with_a_retry_after_time)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    send_load(net, 400, 3s);
    int refused = 0;
    for (const auto& [id, result] : net.results()) {
        if (result.status == 503) {
            ++refused;
            BOOST_TEST((result.took <= 60ms));
            BOOST_TEST(result.retry_after.has_value());
            // A refusal says "not run", so the request must not have run.
            BOOST_TEST(net.run_count(id) == 0);
        }
    }
    BOOST_TEST(refused > 0);
}

struct unsafe_case {
    const char* name;
    std::function<void(simulated_mesh&)> inject_fault;
};

std::ostream& operator<<(std::ostream& counts, const unsafe_case& scenario)
{
    return counts << scenario.name;
}

const std::vector<unsafe_case> unsafe_cases{
    {"answers are lost",
     [](simulated_mesh& net) {
         net.app(0).loses_answers = true;
     }},
    {"every answer is a failure",
     [](simulated_mesh& net) {
         net.app(1).status = 500;
     }},
    {"a backend server crashes",
     [](simulated_mesh& net) {
         net.app(1).crashed = true;
     }},
    {"a node dies",
     [](simulated_mesh& net) {
         net.kill(2);
     }},
    {"a node is partitioned",
     [](simulated_mesh& net) {
         net.set_partitioned(2, true);
     }},
    {"a backend server drains",
     [](simulated_mesh& net) {
         net.check_in(0, true);
     }},
    {"a node is stopped",
     [](simulated_mesh& net) {
         net.stop(0);
     }},
};

BOOST_DATA_TEST_CASE(runs_unsafe_requests_at_most_once, boost::unit_test::data::make(unsafe_cases),
                     scenario)
{
    simulated_mesh net(node_count);
    net.configure(false);
    check_in_all(net);
    for (int i = 0; i < 200; ++i) {
        if (i == 50) {
            scenario.inject_fault(net);
        }
        net.send(static_cast<std::size_t>(i) % 2, "u" + std::to_string(i));
        net.run_for(12ms);
    }
    net.run_for(3s);
    for (const auto& [id, run_count] : net.run_counts()) {
        BOOST_TEST(run_count == 1);
    }
    for (const auto& [id, result] : net.results()) {
        BOOST_TEST((result.status != 503 || net.run_count(id) == 0));
    }
}

BOOST_AUTO_TEST_CASE(sends_to_at_most_max_attempts_backend_servers)
{
    simulated_mesh net(node_count);
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
    for (const auto& [id, run_count] : net.run_counts()) {
        BOOST_TEST(run_count <= 2);
    }
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_draining_backend_server)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    for (int i = 0; i < 100; ++i) {
        net.send(static_cast<std::size_t>(i) % node_count, "d" + std::to_string(i));
        net.run_for(5ms);
        if (i == 40) {
            net.check_in(1, true);
        }
    }
    net.run_for(2s);
    BOOST_TEST(net.app(1).requests_after_leaving == 0);
    BOOST_TEST(count_outcomes(net).failed == 0);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_an_unresponsive_node)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    net.set_partitioned(2, true);
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

BOOST_AUTO_TEST_CASE(cancels_the_run_of_a_disconnected_client)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    net.app(0).work = 900ms;
    net.send(0, "gone");
    net.run_for(50ms);
    BOOST_TEST(net.app(0).running == 1);
    net.disconnect_client(0, "gone");
    net.run_for(10ms);
    BOOST_TEST(net.app(0).running == 0);
    BOOST_TEST(net.core(0).queue().running() == 0);
}

BOOST_AUTO_TEST_CASE(never_applies_an_older_configuration)
{
    simulated_mesh net(node_count);
    net.configure(true, 1000ms, 400ms, 7);
    net.configure(true, 1000ms, 400ms, 5);
    BOOST_TEST(net.core(0).config()->version().value() == 7);
}

BOOST_AUTO_TEST_CASE(answers_unavailable_before_the_first_configuration)
{
    simulated_mesh net(node_count);
    net.send(0, "early");
    net.run_for(10ms);
    BOOST_TEST(net.results().at("early").status == 503);
    net.configure(true);
    net.send(0, "late");
    net.run_for(10ms);
    // The route is known, but there is no backend server yet.
    BOOST_TEST(net.results().at("late").status == 503);
}

BOOST_AUTO_TEST_CASE(ignores_a_delayed_check_in)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    net.check_in(0, true);
    net.app(0).sequence = 0;
    net.check_in(0);
    BOOST_TEST(!net.core(0).own_backend()->accepts_requests());
}

BOOST_AUTO_TEST_CASE(a_delayed_check_in_does_not_undo_a_deregistration)
{
    // A node that has just started receives the deregistration before any check-in.
    simulated_mesh net(node_count);
    net.configure(true);
    net.deregister_backend(0);
    net.run_for(1500ms);
    net.check_in(0);
    BOOST_TEST((!net.core(0).own_backend() || !net.core(0).own_backend()->accepts_requests()));
    net.send(0, "g");
    net.run_for(1s);
    BOOST_TEST(net.app(0).requests_after_leaving == 0);
    // A later start under the same id checks in well after that time.
    net.run_for(10s);
    net.check_in(0);
    BOOST_TEST(net.core(0).own_backend()->accepts_requests());
}

BOOST_AUTO_TEST_CASE(refuses_requests_between_shutdown_and_exit)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    net.stop(0);
    // The node has signalled that its process may exit, but the process has not exited yet.
    net.run_for(2'700ms);
    net.send(0, "late");
    net.run_for(100ms);
    BOOST_TEST(net.results().at("late").status == 503);
    BOOST_TEST(net.run_count("late") == 0);
}

struct rollout_case {
    const char* name;
    std::function<void(simulated_backend&)> inject_fault;
    rollout_phase expected;
};

std::ostream& operator<<(std::ostream& counts, const rollout_case& scenario)
{
    return counts << scenario.name;
}

const std::vector<rollout_case> rollout_cases{
    {"good", [](simulated_backend&) {}, rollout_phase::completed},
    {"fails", [](simulated_backend& app) { app.status = 500; }, rollout_phase::rolled_back},
    {"slow", [](simulated_backend& app) { app.work = 800ms; }, rollout_phase::rolled_back},
};

BOOST_DATA_TEST_CASE(completes_or_rolls_back_each_rollout_in_time,
                     boost::unit_test::data::make(rollout_cases), scenario)
{
    // Six nodes, of which n3 to n5 run the new release.
    simulated_mesh net(6);
    net.configure(true, 2000ms, 1000ms);
    for (std::size_t i = 0; i < 6; ++i) {
        net.app(i).slots = 12;
        if (i >= 3) {
            net.app(i).release = release_id{"v2"};
        }
    }
    net.order_rollout("v2", 15s);
    for (std::size_t i = 3; i < 6; ++i) {
        scenario.inject_fault(net.app(i));
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
    BOOST_TEST((net.statuses().back().phase == scenario.expected));
    // Exactly two statuses: the start and one result.
    BOOST_TEST(net.statuses().size() == 2U);
    if (scenario.expected == rollout_phase::rolled_back) {
        // The share of requests that a bad release may receive, plus the tolerance that the
        // operators allow.
        BOOST_TEST(net.app(3).arrivals + net.app(4).arrivals + net.app(5).arrivals <=
                   requests / 10 + 50);
    }
}

BOOST_AUTO_TEST_CASE(a_rollout_ends_after_its_leader_died_and_the_address_was_reused)
{
    simulated_mesh net(6);
    net.configure(true, 2000ms, 1000ms);
    for (std::size_t i = 3; i < 6; ++i) {
        net.app(i).release = release_id{"v2"};
    }
    net.order_rollout("v2", 15s);
    net.run_for(500ms);
    net.kill(0);
    net.reassign_address(0, 5);
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

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_node_that_reuses_the_address_of_another)
{
    simulated_mesh net(node_count);
    net.configure(true);
    check_in_all(net);
    net.kill(0);
    net.reassign_address(0, 2);
    net.run_for(2s);
    // More load than the node's own backend server can serve, less than two can.
    for (int i = 0; i < 60; ++i) {
        net.send(1, "h" + std::to_string(i));
        net.run_for(17ms);
    }
    net.run_for(1s);
    BOOST_TEST(count_outcomes(net).in_time == 60);
    // A request addressed to the killed node's backend server would be refused there.
    BOOST_TEST(net.core(2).counters().owner_refusals == 0U);
}
