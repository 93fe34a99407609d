// Requests that reach a stopping node. Guards against accepting requests that cannot finish before
// the process exits, and against refusals that come late or after the request has run.
#define BOOST_TEST_MODULE stopping
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 6;
/// A refusal must arrive within this time, so that the client can retry elsewhere at once.
constexpr auto max_refusal_time = 50ms;

struct stopping_case {
    const char* name;
    milliseconds grace_period;
    /// Time that a backend server takes for a request, and the timeout of the route.
    milliseconds request_duration;
    milliseconds route_timeout;
};

std::ostream& operator<<(std::ostream& out, const stopping_case& scenario)
{
    return out << scenario.name;
}

const std::vector<stopping_case> stopping_cases{
    {"short requests", 6000ms, 80ms, 1000ms},
    {"requests of 700 ms", 6000ms, 700ms, 2000ms},
    {"requests that nearly reach the route timeout", 6000ms, 1900ms, 2000ms},
    {"requests that outlast the stop from its middle on", 6000ms, 2500ms, 5000ms},
    {"requests that outlast the stop", 6000ms, 4000ms, 5000ms},
    {"a short grace period", 3000ms, 700ms, 1000ms},
    {"a long grace period", 15000ms, 1900ms, 4000ms},
};

} // namespace

BOOST_DATA_TEST_CASE(a_stopping_node_finishes_accepted_requests_and_refuses_others_at_once,
                     boost::unit_test::data::make(stopping_cases), scenario)
{
    simulated_mesh net(node_count);
    net.configure(true, scenario.route_timeout, scenario.route_timeout);
    for (std::size_t i = 0; i < node_count; ++i) {
        auto bounds = mesh_bounds{};
        bounds.grace_period = scenario.grace_period;
        net.set_bounds(i, bounds);
        net.app(i).slots = 40;
        net.app(i).work = scenario.request_duration;
        net.check_in(i);
    }
    // Lets the nodes learn how long requests take.
    for (std::size_t i = 0; i < 2 * node_count; ++i) {
        net.send(i % node_count, "before" + std::to_string(i), scenario.route_timeout);
        net.run_for(scenario.request_duration + 100ms);
    }
    net.results().clear();
    net.stop(0);
    const auto stopped_at = net.now();
    int sent_requests = 0;
    // The clients do not notice the stop and keep sending.
    while (!net.is_dead(0)) {
        net.send(0, "s" + std::to_string(sent_requests++), scenario.route_timeout);
        net.run_for(25ms);
    }
    BOOST_TEST((net.now() - stopped_at <= scenario.grace_period));
    int served_requests = 0;
    for (const auto& [id, result] : net.results()) {
        served_requests += result.status == 200 ? 1 : 0;
        if (result.status != 200) {
            BOOST_TEST_CONTEXT(id << " got " << result.status)
            {
                BOOST_TEST(result.status == 503);
                BOOST_TEST((result.took <= max_refusal_time));
                BOOST_TEST(net.run_count(id) == 0);
            }
        }
    }
    BOOST_TEST(served_requests > 0);
    // No request that ran may be left unanswered when the process exits.
    BOOST_TEST(net.unanswered_runs(0) == 0);
}

namespace {

struct cut_short_case {
    const char* name;
    bool safe;
    /// The requests wait in the queue of another node's backend server instead of running.
    bool queued;
};

std::ostream& operator<<(std::ostream& out, const cut_short_case& scenario)
{
    return out << scenario.name;
}

const std::vector<cut_short_case> cut_short_cases{
    {"safe requests that run", true, false},
    {"unsafe requests that run", false, false},
    {"unsafe requests that run or wait", false, true},
};

} // namespace

// The backend servers turn so slow that requests accepted in time outlast the stop.
BOOST_DATA_TEST_CASE(a_stopping_node_answers_what_it_cannot_finish,
                     boost::unit_test::data::make(cut_short_cases), scenario)
{
    constexpr auto patience = 30s;
    simulated_mesh net(node_count);
    net.configure(scenario.safe, patience, patience);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).slots = scenario.queued ? 1 : 40;
        net.check_in(i);
    }
    for (std::size_t i = 0; i < 2 * node_count; ++i) {
        net.send(i % node_count, "before" + std::to_string(i), patience);
        net.run_for(200ms);
    }
    net.results().clear();
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).work = 20s;
    }
    net.stop(0);
    constexpr int request_count = 20;
    for (int i = 0; i < request_count; ++i) {
        net.send(0, "c" + std::to_string(i), patience);
        net.run_for(10ms);
    }
    net.run_for(mesh_bounds{}.grace_period);
    BOOST_REQUIRE(net.is_dead(0));
    BOOST_TEST(net.results().size() == static_cast<std::size_t>(request_count));
    for (const auto& [id, result] : net.results()) {
        BOOST_TEST_CONTEXT(id << " got " << result.status)
        {
            // Only a request that has not run may be told so.
            BOOST_TEST((result.status == 502 || (result.status == 503 && net.run_count(id) == 0)));
        }
    }
}

namespace {

struct handover_load_case {
    const char* name;
    milliseconds request_duration;
    int requests_per_second;
};

std::ostream& operator<<(std::ostream& out, const handover_load_case& scenario)
{
    return out << scenario.name;
}

// Three backend servers of four slots; two of them cannot serve the load.
const std::vector<handover_load_case> handover_load_cases{
    {"short requests", 50ms, 200},
    {"requests of 200 ms", 200ms, 50},
};

} // namespace

// The clients have noticed the stop; the backend server beside the stopping node is still there.
BOOST_DATA_TEST_CASE(a_stopping_node_lends_its_backend_server_until_it_leaves,
                     boost::unit_test::data::make(handover_load_cases), scenario)
{
    constexpr std::size_t nodes = 3;
    constexpr auto lending_time = 1500ms;
    const duration pause = duration(1s) / scenario.requests_per_second;
    simulated_mesh net(nodes, 1);
    net.configure(true, 1500ms, 600ms);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.app(i).work = scenario.request_duration;
        net.check_in(i);
    }
    const auto send_for = [&](const std::string& prefix, duration span, std::size_t first) {
        for (int i = 0; pause * i < span; ++i) {
            const auto at = first + static_cast<std::size_t>(i) % (nodes - first);
            net.send(at, prefix + std::to_string(i), 1500ms);
            net.run_for(pause);
        }
    };
    send_for("before", 2s, 0);
    net.run_for(1s);
    net.results().clear();
    net.stop(0);
    const int arrivals = net.app(0).arrivals;
    send_for("during", lending_time, 1);
    BOOST_TEST(net.app(0).arrivals > arrivals);
    net.run_for(2s);
    BOOST_TEST(net.is_dead(0));
    for (const auto& [id, result] : net.results()) {
        BOOST_TEST_CONTEXT(id << " got " << result.status)
        {
            BOOST_TEST(result.status == 200);
            BOOST_TEST((result.took <= 600ms));
        }
    }
}
