// Connections between nodes: a time limit that expires while the process stands still, and bodies
// of all lengths.
#define BOOST_TEST_MODULE peer_links
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libmesh/body_parts.h"
#include "libshell/test_io.h"
#include "libshell/wire_codec.h"
#include "libsidecar/peer_links.h"

#include <optional>
#include <utility>
#include <variant>
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

namespace {

/// Two nodes in one process; the first has dialled the second.
struct linked_pair {
    boost::asio::io_context io{1};
    std::uint16_t remote_port = shell::test::free_port();
    std::vector<mesh::frame_ptr> received;
    std::optional<mesh::link_id> link;
    bool closed = false;
    peer_links remote{io, {"127.0.0.1", remote_port}, [this](const mesh::event& event) {
                          if (const auto* arrived = std::get_if<mesh::frame_arrived>(&event)) {
                              received.push_back(arrived->frame);
                          }
                      }};
    peer_links local{io, {"127.0.0.1", shell::test::free_port()}, [this](const mesh::event& event) {
                         if (const auto* opened = std::get_if<mesh::link_opened>(&event)) {
                             link = opened->link;
                         }
                         closed = closed || std::holds_alternative<mesh::link_closed>(event);
                     }};

    linked_pair()
    {
        mesh_wire::node_record record;
        record.__set_node("n1");
        record.__set_host("127.0.0.1");
        record.__set_port(remote_port);
        local.dial(record);
        while (!link) {
            io.run_one();
        }
    }

    void run_until_received(std::size_t count)
    {
        while (received.size() < count && !closed) {
            io.run_one();
        }
    }
};

mesh_wire::mesh_frame run_frame(std::int64_t call)
{
    mesh_wire::mesh_frame frame;
    frame.run.__set_call(call);
    frame.__isset.run = true;
    return frame;
}

mesh::body_ptr body_of(std::size_t length)
{
    return std::make_shared<const std::string>(length, 'x');
}

constexpr std::size_t frame_limit = shell::frame_limit_bytes;
constexpr std::size_t part = mesh::body_part_bytes;

} // namespace

// Guards against a process that ends, or a link that closes, because of the length of a body.
BOOST_DATA_TEST_CASE(bodies_of_all_lengths_arrive,
                     boost::unit_test::data::make(std::vector<std::size_t>{
                         0, part - 1, part, part + 1, frame_limit - 1, frame_limit,
                         frame_limit + 1}),
                     length)
{
    linked_pair nodes;
    const auto body = body_of(length);
    nodes.local.send({*nodes.link, run_frame(1), body});
    nodes.run_until_received(1);
    BOOST_REQUIRE(nodes.received.size() == 1U);
    BOOST_TEST((nodes.received.front()->run.body == *body));
}

BOOST_AUTO_TEST_CASE(a_large_body_does_not_delay_small_frames)
{
    linked_pair nodes;
    nodes.local.send({*nodes.link, run_frame(1), body_of(frame_limit)});
    nodes.local.send({*nodes.link, run_frame(2), body_of(100)});
    nodes.run_until_received(2);
    BOOST_REQUIRE(nodes.received.size() == 2U);
    BOOST_TEST(nodes.received.front()->run.call == 2);
}

BOOST_AUTO_TEST_CASE(a_cancelled_body_does_not_arrive)
{
    linked_pair nodes;
    nodes.local.send({*nodes.link, run_frame(1), body_of(frame_limit)});
    mesh_wire::mesh_frame cancel;
    cancel.cancel.__set_call(1);
    cancel.__isset.cancel = true;
    nodes.local.send({*nodes.link, cancel});
    nodes.local.send({*nodes.link, run_frame(2), body_of(100)});
    nodes.run_until_received(2);
    BOOST_REQUIRE(nodes.received.size() == 2U);
    BOOST_TEST(nodes.received.front()->__isset.cancel);
    BOOST_TEST(nodes.received.back()->run.call == 2);
}

BOOST_AUTO_TEST_CASE(a_frame_over_the_limit_closes_its_link_only)
{
    linked_pair nodes;
    auto frame = run_frame(1);
    frame.run.__set_head(std::string(frame_limit, 'h'));
    nodes.local.send({*nodes.link, std::move(frame)});
    nodes.run_until_received(1);
    BOOST_TEST(nodes.closed);
    BOOST_TEST(nodes.local.counters().oversized_frames == 1U);
}

} // namespace camphor::sidecar
