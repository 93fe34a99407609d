// What a node does with bytes of the backend server beside it that are no answer.
#define BOOST_TEST_MODULE app_client
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libshell/test_streams.h"
#include "libsidecar/app_client.h"

#include <memory>
#include <ostream>
#include <vector>

namespace camphor::sidecar {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using shell::test::endless_server;
using shell::test::kernel_bytes;
using shell::test::run_long;

/// Longest answer that a node takes.
constexpr std::size_t answer_bytes = 4ULL * 1024 * 1024;
/// How a connection ends behind the bytes.
enum class ending : std::uint8_t { kept, closed, reset };

/// Answers the n-th request of the m-th connection with the n-th of its scripts.
class scripted_server {
public:
    struct script {
        /// Written one after the other, apart from each other.
        std::vector<std::string> parts;
        ending end = ending::kept;
    };

    /// Scripts by connection and request; the last ones serve the rest.
    scripted_server(asio::io_context& io, std::vector<std::vector<script>> scripts)
        : scripts_(std::move(scripts)), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t connections() const { return connections_; }
    void stop_listening() { acceptor_.close(); }

private:
    struct connection {
        connection(tcp::socket accepted, const std::vector<script>& own)
            : socket(std::move(accepted)), scripts(own)
        {
        }
        tcp::socket socket;
        const std::vector<script>& scripts;
        std::size_t requests = 0;
        std::string received;
        std::array<char, 4'096> part{};
        const script* current = nullptr;
        std::size_t next_part = 0;
    };

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(tcp::no_delay(true));
            const auto& own = scripts_.at(std::min(connections_++, scripts_.size() - 1));
            read(std::make_shared<connection>(std::move(socket), own));
            accept();
        });
    }

    void read(const std::shared_ptr<connection>& from)
    {
        from->socket.async_read_some(asio::buffer(from->part), [this, from](error_code error,
                                                                            std::size_t size) {
            if (error) {
                return;
            }
            from->received.append(from->part.data(), size);
            // Requests of these tests have no body.
            if (from->received.find("\r\n\r\n") == std::string::npos) {
                read(from);
                return;
            }
            from->received.clear();
            from->current = &from->scripts.at(std::min(from->requests++, from->scripts.size() - 1));
            from->next_part = 0;
            write(from);
        });
    }

    void write(const std::shared_ptr<connection>& to)
    {
        const auto& script = *to->current;
        if (to->next_part == script.parts.size()) {
            finish(to);
            return;
        }
        const auto& bytes = script.parts[to->next_part++];
        asio::async_write(to->socket, asio::buffer(bytes),
                          [this, to](error_code error, std::size_t) {
                              if (!error) {
                                  write(to);
                              }
                          });
    }

    void finish(const std::shared_ptr<connection>& to)
    {
        if (to->current->end == ending::kept) {
            read(to);
            return;
        }
        if (to->current->end == ending::reset) {
            to->socket.set_option(asio::socket_base::linger(true, 0));
        }
        to->socket.close();
    }

    std::vector<std::vector<script>> scripts_;
    tcp::acceptor acceptor_;
    std::size_t connections_ = 0;
};

mesh::send_to_app request(std::uint64_t run, const std::string& id = "r1")
{
    auto content = std::make_shared<mesh::request>();
    content->method = "GET";
    content->target = "/";
    content->head = "Host: h\r\nRequest-Id: " + id + "\r\n";
    content->id = id;
    mesh::send_to_app out;
    out.run = mesh::run_id{run};
    out.content = std::move(content);
    out.expected = backend_id{"b"};
    out.time_left = std::chrono::seconds(2);
    return out;
}

const std::string good_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
const std::string chunked_head = good_head + "Transfer-Encoding: chunked\r\n\r\n";

const auto endless_cases = [] {
    auto out = shell::test::endless_answers(good_head);
    out.push_back({"answers to another request without end", "",
                   "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"});
    return out;
}();

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
    BOOST_TEST(run_long(io, [&] { return server.closed() == 1; }));
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
    endless_server server(io, chunked_head, "3e8\r\n" + std::string(1'000, 'a') + "\r\n");
    std::size_t heard = 0;
    app_client client(io, {"127.0.0.1", server.port()}, [&](const mesh::event&) { ++heard; });
    for (std::uint64_t run = 1; run <= at_once; ++run) {
        client.send(request(run));
    }
    std::size_t most = 0;
    run_long(io, [&] {
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
    run_long(io, [&] { return !heard.empty(); });
    BOOST_REQUIRE(heard.size() == 1U);
    const auto* answered = std::get_if<mesh::app_answered>(&heard.front());
    BOOST_REQUIRE(answered != nullptr);
    BOOST_TEST((answered->content->body == body));
}

/// A backend server that refuses a request and writes a refusal once more as the next one runs.
struct repeated_refusal_case {
    const char* name;
    /// Fields of the refusal that comes once more.
    std::string status_and_fields;
    /// Id of the second request; the first one's is "r1".
    std::string second_id;
};

std::ostream& operator<<(std::ostream& out, const repeated_refusal_case& item)
{
    return out << item.name;
}

const std::vector<repeated_refusal_case> repeated_refusal_cases{
    {"marked, without an id", "503 Service Unavailable\r\nNot-Executed: 1", "r2"},
    {"without mark and id", "503 Service Unavailable", "r2"},
    {"429 without mark and id", "429 Too Many Requests", "r2"},
    {"421 without an id", "421 Misdirected Request", "r2"},
    {"a failure without an id", "500 Internal Server Error", "r2"},
    {"with the id of the earlier request",
     "503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r1", "r2"},
    {"the same request sent again", "503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: r1",
     "r1"},
};

BOOST_DATA_TEST_CASE(a_repeated_refusal_is_not_taken_for_another_request,
                     boost::unit_test::data::make(repeated_refusal_cases), item)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                "Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
    const std::string again =
        "HTTP/1.1 " + item.status_and_fields + "\r\nContent-Length: 0\r\n\r\n";
    const std::string served = "HTTP/1.1 200 OK\r\nRequest-Id: " + item.second_id +
                               "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    asio::io_context io{1};
    // A request that comes on another connection finds no refusal there.
    scripted_server server(io, {{{{refusal}}, {{again, served}}}, {{{served}}}});
    std::vector<mesh::event> heard;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event happened) { heard.push_back(std::move(happened)); });
    client.send(request(1));
    BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 1; }));
    const auto* refused = std::get_if<mesh::app_answered>(&heard.front());
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST(refused->not_executed);
    client.send(request(2, item.second_id));
    BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 2; }));
    // It runs: whatever comes, it is not "not run".
    if (const auto* answered = std::get_if<mesh::app_answered>(&heard.back())) {
        BOOST_TEST(!answered->not_executed);
        BOOST_TEST(!answered->other_instance);
        BOOST_TEST(answered->content->status == 200);
    } else {
        const auto* failed = std::get_if<mesh::app_failed>(&heard.back());
        BOOST_REQUIRE(failed != nullptr);
        BOOST_TEST((failed->kind == mesh::app_failure::garbled));
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_without_an_id_counts_on_a_connection_without_earlier_requests)
{
    asio::io_context io{1};
    scripted_server server(
        io,
        {{{{"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}}}});
    std::vector<mesh::event> heard;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event happened) { heard.push_back(std::move(happened)); });
    client.send(request(1));
    BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 1; }));
    const auto* refused = std::get_if<mesh::app_answered>(&heard.front());
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST(refused->not_executed);
}

