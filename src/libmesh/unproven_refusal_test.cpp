// Backend servers that answer with a status that means "not run" but lack the marker that proves
// it. Guards against passing such a status on for a request that ran: the client would send it
// again.
#define BOOST_TEST_MODULE unproven_refusal
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

// Each backend server runs the request and answers with the status, without the marker.
BOOST_DATA_TEST_CASE(does_not_report_an_unsafe_request_that_ran_as_not_run,
                     boost::unit_test::data::make(std::vector<int>{408, 421, 429, 503}), status)
{
    constexpr std::size_t node_count = 3;
    simulated_mesh net(node_count);
    net.configure(false);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).status = status;
        net.check_in(i);
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        const auto id = "u" + std::to_string(i);
        net.send(i, id);
        net.run_for(2s);
        BOOST_TEST(net.results().at(id).status == 502);
        BOOST_TEST(net.run_count(id) == 1);
    }
}
