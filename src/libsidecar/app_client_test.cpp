// Malformed, unbounded, repeated and truncated answers of the backend server.
#define BOOST_TEST_MODULE app_client
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libshell/test_streams.h"
#include "libsidecar/app_client.h"
#include "libsidecar/monotonic_clock.h"
#include "platform/header_names.h"

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

/// Longest answer that app_client accepts.
constexpr std::size_t max_answer_bytes = 4ULL * 1024 * 1024;
/// What the server does with the connection after its answer.
/// `half_closed`: it sends nothing more and reads nothing more.
enum class connection_end : std::uint8_t { kept, closed, half_closed, reset };

/// Answers the n-th request on the m-th connection with the n-th script of that connection.
class scripted_server {
public:
    struct script {
        /// Each part is sent in a write of its own.
        std::vector<std::string> parts;
        connection_end end = connection_end::kept;
    };

    /// Scripts by connection and request; the last one serves all later connections or requests.
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
        connection(tcp::socket accepted, const std::vector<script>& connection_scripts)
            : socket(std::move(accepted)), scripts(connection_scripts)
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
            const auto& connection_scripts =
                scripts_.at(std::min(connections_++, scripts_.size() - 1));
            read(std::make_shared<connection>(std::move(socket), connection_scripts));
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
            // The requests in these tests have no body.
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
        if (to->current->end == connection_end::kept) {
            read(to);
            return;
        }
        if (to->current->end == connection_end::half_closed) {
            to->socket.shutdown(tcp::socket::shutdown_send);
            half_closed_.push_back(to);
            return;
        }
        if (to->current->end == connection_end::reset) {
            to->socket.set_option(asio::socket_base::linger(true, 0));
        }
        to->socket.close();
    }

    std::vector<std::vector<script>> scripts_;
    std::vector<std::shared_ptr<connection>> half_closed_;
    tcp::acceptor acceptor_;
    std::size_t connections_ = 0;
};

mesh::send_to_backend make_request(std::uint64_t run, const std::string& id = "r1",
                                   std::chrono::milliseconds time_left = std::chrono::seconds(2))
{
    auto content = std::make_shared<mesh::request>();
    content->method = "GET";
    content->target = "/";
    content->head = "Host: h\r\nRequest-Id: " + id + "\r\n";
    content->id = id;
    mesh::send_to_backend out;
    out.run = mesh::run_id{run};
    out.content = std::move(content);
    out.expected = backend_id{"b"};
    out.deadline = monotonic_now() + time_left;
    return out;
}

const std::string good_head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
const std::string chunked_head = good_head + "Transfer-Encoding: chunked\r\n\r\n";

const auto unbounded_answer_cases = [] {
    auto out = shell::test::endless_answers(good_head);
    out.push_back({"answers to another request without end", "",
                   "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"});
    return out;
}();

} // namespace

BOOST_DATA_TEST_CASE(unbounded_answers_are_aborted,
                     boost::unit_test::data::make(unbounded_answer_cases), sample)
{
    asio::io_context io{1};
    endless_server server(io, sample.start, sample.piece);
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event event) { events.push_back(std::move(event)); });
    client.send(make_request(1));
    BOOST_TEST(run_long(io, [&] { return server.closed() == 1; }));
    BOOST_REQUIRE(events.size() == 1U);
    const auto* failed = std::get_if<mesh::backend_request_failed>(&events.front());
    BOOST_REQUIRE(failed != nullptr);
    BOOST_TEST((failed->kind == mesh::backend_request_failure::garbled));
    BOOST_TEST(server.written() <= max_answer_bytes + kernel_bytes);
}

