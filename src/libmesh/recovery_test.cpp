// Backend servers that were slow, full or failing for some seconds, and are sound again.
#define BOOST_TEST_MODULE recovery
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
constexpr int requests_per_second = 60;
constexpr duration sound_work = 100ms;
constexpr duration check_in_interval = 1500ms;

void check_in_all(simulated_mesh& net)
{
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
    }
}

/// Sends requests to node 0 and lets the backend servers check in. Returns the share served.
double send_load(simulated_mesh& net, duration span, const std::string& prefix)
{
    const int request_count = static_cast<int>(span / 1ms) * requests_per_second / 1000;
    auto next_check_in = net.now();
    for (int i = 0; i < request_count; ++i) {
        if (net.now() >= next_check_in) {
            check_in_all(net);
            next_check_in += check_in_interval;
        }
        net.send(0, prefix + std::to_string(i), 1500ms);
        net.run_for(duration(1s) / requests_per_second);
    }
    int served = 0;
    for (const auto& [id, result] : net.results()) {
        served += id.starts_with(prefix) && result.status == 200 ? 1 : 0;
    }
    return static_cast<double>(served) / request_count;
}

struct outage_case {
    const char* name;
    /// Backend servers go on with requests whose connections were closed.
    bool keeps_aborted_runs;
    /// All nodes are killed and restarted while the backend servers are slow.
    bool kills_nodes;
};

std::ostream& operator<<(std::ostream& out, const outage_case& sample)
{
    return out << sample.name;
}

const std::vector<outage_case> outage_cases{
    {"requests are dropped", false, false},
    {"requests go on", true, false},
    {"requests go on, all nodes are killed", true, true},
    {"requests are dropped, all nodes are killed", false, true},
};

} // namespace

// Guards against a service that is refused for good after all of its backend servers were slow: the
// load that they reported last must not keep requests away for ever.
BOOST_DATA_TEST_CASE(backend_servers_that_were_slow_are_used_again,
                     boost::unit_test::data::make(outage_cases), sample)
{
    simulated_mesh net(node_count);
    net.configure(true, 800ms, 400ms);
    check_in_all(net);
    net.run_for(100ms);
    BOOST_TEST(send_load(net, 2s, "before") > 0.9);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).work = sound_work * 12;
        net.app(i).keeps_aborted_runs = sample.keeps_aborted_runs;
        net.app(i).max_requests = net.app(i).slots + 8;
    }
    send_load(net, 2s, "slow");
    for (std::size_t i = 0; i < node_count && sample.kills_nodes; ++i) {
        net.kill(i);
    }
    net.run_for(500ms);
    for (std::size_t i = 0; i < node_count && sample.kills_nodes; ++i) {
        net.restart_node(i);
    }
    send_load(net, 6s, "still slow");
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).work = sound_work;
    }
    // The last slow requests end.
    send_load(net, 3s, "ending");
    BOOST_TEST(send_load(net, 5s, "after") > 0.9);
}

// Guards against probes that overrun backend servers which are truly full.
BOOST_AUTO_TEST_CASE(full_backend_servers_are_not_overrun)
{
    constexpr int seconds = 6;
    constexpr int max_probes_per_second = 2;
    simulated_mesh net(node_count);
    net.configure(true, 800ms, 400ms);
    check_in_all(net);
    net.run_for(100ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        // Requests that this process of the node does not know keep it full.
        net.app(i).max_requests = net.app(i).slots + 8;
        net.app(i).running += net.app(i).max_requests;
    }
    send_load(net, 1s, "first");
    const auto arrivals = [&net] {
        int total = 0;
        for (std::size_t i = 0; i < node_count; ++i) {
            total += net.app(i).arrivals;
        }
        return total;
    };
    const int before = arrivals();
    send_load(net, duration(1s) * seconds, "full");
    const int probes = arrivals() - before;
    BOOST_TEST_MESSAGE(probes << " probes");
    BOOST_TEST(probes > 0);
    BOOST_TEST(probes <= static_cast<int>(node_count) * seconds * max_probes_per_second);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).running -= net.app(i).max_requests;
    }
    send_load(net, 1500ms, "ending");
    BOOST_TEST(send_load(net, 3s, "after") > 0.9);
}

namespace {

struct avoided_case {
    const char* name;
    std::function<void(simulated_backend&)> inject_fault;
    bool safe;
};

std::ostream& operator<<(std::ostream& out, const avoided_case& sample)
{
    return out << sample.name;
}

const std::vector<avoided_case> avoided_cases{
    {"slow", [](simulated_backend& app) { app.work = sound_work * 7; }, true},
    {"slow, requests run at most once", [](simulated_backend& app) { app.work = sound_work * 7; },
     false},
    {"failing", [](simulated_backend& app) { app.status = 500; }, true},
    {"rejecting", [](simulated_backend& app) { app.shed_period = 1; }, true},
    {"failing, requests run at most once", [](simulated_backend& app) { app.status = 500; }, false},
};

/// Backend server 1 is at fault for long enough that placement avoids it.
void run_until_avoided(simulated_mesh& net, const avoided_case& sample)
{
    net.configure(sample.safe, 800ms, 400ms);
    check_in_all(net);
    net.run_for(100ms);
    send_load(net, 2s, "before");
    sample.inject_fault(net.app(1));
    send_load(net, 5s, "fault");
}

} // namespace

// Guards against a sound backend server that stands idle because it was slow or failing while the
// others can take all requests.
BOOST_DATA_TEST_CASE(a_backend_server_that_was_avoided_is_used_again,
                     boost::unit_test::data::make(avoided_cases), sample)
{
    simulated_mesh net(node_count);
    run_until_avoided(net, sample);
    net.app(1).work = sound_work;
    net.app(1).status = 200;
    net.app(1).shed_period = 0;
    // Without requests that may fail, the failures are forgotten.
    send_load(net, sample.safe ? 10s : 45s, "recovering");
    const int before = net.app(1).arrivals;
    BOOST_TEST(send_load(net, 5s, "after") > 0.95);
    const double share =
        static_cast<double>(net.app(1).arrivals - before) / (5 * requests_per_second);
    BOOST_TEST_MESSAGE("share of the backend server " << share);
    BOOST_TEST(share > 0.15);
}

// Guards against probes that harm callers while a backend server is still slow or failing.
BOOST_DATA_TEST_CASE(a_backend_server_that_is_still_bad_gets_few_requests,
                     boost::unit_test::data::make(avoided_cases), sample)
{
    simulated_mesh net(node_count);
    run_until_avoided(net, sample);
    const int before = net.app(1).arrivals;
    BOOST_TEST(send_load(net, 20s, "still bad") > 0.97);
    const double share =
        static_cast<double>(net.app(1).arrivals - before) / (20 * requests_per_second);
    BOOST_TEST_MESSAGE("share of the backend server " << share);
    BOOST_TEST(share < 0.05);
}

// Guards against nodes that never find each other again after they were cut off for minutes.
BOOST_DATA_TEST_CASE(a_node_that_was_cut_off_is_in_use_again,
                     boost::unit_test::data::make({10, 150, 1'800}), seconds)
{
    simulated_mesh net(node_count);
    net.configure(true, 800ms, 400ms);
    check_in_all(net);
    net.run_for(100ms);
    net.cut_off(1);
    net.run_for(std::chrono::seconds(seconds));
    net.set_partitioned(1, false);
    net.run_for(11s);
    const int before = net.app(1).arrivals;
    BOOST_TEST(send_load(net, 3s, "after") > 0.95);
    BOOST_TEST(net.app(1).arrivals > before);
}
