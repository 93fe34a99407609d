// What a node does with bytes of a client that are no request.
#define BOOST_TEST_MODULE http_listener
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libsidecar/http_listener.h"

#include <ostream>
#include <vector>

namespace camphor::sidecar {

namespace {

namespace asio = boost::asio;

constexpr std::size_t body_limit_bytes = 1'000'000;
/// Written at the most; far more than head, body and framing may have.
constexpr std::size_t most_bytes = 24ULL * 1024 * 1024;

struct endless_case {
    const char* name;
    std::string start;
    std::string piece;
    /// Status of the answer.
    std::string status;
};

std::ostream& operator<<(std::ostream& out, const endless_case& item)
{
    return out << item.name;
}

const std::string head = "POST /p/ HTTP/1.1\r\nHost: h\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string text(1'000, 'a');

const std::vector<endless_case> endless_cases{
    {"a field without end", head + "A: ", text, "431"},
    {"fields without end", head, "A: " + text + "\r\n", "431"},
    {"chunks without end", chunked_head, "3e8\r\n" + text + "\r\n", "413"},
    {"a chunk's extension without end", chunked_head + "1;", text, "400"},
    {"trailers without end", chunked_head + "0\r\n", "A: " + text + "\r\n", "400"},
    {"a body of a terabyte", head + "Content-Length: 1000000000000\r\n\r\n", text, "413"},
};

} // namespace

BOOST_DATA_TEST_CASE(requests_without_end_are_refused, boost::unit_test::data::make(endless_cases),
                     item)
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
    std::string piece;
    while (piece.size() < limits.header_bytes) {
        piece += item.piece;
    }
    shell::test::raw_client client(io, port);
    client.write(item.start);
    const auto answered = [&] {
        return client.is_closed() || !client.received().empty();
    };
    for (std::size_t written = 0; written < most_bytes && !answered(); written += piece.size()) {
        client.write(piece);
        // Reads all that came: the client writes no more than the listener takes.
        while (io.poll() > 0) {
        }
    }
    BOOST_TEST(shell::test::run_until(io, answered));
    BOOST_TEST(client.received().substr(0, 12) == "HTTP/1.1 " + item.status);
    BOOST_TEST(requests == 0);
}

} // namespace camphor::sidecar
