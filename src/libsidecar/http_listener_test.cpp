// Malformed client input: requests whose head, body or chunk framing never ends must be refused
// without unbounded buffering.
#define BOOST_TEST_MODULE http_listener
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libsidecar/http_listener.h"

#include <map>
#include <memory>
#include <ostream>
#include <utility>
#include <vector>

namespace camphor::sidecar {

namespace {

namespace asio = boost::asio;

constexpr std::size_t body_limit_bytes = 1'000'000;
/// Upper limit of the bytes written; far above the limits of head, body and framing together.
constexpr std::size_t max_written_bytes = 24ULL * 1024 * 1024;

struct unbounded_request_case {
    const char* name;
    std::string prefix;
    std::string repeated_bytes;
    /// Expected status code.
    std::string status;
};

std::ostream& operator<<(std::ostream& out, const unbounded_request_case& sample)
{
    return out << sample.name;
}

const std::string head = "POST /p/ HTTP/1.1\r\nHost: h\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string filler(1'000, 'a');

const std::vector<unbounded_request_case> unbounded_request_cases{
    {"a field without end", head + "A: ", filler, "431"},
    {"fields without end", head, "A: " + filler + "\r\n", "431"},
    {"chunks without end", chunked_head, "3e8\r\n" + filler + "\r\n", "413"},
    {"a chunk's extension without end", chunked_head + "1;", filler, "400"},
    {"trailers without end", chunked_head + "0\r\n", "A: " + filler + "\r\n", "400"},
    {"a body of a terabyte", head + "Content-Length: 1000000000000\r\n\r\n", filler, "413"},
};

} // namespace

BOOST_DATA_TEST_CASE(unbounded_requests_are_refused,
                     boost::unit_test::data::make(unbounded_request_cases), sample)
{
    asio::io_context io{1};
    const auto port = shell::test::free_port();
    int requests = 0;
    http_handlers handlers;
    handlers.on_request = [&](const auto&, std::uint64_t, http_request&&) {
        ++requests;
    };
    http_listener listener(io, "127.0.0.1", port, handlers);
    http_limits limits;
    limits.body_bytes = body_limit_bytes;
    listener.set_limits(limits);
    std::string block;
    while (block.size() < limits.header_bytes) {
        block += sample.repeated_bytes;
    }
    shell::test::raw_client client(io, port);
    client.write(sample.prefix);
    const auto answered = [&] {
        return client.is_closed() || !client.received().empty();
    };
    for (std::size_t written = 0; written < max_written_bytes && !answered();
         written += block.size()) {
        client.write(block);
        // Lets the listener read everything written so far, so that the client cannot run ahead.
        while (io.poll() > 0) {
        }
    }
    BOOST_TEST(shell::test::run_until(io, answered));
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 " + sample.status);
    BOOST_TEST(requests == 0);
}

// Guards against a request that is dropped unanswered because the idle limit of its connection
// expired before the process, which stood still, read it.
BOOST_AUTO_TEST_CASE(a_request_that_came_before_the_idle_limit_is_noticed_is_answered)
{
    asio::io_context io{1};
    const auto port = shell::test::free_port();
    int requests = 0;
    http_handlers handlers;
    handlers.on_request = [&](const auto& from, std::uint64_t number, http_request&&) {
        ++requests;
        from->respond(number, {});
    };
    http_listener listener(io, "127.0.0.1", port, handlers);
    http_limits limits;
    limits.idle_timeout = std::chrono::milliseconds(100);
    listener.set_limits(limits);
    shell::test::raw_client client(io, port);
    io.run_for(std::chrono::milliseconds(20));
    // The head and the body arrive in two reads, with the expired limit between them.
    client.write("POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" +
                 std::string(70'000, 'a'));
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    shell::test::run_until(io, [&] { return client.is_closed() || !client.received().empty(); });
    BOOST_TEST(requests == 1);
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(requests_of_two_listeners_get_their_own_answers)
{
    asio::io_context io{1};
    std::map<std::uint64_t, std::pair<std::shared_ptr<http_connection>, std::string>> unanswered;
    http_handlers handlers;
    handlers.on_request = [&](const auto& from, std::uint64_t number, http_request&& request) {
        unanswered.emplace(number, std::make_pair(from, std::string(request.target())));
    };
    const auto numbers = std::make_shared<request_counter>();
    const auto first_port = shell::test::free_port();
    http_listener first(io, "127.0.0.1", first_port, handlers, numbers);
    const auto second_port = shell::test::free_port();
    http_listener second(io, "127.0.0.1", second_port, handlers, numbers);
    shell::test::raw_client first_client(io, first_port);
    shell::test::raw_client second_client(io, second_port);
    first_client.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    second_client.write("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_REQUIRE(shell::test::run_until(io, [&] { return unanswered.size() == 2; }));
    for (const auto& [number, request] : unanswered) {
        http_reply reply;
        reply.body = request.second;
        request.first->respond(number, std::move(reply));
    }
    const auto has = [](const shell::test::raw_client& client, const char* text) {
        return client.received().find(text) != std::string::npos;
    };
    BOOST_TEST(shell::test::run_until(
        io, [&] { return has(first_client, "/first") && has(second_client, "/second"); }));
}

} // namespace camphor::sidecar
