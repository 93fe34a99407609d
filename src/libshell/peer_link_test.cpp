// The link between nodes: delivery, refusals, and what a bad peer cannot do.
#define BOOST_TEST_MODULE peer_link
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/peer_link.h"
#include "libshell/test_io.h"
#include "libshell/wire_codec.h"

namespace data = boost::unit_test::data;

namespace camphor::shell {

namespace {

using test::run_until;

struct listening_node {
    listening_node()
        : link(io, settings_of(test::free_port()), sink,
               [this](const log_record& line) { lines.push_back(line.event + " " + line.detail); })
    {
        link.start(incarnation{1});
    }

    const node_settings& settings_of(std::uint16_t port)
    {
        settings.mesh = "test";
        settings.node = node_id{"node-1"};
        settings.host = "127.0.0.1";
        settings.peer_port = port;
        return settings;
    }

    boost::asio::io_context io{1};
    node_settings settings;
    test::recording_sink sink;
    std::vector<std::string> lines;
    peer_link link;
};

wire::frame ping_frame(const std::string& mesh, std::int32_t protocol)
{
    wire::frame out;
    out.mesh = mesh;
    out.sender = "node-2";
    out.protocol = protocol;
    out.__set_ping({});
    return out;
}

struct refused_case {
    std::string name;
    std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const refused_case& item)
{
    return out << item.name;
}

const std::vector<refused_case> refused_cases{
    {"foreign mesh", encode_frame(ping_frame("other", protocol_version))},
    {"unknown protocol", encode_frame(ping_frame("test", protocol_version + 1))},
    {"oversized length", std::string("\xFF\xFF\xFF\xFF", 4)},
    {"not a frame", std::string("\0\0\0\3abc", 7)},
};

} // namespace

BOOST_DATA_TEST_CASE(bad_frames_close_the_connection, data::make(refused_cases), item)
{
    listening_node node;
    test::raw_client client(node.io, node.settings.peer_port);
    client.write(item.bytes);
    BOOST_TEST(run_until(node.io, [&] { return client.is_closed(); }));
    BOOST_TEST(node.sink.events.empty());
    BOOST_TEST(node.lines.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_half_sent_frame_holds_up_nobody)
{
    listening_node node;
    test::raw_client slow(node.io, node.settings.peer_port);
    slow.write(std::string("\0\0\1\0only", 8));
    test::raw_client half_closed(node.io, node.settings.peer_port);
    half_closed.write(std::string("\0\0", 2));
    half_closed.half_close();
    test::raw_client good(node.io, node.settings.peer_port);
    good.write(encode_frame(ping_frame("test", protocol_version)));
    BOOST_TEST(run_until(node.io, [&] { return node.sink.events.size() == 1; }));
    BOOST_TEST(run_until(node.io, [&] { return half_closed.is_closed(); }));
}

BOOST_AUTO_TEST_CASE(frames_arrive_in_order_large_ones_too)
{
    listening_node node;
    constexpr std::size_t large = 1'000'000;
    const peer_address to{"127.0.0.1", node.settings.peer_port};
    for (const std::size_t size : {std::size_t{1}, large, std::size_t{2}}) {
        wire::config_full_message full;
        full.version = static_cast<std::int64_t>(size);
        full.resources.emplace_back(size, 'x');
        wire::frame frame;
        frame.__set_config_full(full);
        node.link.send({to, frame});
    }
    BOOST_TEST_REQUIRE(run_until(node.io, [&] { return node.sink.events.size() == 3; }));
    std::vector<std::int64_t> order;
    for (const auto& item : node.sink.events) {
        order.push_back(std::get<frame_received>(item).frame.config_full.version);
    }
    BOOST_TEST(order == (std::vector<std::int64_t>{1, large, 2}), boost::test_tools::per_element());
}

// A node may stop while a worker thread decodes a frame.
BOOST_AUTO_TEST_CASE(no_decoding_outlasts_the_link)
{
    constexpr int stops = 20;
    wire::config_full_message full;
    // Fits into the socket buffers, so that the whole frame can be written before it is read.
    full.resources.assign(10'000, "resource");
    auto frame = ping_frame("test", protocol_version);
    frame.__isset.ping = false;
    frame.__set_config_full(full);
    const auto bytes = encode_frame(frame);
    for (int i = 0; i < stops; ++i) {
        listening_node node;
        test::raw_client client(node.io, node.settings.peer_port);
        client.write(bytes);
        BOOST_TEST_REQUIRE(
            run_until(node.io, [&] { return node.link.traffic().frames_received == 1; }));
    }
}

BOOST_AUTO_TEST_CASE(an_unreachable_node_is_given_up_and_tried_again)
{
    listening_node node;
    const peer_address to{"127.0.0.1", test::free_port()};
    node.link.send({to, ping_frame("test", protocol_version)});
    BOOST_TEST(run_until(node.io, [&] { return node.link.traffic().frames_dropped == 1; }));
    node.link.send({{"127.0.0.1", node.settings.peer_port}, ping_frame("", 0)});
    BOOST_TEST(run_until(node.io, [&] { return node.sink.events.size() == 1; }));
}

} // namespace camphor::shell
