// Backend servers that left, restarts of nodes and check-ins that arrive late.
#define BOOST_TEST_MODULE departures
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 3;

struct departure_case {
    const char* name;
    std::function<void(simulated_mesh&)> leave;
};

struct restart_case {
    const char* name;
    /// From the departure's acknowledgement until all nodes are killed at the same moment.
    duration killed_after;
    int restarts;
    /// Time for which the store does not answer after the last restart.
    duration store_away;
};

std::ostream& operator<<(std::ostream& out, const departure_case& sample)
{
    return out << sample.name;
}

std::ostream& operator<<(std::ostream& out, const restart_case& sample)
{
    return out << sample.name;
}

const std::vector<departure_case> departure_cases{
    {"it drains",
     [](simulated_mesh& net) {
         net.check_in(0, true);
     }},
    {"it deregisters",
     [](simulated_mesh& net) {
         net.deregister_backend(0);
     }},
    {"it deregisters and states its start",
     [](simulated_mesh& net) {
         net.app(0).leaving = true;
         net.deregister_start(0, net.app(0).life);
     }},
};

const std::vector<restart_case> restart_cases{
    {"one restart", 300ms, 1, 0ms},
    {"killed at the acknowledgement", 0ms, 1, 0ms},
    {"two restarts", 300ms, 2, 0ms},
    {"the store is away after the restart", 300ms, 1, 2s},
};

void restart_all(simulated_mesh& net, bool store_away)
{
    for (std::size_t i = 0; i < node_count; ++i) {
        net.kill(i);
    }
    net.run_for(500ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.set_store_unavailable(i, store_away);
        // The backend server of each node checks in at once; that of node 0 sent it before it left.
        net.restart_node(i);
    }
}

void send_requests(simulated_mesh& net, const std::string& prefix)
{
    for (int i = 0; i < 60; ++i) {
        net.send(static_cast<std::size_t>(i) % node_count, prefix + std::to_string(i));
        net.run_for(10ms);
    }
    net.run_for(1s);
}

} // namespace

// Guards against requests to a backend server that left, after a restart of all nodes: a check-in
// that it had sent before is received late.
BOOST_DATA_TEST_CASE(a_restart_of_all_nodes_does_not_bring_back_a_backend_server_that_left,
                     boost::unit_test::data::make(departure_cases) *
                         boost::unit_test::data::make(restart_cases),
                     departure, restart)
{
    simulated_mesh net(node_count);
    net.configure(true);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
    departure.leave(net);
    while (!net.last_acknowledgement()) {
        net.run_for(1ms);
    }
    net.run_for(restart.killed_after);
    for (int i = 0; i < restart.restarts; ++i) {
        restart_all(net, restart.store_away > 0ms);
        net.run_for(300ms);
    }
    net.run_for(restart.store_away);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.set_store_unavailable(i, false);
    }
    net.run_for(500ms);
    send_requests(net, "r");
    BOOST_TEST(net.app(0).requests_after_leaving == 0);
    // The sound ones are in use, and so is a later start of the one that left.
    BOOST_TEST(net.app(1).arrivals > 0);
    BOOST_TEST(net.app(2).arrivals > 0);
    BOOST_TEST(net.results().at("r0").status == 200);
    ++net.app(0).life;
    net.app(0).leaving = false;
    net.check_in(0);
    BOOST_TEST(net.core(0).own_backend()->accepts_requests());
}

// Guards against the same after a restart of a single node, which the others tell what it forgot.
BOOST_DATA_TEST_CASE(a_restarted_node_does_not_take_back_a_backend_server_that_left,
                     boost::unit_test::data::make(departure_cases), scenario)
{
    simulated_mesh net(node_count);
    net.configure(true);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
    scenario.leave(net);
    net.run_for(100ms);
    net.kill(0);
    net.run_for(300ms);
    // A check-in of the backend server that had been delayed arrives.
    net.restart_node(0);
    net.run_for(500ms);
    BOOST_TEST(!net.core(0).own_backend()->accepts_requests());
    for (int i = 0; i < 60; ++i) {
        net.send(static_cast<std::size_t>(i) % node_count, "r" + std::to_string(i));
        net.run_for(10ms);
    }
    BOOST_TEST(net.app(0).requests_after_leaving == 0);
    // A later start under the same id is taken.
    ++net.app(0).life;
    net.app(0).leaving = false;
    net.check_in(0);
    BOOST_TEST(net.core(0).own_backend()->accepts_requests());
}

// Guards against sound backend servers that stand idle after a restart of all nodes.
BOOST_AUTO_TEST_CASE(a_sound_backend_server_is_used_at_once_after_a_restart_of_all_nodes)
{
    simulated_mesh net(node_count);
    net.configure(true);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
    restart_all(net, false);
    net.run_for(10ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        BOOST_REQUIRE(net.core(i).own_backend().has_value());
        BOOST_TEST(net.core(i).own_backend()->accepts_requests());
    }
}

// Guards against a backend server that stays out of use for as long as the store is away.
BOOST_AUTO_TEST_CASE(without_the_store_a_second_check_in_is_enough)
{
    simulated_mesh net(node_count);
    net.configure(true);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
    restart_all(net, true);
    net.run_for(100ms);
    BOOST_TEST(!net.core(0).own_backend().has_value());
    net.check_in(0);
    BOOST_REQUIRE(net.core(0).own_backend().has_value());
    BOOST_TEST(net.core(0).own_backend()->accepts_requests());
}

struct acknowledgement_case {
    const char* name;
    bool store_away;
    duration earliest;
    duration latest;
};

std::ostream& operator<<(std::ostream& out, const acknowledgement_case& sample)
{
    return out << sample.name;
}

// The backend server accepts an acknowledgement within a second.
const std::vector<acknowledgement_case> acknowledgement_cases{
    {"once the store holds the departure", false, 4ms, 100ms},
    {"in time when the store does not answer", true, 500ms, 900ms},
};

// Guards against an acknowledgement that a kill of all nodes right after it makes void.
BOOST_DATA_TEST_CASE(a_departure_is_acknowledged,
                     boost::unit_test::data::make(acknowledgement_cases) *
                         boost::unit_test::data::make(departure_cases),
                     sample, departure)
{
    simulated_mesh net(node_count);
    net.configure(true);
    net.check_in(0);
    net.run_for(100ms);
    net.set_store_unavailable(0, sample.store_away);
    const auto left_at = net.now();
    departure.leave(net);
    net.run_for(2s);
    BOOST_REQUIRE(net.last_acknowledgement().has_value());
    BOOST_TEST((*net.last_acknowledgement() - left_at >= sample.earliest));
    BOOST_TEST((*net.last_acknowledgement() - left_at <= sample.latest));
}

// Guards against a late deregistration of an earlier start that takes the current one out of use.
BOOST_AUTO_TEST_CASE(a_late_deregistration_does_not_concern_a_later_start)
{
    simulated_mesh net(node_count);
    net.configure(true);
    net.app(0).life = 7;
    net.check_in(0);
    net.deregister_start(0, 6);
    BOOST_TEST(net.core(0).own_backend()->accepts_requests());
    net.deregister_start(0, 7);
    BOOST_TEST(!net.core(0).own_backend()->accepts_requests());
}
