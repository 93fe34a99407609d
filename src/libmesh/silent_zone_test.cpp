// An availability zone that is cut off without closing its connections, in a mesh in which each
// node sends to each other one less than once a second. Guards against losing a request to each of
// its nodes before the zone is given up.
#define BOOST_TEST_MODULE silent_zone
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 24;
constexpr std::size_t zone_count = 3;
constexpr auto route_timeout = 2500ms;
constexpr int requests_per_second = 60;
/// Requests sent later than this after the cut are not lost. A single node is unresponsive 600 ms
/// after a request, which is noticed at the next tick, 200 ms later at most; each sender's first
/// request comes within 200 ms.
constexpr auto detection_limit = 1s;

bool is_in_cut_zone(std::size_t i)
{
    return i % zone_count == 1;
}

/// The requests come from a zone without backend servers.
bool is_sender(std::size_t i)
{
    return i % zone_count == 0;
}

struct silence_case {
    const char* name;
    bool safe;
    /// Only one node is partitioned instead of its whole zone.
    bool single_node;
};

std::ostream& operator<<(std::ostream& out, const silence_case& scenario)
{
    return out << scenario.name;
}

const std::vector<silence_case> silence_cases{
    {"safe requests, whole zone", true, false},
    {"unsafe requests, whole zone", false, false},
    {"safe requests, one node", true, true},
};

/// Sends requests from each sender in turn and returns how many were sent.
int send_load(simulated_mesh& net, const std::string& prefix, duration span)
{
    const auto end = net.now() + span;
    int sent = 0;
    for (std::size_t i = 0; net.now() < end; ++i) {
        if (is_sender(i % node_count)) {
            net.send(i % node_count, prefix + std::to_string(sent++), route_timeout);
            net.run_for(duration(1s) / requests_per_second);
        }
    }
    return sent;
}

} // namespace

BOOST_DATA_TEST_CASE(a_silent_zone_is_given_up_at_once, boost::unit_test::data::make(silence_cases),
                     scenario)
{
    simulated_mesh net(node_count, zone_count);
    net.configure(scenario.safe, route_timeout, route_timeout);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).work = 200ms;
        if (!is_sender(i)) {
            net.check_in(i);
        }
    }
    send_load(net, "before", 3s);
    net.run_for(route_timeout);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.set_partitioned(i, scenario.single_node ? i == 1 : is_in_cut_zone(i));
    }
    send_load(net, "during", detection_limit);
    const int sent = send_load(net, "after", 3s);
    net.run_for(route_timeout + 500ms);
    int lost = 0;
    for (int i = 0; i < sent; ++i) {
        lost += net.results().at("after" + std::to_string(i)).status == 200 ? 0 : 1;
    }
    // A single silent node is found only by a request to it: each other node may lose one.
    BOOST_TEST(lost <= (scenario.single_node ? static_cast<int>(node_count) : 0));
    if (scenario.single_node) {
        // The other nodes of its zone still serve.
        BOOST_TEST(net.app(4).arrivals > 0);
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        net.set_partitioned(i, false);
    }
    net.run_for(2s);
    const auto arrivals_before = net.app(4).arrivals;
    const int sent_later = send_load(net, "later", 4s);
    net.run_for(route_timeout);
    for (int i = 0; i < sent_later; ++i) {
        BOOST_TEST(net.results().at("later" + std::to_string(i)).status == 200);
    }
    BOOST_TEST(net.app(4).arrivals > arrivals_before);
}
