// The proxy on loopback: whole answers to the right caller, under faults of either side.
#define BOOST_TEST_MODULE call_server
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_http.h"
#include "libshell/test_streams.h"

#include <rapidcheck.h>

#include <condition_variable>

namespace data = boost::unit_test::data;

namespace camphor::shell {

namespace {

using namespace test;
using namespace std::chrono_literals;

/// A port on which nobody listens.
std::uint16_t dead_port()
{
    asio::io_context io;
    const tcp::acceptor acceptor(io, loopback(0));
    return acceptor.local_endpoint().port();
}

/// Holds backend servers back until the test lets them go on.
class gate {
public:
    void open()
    {
        const std::lock_guard lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }
    void wait()
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return open_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = false;
};

struct bad_request_case {
    std::string name;
    std::string bytes;
    unsigned status;
};

std::ostream& operator<<(std::ostream& out, const bad_request_case& item)
{
    return out << item.name;
}

const std::string post_head = "POST /a HTTP/1.1\r\nHost: test\r\n";

const std::vector<bad_request_case> bad_requests{
    {"two lengths", post_head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
    {"equal lengths", post_head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
    {"length list", post_head + "Content-Length: 3, 4\r\n\r\nabcd", 400},
    {"negative length", post_head + "Content-Length: -3\r\n\r\nabc", 400},
    {"length and chunked",
     post_head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"chunked and length",
     post_head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
    {"chunked twice", post_head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 400},
    {"coding after chunked", post_head + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400},
    {"unknown coding", post_head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
    {"bad chunk size", post_head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n",
     400},
    {"chunk longer than said",
     post_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", 400},
    {"space before colon", post_head + "Content-Length : 3\r\n\r\nabc", 400},
    {"folded line", post_head + "X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n", 0},
    {"bare line feed", "GET /a HTTP/1.1\nHost: test\n\n", 400},
    {"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
    {"two hosts", "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
    {"not a path", "GET a HTTP/1.1\r\nHost: test\r\n\r\n", 400},
    {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: test\r\n\r\n", 501},
    {"long head", "GET /a HTTP/1.1\r\nHost: test\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
     431},
    {"long body", post_head + "Content-Length: 99999999999\r\n\r\n", 413},
};

} // namespace

BOOST_DATA_TEST_CASE(requests_that_two_readers_could_read_apart_are_refused,
                     data::make(bad_requests), item)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    client.send(item.bytes);
    const auto answer = client.receive();
    if (item.status == 0) {
        // Unfolded before it is passed on.
        BOOST_TEST(answer.result_int() == 200U);
        return;
    }
    BOOST_TEST(answer.result_int() == item.status);
    BOOST_TEST(answer["Camphor-Not-Run"] == "true");
    BOOST_TEST(client.is_closed());
    BOOST_TEST(backend.requests() == 0);
}

BOOST_AUTO_TEST_CASE(connections_are_kept_on_both_sides)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    for (int i = 0; i < 5; ++i) {
        const auto target = "/" + std::to_string(i);
        BOOST_TEST(client.get(target).body() == target + " ");
    }
    BOOST_TEST(backend.connections() == 1);
    BOOST_TEST(backend.requests() == 5);
}

BOOST_AUTO_TEST_CASE(pipelined_calls_are_answered_in_order)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    client.send("GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: t\r\n\r\n");
    for (const std::string target : {"/1 ", "/2 ", "/3 "}) {
        BOOST_TEST(client.receive().body() == target);
    }
}

struct body_case {
    std::string name;
    std::size_t bytes;
    bool chunked;
};

std::ostream& operator<<(std::ostream& out, const body_case& item)
{
    return out << item.name;
}

const std::vector<body_case> body_cases{
    {"empty", 0, false},          {"short", 10, false},        {"held", 60'000, false},
    {"streamed", 900'000, false}, {"short chunked", 10, true}, {"streamed chunked", 900'000, true},
};

BOOST_DATA_TEST_CASE(bodies_arrive_whole, data::make(body_cases), item)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    std::string body;
    while (body.size() < item.bytes) {
        body += std::to_string(body.size()) + ",";
    }
    for (int i = 0; i < 2; ++i) {
        std::ostringstream text;
        if (item.chunked) {
            text << post_head << "Transfer-Encoding: chunked\r\n\r\n"
                 << std::hex << body.size() << "\r\n"
                 << body << "\r\n0\r\n\r\n";
        } else {
            text << post_head << "Content-Length: " << body.size() << "\r\n\r\n" << body;
        }
        client.send(text.str());
        BOOST_TEST((client.receive().body() == "/a " + body));
    }
}

struct broken_case {
    std::string name;
    std::string partial;
};

std::ostream& operator<<(std::ostream& out, const broken_case& item)
{
    return out << item.name;
}

const std::vector<broken_case> broken_answers{
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this"},
    {"chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nonly this"},
    {"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthis\r\n"},
    {"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthis\r\nzz\r\n"},
};

BOOST_DATA_TEST_CASE(an_answer_that_breaks_off_never_looks_whole, data::make(broken_answers), item)
{
    raw_backend backend([&](tcp::socket& socket, const request& /*received*/) {
        write_text(socket, item.partial);
        return false;
    });
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    client.send("GET /a HTTP/1.1\r\nHost: test\r\n\r\n");
    boost::system::error_code error;
    client.receive(error);
    BOOST_TEST(error.failed());
    BOOST_TEST(!node.wait_for<call_finished>().complete);
}

BOOST_AUTO_TEST_CASE(a_late_answer_never_reaches_another_call)
{
    gate late;
    raw_backend slow([&](tcp::socket& socket, const request& received) {
        late.wait();
        write_text(socket, answer_text("late " + std::string(received.target())));
        return true;
    });
    raw_backend quick(echo());
    served node(try_in_turn({slow.port(), quick.port()}, 50ms));
    blocking_client client(node.port());
    BOOST_TEST(client.get("/1").body() == "/1 ");
    BOOST_TEST((node.wait_for<attempt_failed>().failure == attempt_failure::timed_out));
    late.open();
    BOOST_TEST(client.get("/2").body() == "late /2");
}

BOOST_AUTO_TEST_CASE(a_backend_server_that_cannot_be_reached_was_not_sent_to)
{
    served node(try_in_turn({dead_port()}));
    blocking_client client(node.port());
    const auto answer = client.get("/a");
    BOOST_TEST(answer.result_int() == 503U);
    BOOST_TEST(answer["Camphor-Not-Run"] == "true");
    BOOST_TEST((node.wait_for<attempt_failed>().failure == attempt_failure::not_sent));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_sent_is_never_called_not_run)
{
    raw_backend backend([](tcp::socket&, const request& /*received*/) { return false; });
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    const auto answer = client.get("/a");
    BOOST_TEST(answer.count("Camphor-Not-Run") == 0U);
    BOOST_TEST((node.wait_for<attempt_failed>().failure == attempt_failure::broken));
}

BOOST_AUTO_TEST_CASE(a_backend_servers_own_not_run_is_not_passed_on)
{
    raw_backend backend([](tcp::socket& socket, const request& /*received*/) {
        write_text(socket, answer_text("shed", "Camphor-Not-Run: true\r\nX-Kept: yes\r\n"));
        return true;
    });
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    const auto answer = client.get("/a");
    BOOST_TEST(answer.count("Camphor-Not-Run") == 0U);
    BOOST_TEST(answer["X-Kept"] == "yes");
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_its_call)
{
    gate never;
    raw_backend backend([&](tcp::socket&, const request& /*received*/) {
        never.wait();
        return false;
    });
    served node(try_in_turn({backend.port()}));
    {
        blocking_client client(node.port());
        client.send("GET /a HTTP/1.1\r\nHost: test\r\n\r\n");
        node.wait_for<call_arrived>();
    }
    node.wait_for<call_cancelled>();
    never.open();
}

BOOST_AUTO_TEST_CASE(a_head_that_drips_is_cut_off)
{
    call_server_settings settings;
    settings.head_timeout = 50ms;
    served node(try_in_turn({}), settings);
    blocking_client client(node.port());
    client.send("GET /a HTTP/1.1\r\nHos");
    BOOST_TEST(client.receive().result_int() == 408U);
    BOOST_TEST(client.is_closed());
}

BOOST_AUTO_TEST_CASE(a_keyed_call_hands_its_answer_back_for_replay)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}, 30s, true));
    blocking_client client(node.port());
    client.send("POST /a HTTP/1.1\r\nHost: t\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_TEST(client.receive().body() == "/a hi");
    const auto kept = node.wait_for<call_finished>().kept_answer;
    BOOST_TEST(kept.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(kept.ends_with("\r\n\r\n/a hi"));
    BOOST_TEST(node.wait_for<call_arrived>().head.body_digest != 0U);
}

BOOST_AUTO_TEST_CASE(a_stop_lets_the_call_in_progress_end)
{
    gate later;
    raw_backend backend([&](tcp::socket& socket, const request& /*received*/) {
        write_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        later.wait();
        write_text(socket, "half");
        return true;
    });
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    client.send("GET /a HTTP/1.1\r\nHost: test\r\n\r\n");
    node.wait_for<attempt_answered>();
    asio::post(node.io(), [&] {
        node.server().stop_accepting();
        later.open();
    });
    BOOST_TEST(client.receive().body() == "halfhalf");
    BOOST_TEST(client.is_closed());
}

BOOST_AUTO_TEST_CASE(damaged_requests_hold_up_nobody)
{
    raw_backend backend(echo());
    served node(try_in_turn({backend.port()}));
    blocking_client good(node.port());
    const bool held = rc::check("damaged requests", [&] {
        auto bytes = post_head + "Content-Length: 3\r\nIdempotency-Key: k\r\n\r\nabc";
        const auto damages = *rc::gen::inRange(1, 8);
        for (int i = 0; i < damages; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
        blocking_client bad(node.port());
        bad.send(bytes);
        RC_ASSERT(good.get("/a").result_int() == 200U);
    });
    BOOST_TEST(held);
}

// The client does not read, so that what the node takes from the backend server stays with it.
BOOST_DATA_TEST_CASE(answers_without_end_are_not_collected,
                     data::make(endless_answers("HTTP/1.1 200 OK\r\n")), item)
{
    constexpr std::size_t node_bytes = 1ULL * 1024 * 1024;
    constexpr auto quiet = 300ms;
    asio::io_context io{1};
    endless_server backend(io, item.start, item.piece);
    served node(try_in_turn({backend.port()}));
    blocking_client client(node.port());
    client.send("GET /a HTTP/1.1\r\nHost: test\r\n\r\n");
    std::size_t written = 0;
    auto last_write = std::chrono::steady_clock::now();
    run_long(io, [&] {
        const auto now = std::chrono::steady_clock::now();
        if (backend.written() != written) {
            written = backend.written();
            last_write = now;
        }
        const bool paused = written > 0 && now > last_write + quiet;
        return paused || backend.closed() > 0;
    });
    BOOST_TEST(backend.written() <= node_bytes + kernel_bytes);
}

} // namespace camphor::shell
