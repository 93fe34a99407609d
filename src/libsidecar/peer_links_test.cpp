// Connections between nodes whose time limit expires while the process stands still.
#define BOOST_TEST_MODULE peer_links
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libsidecar/peer_links.h"

#include <vector>

namespace camphor::sidecar {

// Guards against runs that are given up because a sound connection to their owner is closed by the
// limit of its connection attempt, which had expired before the connection was noticed.
BOOST_AUTO_TEST_CASE(a_late_connection_to_a_peer_stays_open)
{
    boost::asio::io_context io{1};
    shell::test::full_listener remote;
    std::vector<mesh::event> events;
    peer_links links(io, {"127.0.0.1", shell::test::free_port()},
                     [&](mesh::event event) { events.push_back(std::move(event)); });
    mesh_wire::node_record record;
    record.__set_node("n1");
    record.__set_host("127.0.0.1");
    record.__set_port(remote.port());
    links.dial(record);
    auto accepted = remote.accept_during_pause(io);
    BOOST_TEST(shell::test::read_available(io, accepted).empty());
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(std::holds_alternative<mesh::link_opened>(events.front()));
}

} // namespace camphor::sidecar
