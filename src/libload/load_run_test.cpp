// Tests load runs against a local HTTP server that sends valid, wrong or no responses.
#define BOOST_TEST_MODULE load_run
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "load_run.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <list>
#include <sstream>
#include <thread>

namespace data = boost::unit_test::data;

namespace camphor::load {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Returns the response for a request id; empty to close the connection without a response, "-" to
/// send nothing and keep it open.
using response_generator = std::function<std::string(const std::string& request_id)>;

std::string make_response(const std::string& status, const std::string& id, const std::string& body,
                          const std::string& extra_headers = "")
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + extra_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// HTTP server on loopback with its own thread, which runs until the server is destroyed.
class test_server {
public:
    explicit test_server(response_generator generator) : generator_(std::move(generator))
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~test_server()
    {
        io_.stop();
        thread_.join();
    }
    test_server(const test_server&) = delete;
    test_server(test_server&&) = delete;
    test_server& operator=(const test_server&) = delete;
    test_server& operator=(test_server&&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    struct client_session {
        explicit client_session(tcp::socket accepted_socket) : socket(std::move(accepted_socket)) {}
        tcp::socket socket;
        std::string buffer;
    };

    void accept()
    {
        acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
            if (!error) {
                sessions_.emplace_back(std::move(socket));
                read(sessions_.back());
                accept();
            }
        });
    }

    void read(client_session& client)
    {
        boost::asio::async_read_until(client.socket, boost::asio::dynamic_buffer(client.buffer),
                                      "\r\n\r\n",
                                      [&](const error_code& error, std::size_t head_bytes) {
                                          if (!error) {
                                              respond(client, head_bytes);
                                          }
                                      });
    }

    void respond(client_session& client, std::size_t head_bytes)
    {
        const std::string name = "X-Request-Id: ";
        const auto start = client.buffer.find(name) + name.size();
        const auto id = client.buffer.substr(start, client.buffer.find("\r\n", start) - start);
        client.buffer.erase(0, head_bytes);
        const auto response = generator_(id);
        if (response.empty()) {
            client.socket.close();
        } else if (response != "-") {
            boost::asio::write(client.socket, boost::asio::buffer(response));
            read(client);
        }
    }

    response_generator generator_;
    boost::asio::io_context io_{1};
    tcp::acceptor acceptor_{io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
    std::list<client_session> sessions_;
    std::thread thread_;
};

constexpr std::size_t response_bytes = 50;

load_options options_for(const test_server& server)
{
    call_kind kind;
    kind.name = "lookup";
    kind.path = "/x";
    kind.timeout = std::chrono::milliseconds(300);
    set_expected_bytes(kind, response_bytes);
    load_options out;
    out.targets = parse_targets("127.0.0.1:" + std::to_string(server.port()));
    out.mix.kinds.push_back(kind);
    out.calls_per_s = 100;
    out.duration = std::chrono::milliseconds(100);
    return out;
}

struct response_case {
    std::string name;
    response_generator generator;
    call_result result;
    body_status body;
};
std::ostream& operator<<(std::ostream& out, const response_case& sample)
{
    return out << sample.name;
}

const std::vector<response_case> response_cases{
    {"whole",
     [](const auto& id) { return make_response("200 OK", id, pattern_body(id, response_bytes)); },
     call_result::ok, body_status::whole},
    {"truncated body with matching Content-Length",
     [](const auto& id) {
         return make_response("200 OK", id, pattern_body(id, response_bytes - 1));
     },
     call_result::failed, body_status::truncated},
    {"body of another call",
     [](const auto& id) {
         return make_response("200 OK", id, pattern_body("other", response_bytes));
     },
     call_result::failed, body_status::crossed},
    {"request id of another call",
     [](const auto&) {
         return make_response("200 OK", "other", pattern_body("other", response_bytes));
     },
     call_result::failed, body_status::crossed},
    {"not run",
     [](const auto& id) { return make_response("503 Busy", id, "", "Camphor-Not-Run: true\r\n"); },
     call_result::refused_not_run, body_status::unchecked},
    {"busy", [](const auto& id) { return make_response("503 Busy", id, ""); }, call_result::refused,
     body_status::unchecked},
    {"conflict", [](const auto& id) { return make_response("409 Conflict", id, ""); },
     call_result::refused, body_status::unchecked},
    {"error", [](const auto& id) { return make_response("500 Bad", id, ""); }, call_result::failed,
     body_status::unchecked},
    {"closed", [](const auto&) { return std::string(); }, call_result::failed,
     body_status::unchecked},
    {"silent", [](const auto&) { return std::string("-"); }, call_result::timed_out,
     body_status::unchecked},
};

} // namespace

BOOST_DATA_TEST_CASE(classifies_responses, data::make(response_cases), sample)
{
    const test_server server(sample.generator);
    std::ostringstream history;
    const auto result = run_load(options_for(server), &history);
    BOOST_TEST(result.calls() == 10U);
    BOOST_TEST(result.all().count(sample.result) == 10U);
    std::istringstream lines(history.str());
    for (const auto& record : read_calls(lines)) {
        BOOST_TEST(to_string(record.body) == to_string(sample.body));
        BOOST_TEST(record.sent_ms >= record.intended_ms);
        BOOST_TEST(record.ended_ms >= record.sent_ms);
    }
}

BOOST_DATA_TEST_CASE(resends_keyed_call_with_same_key, data::make({false, true}),
                     replay_has_resend_id)
{
    int request_count = 0;
    std::string first_id;
    // Closes the connection of the first attempt and answers the second with the body of the first,
    // under the request id of the second or of the first.
    const test_server server([&](const std::string& id) {
        ++request_count;
        first_id = request_count == 1 ? id : first_id;
        return request_count == 1 ? std::string()
                                  : make_response("200 OK", replay_has_resend_id ? id : first_id,
                                                  pattern_body(first_id, response_bytes));
    });
    auto options = options_for(server);
    options.mix.kinds.front().keyed = true;
    options.duration = std::chrono::milliseconds(10);
    options.max_resends = 2;
    std::ostringstream history;
    run_load(options, &history);
    std::istringstream lines(history.str());
    const auto records = read_calls(lines);
    BOOST_TEST_REQUIRE(records.size() == 2U);
    BOOST_TEST(to_string(records[0].result) == "failed");
    BOOST_TEST(to_string(records[1].result) == "ok");
    BOOST_TEST(records[0].key == records[1].key);
    BOOST_TEST(records[0].request_id != records[1].request_id);
}

BOOST_AUTO_TEST_CASE(sends_without_waiting_for_responses)
{
    const test_server server([](const auto&) { return std::string("-"); });
    auto options = options_for(server);
    options.calls_per_s = 200;
    options.max_connections = 5;
    const auto result = run_load(options, nullptr);
    BOOST_TEST(result.all().count(call_result::timed_out) == 20U);
}

} // namespace camphor::load