/// An answer that is cut short at each of its bytes.
struct cut_answer_case {
    const char* name;
    std::string bytes;
    /// It has no length and ends with its connection: whole once its head is, if the end is no
    /// reset.
    bool ends_with_connection = false;
};

std::ostream& operator<<(std::ostream& out, const cut_answer_case& item)
{
    return out << item.name;
}

const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::vector<cut_answer_case> cut_answer_cases{
    {"with a length", good_head + "Content-Length: 12\r\n\r\nhello world!"},
    {"with its length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: r1\r\n"
                              "Response-Signature: s\r\n\r\nhello world!"},
    {"in chunks", chunked_head + "5\r\nhello\r\n7;a=b\r\n world!\r\n0\r\nT: 1\r\n\r\n"},
    {"behind an interim answer", interim + good_head + "Content-Length: 2\r\n\r\nok"},
    {"without a body", good_head + "Content-Length: 0\r\n\r\n"},
    {"without a length", good_head + "\r\nhello world!", true},
};

/// The bytes at once, each for itself, or in two parts.
std::vector<std::string> divide(const std::string& bytes, std::size_t parts)
{
    if (parts == 1) {
        return {bytes};
    }
    if (parts == 2) {
        return {bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2)};
    }
    std::vector<std::string> out;
    for (const auto byte : bytes) {
        out.emplace_back(1, byte);
    }
    return out;
}

BOOST_DATA_TEST_CASE(an_answer_that_is_cut_short_is_no_answer,
                     boost::unit_test::data::make(cut_answer_cases) *
                         boost::unit_test::data::make({1U, 2U, 3U}) *
                         boost::unit_test::data::make({0, 1}),
                     item, parts, is_reset)
{
    const auto whole_head = item.bytes.rfind("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < item.bytes.size(); ++cut) {
        asio::io_context io{1};
        scripted_server server(io, {{{divide(item.bytes.substr(0, cut), parts),
                                      is_reset != 0 ? ending::reset : ending::closed}}});
        std::vector<mesh::event> heard;
        app_client client(io, {"127.0.0.1", server.port()}, [&](mesh::event happened) {
            if (!std::holds_alternative<mesh::app_gone>(happened)) {
                heard.push_back(std::move(happened));
            }
        });
        client.send(request(1));
        BOOST_TEST_CONTEXT("cut at byte " << cut)
        {
            BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 1; }));
            const bool may_be_whole =
                item.ends_with_connection && is_reset == 0 && cut >= whole_head;
            BOOST_TEST((std::holds_alternative<mesh::app_failed>(heard.front()) || may_be_whole));
        }
    }
}

namespace {

bool has_connections(asio::io_context& io, const scripted_server& server, std::size_t wanted)
{
    return run_long(io, [&] { return server.connections() == wanted; });
}

} // namespace

BOOST_DATA_TEST_CASE(the_end_of_a_backend_server_shows_without_another_request,
                     boost::unit_test::data::make({true, false}), has_ended)
{
    asio::io_context io{1};
    const std::string served = good_head + "Content-Length: 2\r\n\r\nok";
    scripted_server server(io, {{{{}, ending::closed}}, {{{served}}}});
    std::vector<mesh::event> heard;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event happened) { heard.push_back(std::move(happened)); });
    client.send(request(1));
    BOOST_REQUIRE(has_connections(io, server, 1));
    if (has_ended) {
        server.stop_listening();
        BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 2; }));
        BOOST_TEST(std::holds_alternative<mesh::app_gone>(heard.back()));
        return;
    }
    BOOST_REQUIRE(has_connections(io, server, 2));
    // The client's end of it was open first: its handler is due.
    io.restart();
    io.poll();
    // The connection that was made to find out serves the next request.
    client.send(request(2));
    BOOST_REQUIRE(run_long(io, [&] { return heard.size() == 2; }));
    BOOST_TEST(std::holds_alternative<mesh::app_answered>(heard.back()));
    BOOST_TEST(client.counters().connections == 2U);
}

} // namespace camphor::sidecar