BOOST_AUTO_TEST_CASE(unbounded_answers_share_one_buffer_limit)
{
    // The largest backend servers have 12 slots.
    constexpr std::uint64_t concurrent_requests = 12;
    constexpr std::size_t max_total_bytes = 16ULL * 1024 * 1024;
    asio::io_context io{1};
    endless_server server(io, chunked_head, "3e8\r\n" + std::string(1'000, 'a') + "\r\n");
    std::size_t event_count = 0;
    app_client client(io, {"127.0.0.1", server.port()}, [&](const mesh::event&) { ++event_count; });
    for (std::uint64_t run = 1; run <= concurrent_requests; ++run) {
        client.send(make_request(run));
    }
    std::size_t peak_bytes = 0;
    run_long(io, [&] {
        peak_bytes = std::max(peak_bytes, client.buffered_bytes());
        return event_count == concurrent_requests;
    });
    BOOST_TEST(event_count == concurrent_requests);
    BOOST_TEST(peak_bytes <= max_total_bytes);
    BOOST_TEST(client.buffered_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(long_answers_are_delivered_complete)
{
    const std::string body(1'000'000, 'b');
    asio::io_context io{1};
    endless_server server(
        io, good_head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "");
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event event) { events.push_back(std::move(event)); });
    client.send(make_request(1));
    run_long(io, [&] { return !events.empty(); });
    BOOST_REQUIRE(events.size() == 1U);
    const auto* answered = std::get_if<mesh::backend_answered>(&events.front());
    BOOST_REQUIRE(answered != nullptr);
    BOOST_TEST((answered->content->body == body));
}

/// The backend server refuses a request and sends a second refusal while the next request runs.
struct repeated_refusal_case {
    const char* name;
    /// Status and header fields of the second refusal.
    std::string status_and_fields;
    /// Id of the second request; the first request has the id "r1".
    std::string second_id;
};

std::ostream& operator<<(std::ostream& out, const repeated_refusal_case& sample)
{
    return out << sample.name;
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

BOOST_DATA_TEST_CASE(repeated_refusal_is_not_matched_to_the_next_request,
                     boost::unit_test::data::make(repeated_refusal_cases), sample)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                                "Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
    const std::string repeated =
        "HTTP/1.1 " + sample.status_and_fields + "\r\nContent-Length: 0\r\n\r\n";
    const std::string served = "HTTP/1.1 200 OK\r\nRequest-Id: " + sample.second_id +
                               "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    asio::io_context io{1};
    // No refusal is sent on the second connection.
    scripted_server server(io, {{{{refusal}}, {{repeated, served}}}, {{{served}}}});
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event event) { events.push_back(std::move(event)); });
    client.send(make_request(1));
    BOOST_REQUIRE(run_long(io, [&] { return events.size() == 1; }));
    const auto* refused = std::get_if<mesh::backend_answered>(&events.front());
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST(refused->not_executed);
    client.send(make_request(2, sample.second_id));
    BOOST_REQUIRE(run_long(io, [&] { return events.size() == 2; }));
    // The second request runs, so it must never be reported as not executed.
    if (const auto* answered = std::get_if<mesh::backend_answered>(&events.back())) {
        BOOST_TEST(!answered->not_executed);
        BOOST_TEST(!answered->other_instance);
        BOOST_TEST(answered->content->status == 200);
    } else {
        const auto* failed = std::get_if<mesh::backend_request_failed>(&events.back());
        BOOST_REQUIRE(failed != nullptr);
        BOOST_TEST((failed->kind == mesh::backend_request_failure::garbled));
    }
}

