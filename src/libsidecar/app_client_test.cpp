// What a node does with bytes of the backend server beside it that are no answer.
#define BOOST_TEST_MODULE app_client
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libsidecar/app_client.h"

#include <memory>
#include <ostream>
#include <vector>

namespace camphor::sidecar {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Bytes that the two ends of a loopback connection may hold beside what the client reads.
constexpr std::size_t kernel_bytes = 16ULL * 1024 * 1024;
/// Longest answer that a node takes.
constexpr std::size_t answer_bytes = 4ULL * 1024 * 1024;
/// Written at the most, so that a client that never closes ends the test.
constexpr std::size_t most_bytes = 96ULL * 1024 * 1024;

/// Answers every request with `start` and then with `piece` without end, until the client closes.
class endless_server {
public:
    endless_server(asio::io_context& io, std::string start, std::string piece)
        : start_(std::move(start)), piece_(std::move(piece)),
          acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        constexpr std::size_t at_once = 32'768;
        const auto one = piece_;
        while (!one.empty() && piece_.size() < at_once) {
            piece_ += one;
        }
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t written() const { return written_; }
    /// Connections that the client closed.
    int closed() const { return closed_; }

private:
    struct connection {
        explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        std::array<char, 4'096> request{};
    };

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto made = std::make_shared<connection>(std::move(socket));
            made->socket.async_read_some(asio::buffer(made->request),
                                         [this, made](error_code, std::size_t) {
                                             send(made, start_.empty() ? piece_ : start_);
                                         });
            accept();
        });
    }

    void send(const std::shared_ptr<connection>& to, const std::string& bytes)
    {
        asio::async_write(to->socket, asio::buffer(bytes),
                          [this, to](error_code error, std::size_t size) {
                              written_ += size;
                              if (error) {
                                  ++closed_;
                              } else if (written_ < most_bytes && !piece_.empty()) {
                                  send(to, piece_);
                              }
                          });
    }

    std::string start_;
    std::string piece_;
    tcp::acceptor acceptor_;
    std::size_t written_ = 0;
    int closed_ = 0;
};

mesh::send_to_app request(std::uint64_t run)
{
    auto content = std::make_shared<mesh::request>();
    content->method = "GET";
    content->target = "/";
    content->head = "Host: h\r\nRequest-Id: r1\r\n";
    content->id = "r1";
    mesh::send_to_app out;
    out.run = mesh::run_id{run};
    out.content = std::move(content);
    out.expected = backend_id{"b"};
    out.time_left = std::chrono::seconds(2);
    return out;
}

/// Long streams take more turns than other tests of the shell.
bool run_until(asio::io_context& io, const std::function<bool()>& done)
{
    constexpr int rounds = 400;
    for (int i = 0; i < rounds && !done(); ++i) {
        shell::test::run_until(io, done);
    }
    return done();
}

struct endless_case {
    const char* name;
    std::string start;
    std::string piece;
};

std::ostream& operator<<(std::ostream& out, const endless_case& item)
{
    return out << item.name;
}

const std::string good_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
const std::string chunked_head = good_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string text(1'000, 'a');

const std::vector<endless_case> endless_cases{
    {"bytes that are no head", "", std::string(1'000, '\x7f')},
    {"a field without end", "HTTP/1.1 200 OK\r\nA: ", text},
    {"fields without end", "HTTP/1.1 200 OK\r\n", "A: " + text + "\r\n"},
    {"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to another request without end", "",
     "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"},
    {"chunks without end", chunked_head, "3e8\r\n" + text + "\r\n"},
    {"a chunk's extension without end", chunked_head + "1;", text},
    {"trailers without end", chunked_head + "0\r\n", "A: " + text + "\r\n"},
    {"a body that ends with the connection", good_head + "\r\n", text},
    {"a body of a terabyte", good_head + "Content-Length: 1000000000000\r\n\r\n", text},
};

} // namespace

BOOST_DATA_TEST_CASE(bytes_without_end_are_cut_off, boost::unit_test::data::make(endless_cases),
                     item)
{
    asio::io_context io{1};
    endless_server server(io, item.start, item.piece);
    std::vector<mesh::event> heard;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event happened) { heard.push_back(std::move(happened)); });
    client.send(request(1));
    BOOST_TEST(run_until(io, [&] { return server.closed() == 1; }));
    BOOST_REQUIRE(heard.size() == 1U);
    const auto* failed = std::get_if<mesh::app_failed>(&heard.front());
    BOOST_REQUIRE(failed != nullptr);
    BOOST_TEST((failed->kind == mesh::app_failure::garbled));
    BOOST_TEST(server.written() <= answer_bytes + kernel_bytes);
}

BOOST_AUTO_TEST_CASE(answers_without_end_do_not_add_up)
{
    // As many at once as the largest backend servers have slots.
    constexpr std::uint64_t at_once = 12;
    constexpr std::size_t most_together = 16ULL * 1024 * 1024;
    asio::io_context io{1};
    endless_server server(io, chunked_head, "3e8\r\n" + text + "\r\n");
    std::size_t heard = 0;
    app_client client(io, {"127.0.0.1", server.port()}, [&](const mesh::event&) { ++heard; });
    for (std::uint64_t run = 1; run <= at_once; ++run) {
        client.send(request(run));
    }
    std::size_t most = 0;
    run_until(io, [&] {
        most = std::max(most, client.bytes_held());
        return heard == at_once;
    });
    BOOST_TEST(heard == at_once);
    BOOST_TEST(most <= most_together);
    BOOST_TEST(client.bytes_held() == 0U);
}

BOOST_AUTO_TEST_CASE(a_long_answer_is_whole)
{
    const std::string body(1'000'000, 'b');
    asio::io_context io{1};
    endless_server server(
        io, good_head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "");
    std::vector<mesh::event> heard;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event happened) { heard.push_back(std::move(happened)); });
    client.send(request(1));
    run_until(io, [&] { return !heard.empty(); });
    BOOST_REQUIRE(heard.size() == 1U);
    const auto* answered = std::get_if<mesh::app_answered>(&heard.front());
    BOOST_REQUIRE(answered != nullptr);
    BOOST_TEST((answered->content->body == body));
}

} // namespace camphor::sidecar