BOOST_AUTO_TEST_CASE(refusal_without_id_is_accepted_for_the_first_request)
{
    asio::io_context io{1};
    scripted_server server(
        io,
        {{{{"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}}}});
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event event) { events.push_back(std::move(event)); });
    client.send(make_request(1));
    BOOST_REQUIRE(run_long(io, [&] { return events.size() == 1; }));
    const auto* refused = std::get_if<mesh::backend_answered>(&events.front());
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST(refused->not_executed);
}

/// An answer that the test truncates at every byte position.
struct truncated_answer_case {
    const char* name;
    std::string bytes;
    /// The answer has no length and ends when the connection closes: it is complete as soon as its
    /// head is, unless the connection is reset.
    bool ends_with_connection = false;
};

std::ostream& operator<<(std::ostream& out, const truncated_answer_case& sample)
{
    return out << sample.name;
}

const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::vector<truncated_answer_case> truncated_answer_cases{
    {"with a length", good_head + "Content-Length: 12\r\n\r\nhello world!"},
    {"with its length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: r1\r\n"
                              "Response-Signature: s\r\n\r\nhello world!"},
    {"in chunks", chunked_head + "5\r\nhello\r\n7;a=b\r\n world!\r\n0\r\nT: 1\r\n\r\n"},
    {"behind an interim answer", interim + good_head + "Content-Length: 2\r\n\r\nok"},
    {"without a body", good_head + "Content-Length: 0\r\n\r\n"},
    {"without a length", good_head + "\r\nhello world!", true},
};

/// Splits the bytes into one part (mode 1), two halves (mode 2) or single bytes (mode 3).
std::vector<std::string> split_into_parts(const std::string& bytes, std::size_t part_mode)
{
    if (part_mode == 1) {
        return {bytes};
    }
    if (part_mode == 2) {
        return {bytes.substr(0, bytes.size() / 2), bytes.substr(bytes.size() / 2)};
    }
    std::vector<std::string> out;
    for (const auto byte : bytes) {
        out.emplace_back(1, byte);
    }
    return out;
}

BOOST_DATA_TEST_CASE(truncated_answers_are_rejected,
                     boost::unit_test::data::make(truncated_answer_cases) *
                         boost::unit_test::data::make({1U, 2U, 3U}) *
                         boost::unit_test::data::make({0, 1}),
                     sample, part_mode, is_reset)
{
    const auto head_bytes = sample.bytes.rfind("\r\n\r\n") + 4;
    for (std::size_t prefix_bytes = 0; prefix_bytes < sample.bytes.size(); ++prefix_bytes) {
        asio::io_context io{1};
        scripted_server server(
            io, {{{split_into_parts(sample.bytes.substr(0, prefix_bytes), part_mode),
                   is_reset != 0 ? connection_end::reset : connection_end::closed}}});
        std::vector<mesh::event> events;
        app_client client(io, {"127.0.0.1", server.port()}, [&](mesh::event event) {
            if (!std::holds_alternative<mesh::backend_not_listening>(event)) {
                events.push_back(std::move(event));
            }
        });
        client.send(make_request(1));
        BOOST_TEST_CONTEXT("cut at byte " << prefix_bytes)
        {
            BOOST_REQUIRE(run_long(io, [&] { return events.size() == 1; }));
            const bool may_be_complete =
                sample.ends_with_connection && is_reset == 0 && prefix_bytes >= head_bytes;
            BOOST_TEST((std::holds_alternative<mesh::backend_request_failed>(events.front()) ||
                        may_be_complete));
        }
    }
}

namespace {

struct early_answer_case {
    const char* name;
    connection_end end;
    bool is_complete;
};

std::ostream& operator<<(std::ostream& out, const early_answer_case& sample)
{
    return out << sample.name;
}

const std::vector<early_answer_case> early_answer_cases{
    {"reset", connection_end::reset, false},
    {"ended in order", connection_end::half_closed, true},
};

} // namespace

// Guards against the part of an answer that a client gets as the whole: the write of the upload
// takes the error of the reset, so that the read sees an end in order.
BOOST_DATA_TEST_CASE(an_answer_without_a_length_that_is_reset_during_the_upload_is_rejected,
                     boost::unit_test::data::make(early_answer_cases) *
                         boost::unit_test::data::make({1U, 2U}),
                     sample, part_mode)
{
    // More than the kernel buffers, so that the upload is under way until the end.
    constexpr std::size_t upload_bytes = 32ULL * 1024 * 1024;
    asio::io_context io{1};
    scripted_server server(io,
                           {{{split_into_parts(good_head + "\r\nhello", part_mode), sample.end}}});
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()}, [&](mesh::event event) {
        if (!std::holds_alternative<mesh::backend_not_listening>(event)) {
            events.push_back(std::move(event));
        }
    });
    auto request = make_request(1);
    auto content = std::make_shared<mesh::request>(*request.content);
    content->method = "POST";
    content->body.assign(upload_bytes, 'u');
    request.content = std::move(content);
    client.send(request);
    BOOST_REQUIRE(run_long(io, [&] { return events.size() == 1; }));
    BOOST_TEST(std::holds_alternative<mesh::backend_answered>(events.front()) ==
               sample.is_complete);
}

namespace {

struct late_connection_case {
    const char* name;
    /// Time until the deadline when the request is handed over.
    std::chrono::milliseconds time_left;
    bool is_sent;
};

std::ostream& operator<<(std::ostream& out, const late_connection_case& sample)
{
    return out << sample.name;
}

const std::vector<late_connection_case> late_connection_cases{
    {"before its deadline a request is sent", std::chrono::seconds(5), true},
    {"after its deadline a request is not sent", std::chrono::milliseconds(1'200), false},
};

} // namespace

// Guards against unsafe requests that run twice: one that was written is not reported as not sent
// because the time limit of its connection expired during a pause of the process.
BOOST_DATA_TEST_CASE(a_late_connection_is_used_or_given_up_but_not_both,
                     boost::unit_test::data::make(late_connection_cases), sample)
{
    asio::io_context io{1};
    shell::test::full_listener server;
    std::vector<mesh::backend_request_failed> failures;
    app_client client(io, {"127.0.0.1", server.port()}, [&](const mesh::event& event) {
        if (const auto* failed = std::get_if<mesh::backend_request_failed>(&event)) {
            failures.push_back(*failed);
        }
    });
    auto request = make_request(1, "r1", sample.time_left);
    request.unsafe = true;
    client.send(request);
    auto accepted = server.accept_during_pause(io);
    const auto received = shell::test::read_available(io, accepted);
    BOOST_TEST(received.empty() == !sample.is_sent);
    BOOST_TEST(failures.size() == (sample.is_sent ? 0U : 1U));
    for (const auto& failed : failures) {
        BOOST_TEST((failed.kind == mesh::backend_request_failure::unsent ||
                    failed.kind == mesh::backend_request_failure::expired));
    }
    // The backend server is told what is left now, not what was left before the pause.
    const auto time_left_before = std::string(platform::header::time_left) + ": 5";
    BOOST_TEST(received.find(time_left_before) == std::string::npos);
}

namespace {

bool reaches_connections(asio::io_context& io, const scripted_server& server, std::size_t expected)
{
    return run_long(io, [&] { return server.connections() == expected; });
}

} // namespace

BOOST_DATA_TEST_CASE(backend_exit_is_detected_without_another_request,
                     boost::unit_test::data::make({true, false}), stops_listening)
{
    asio::io_context io{1};
    const std::string served = good_head + "Content-Length: 2\r\n\r\nok";
    scripted_server server(io, {{{{}, connection_end::closed}}, {{{served}}}});
    std::vector<mesh::event> events;
    app_client client(io, {"127.0.0.1", server.port()},
                      [&](mesh::event event) { events.push_back(std::move(event)); });
    client.send(make_request(1));
    BOOST_REQUIRE(reaches_connections(io, server, 1));
    if (stops_listening) {
        server.stop_listening();
        BOOST_REQUIRE(run_long(io, [&] { return events.size() == 2; }));
        BOOST_TEST(std::holds_alternative<mesh::backend_not_listening>(events.back()));
        return;
    }
    BOOST_REQUIRE(reaches_connections(io, server, 2));
    // The client side has connected by now: runs its handler, which is due.
    io.restart();
    io.poll();
    // The probe connection is reused for the next request.
    client.send(make_request(2));
    BOOST_REQUIRE(run_long(io, [&] { return events.size() == 2; }));
    BOOST_TEST(std::holds_alternative<mesh::backend_answered>(events.back()));
    BOOST_TEST(client.counters().connections == 2U);
}

} // namespace camphor::sidecar
