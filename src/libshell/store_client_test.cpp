// The client of the platform's store: order, kept connections that break, silence, another address.
#define BOOST_TEST_MODULE store_client
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/store_client.h"
#include "libshell/test_io.h"
#include "libshell/test_streams.h"
#include "standins/http_server.h"

#include <memory>
#include <vector>

namespace data = boost::unit_test::data;

namespace camphor::shell {

namespace {

using namespace std::chrono_literals;

/// Far beyond what a test waits for.
constexpr auto long_limit = 60'000ms;

/// Runs `handle` for each request, which gets the number of requests so far.
struct counting_server {
    using handler = std::function<void(int, const standin::http_exchange_ptr&)>;

    counting_server(boost::asio::io_context& io, handler handle_each)
        : handle(std::move(handle_each)),
          server(io, "127.0.0.1", port,
                 [this](const auto&, const auto& reply) { handle(++requests, reply); })
    {
    }

    mesh::listen_address address() const { return {"127.0.0.1", port}; }

    std::uint16_t port = test::free_port();
    int requests = 0;
    handler handle;
    standin::http_server server;
};

void answer(const standin::http_exchange_ptr& reply, int number)
{
    reply->answer({200, std::to_string(number), "application/json", {}, false});
}

/// Makes the calls one after the other; replies in order.
std::vector<store_reply> run(boost::asio::io_context& io, store_client& client,
                             const std::vector<platform::store_call>& calls)
{
    std::vector<store_reply> replies;
    for (const auto& call : calls) {
        client.call(call, long_limit, [&](const store_reply& reply) { replies.push_back(reply); });
    }
    BOOST_REQUIRE(test::run_until(io, [&] { return replies.size() == calls.size(); }));
    return replies;
}

const platform::store_call a_read{"GET", "/-/rows-get?table=t", ""};
const platform::store_call a_write{"POST", "/-/rows-tx", "{}"};

struct broken_case {
    std::string name;
    platform::store_call second;
    std::chrono::milliseconds closed_after;
    int expected_status;
    int expected_requests;
};

std::ostream& operator<<(std::ostream& out, const broken_case& item)
{
    return out << item.name;
}

/// The second call uses the connection of the first, which the store closes unanswered.
const std::vector<broken_case> broken_cases{
    {"a read is sent again when the connection was closed before", a_read, 0ms, 200, 3},
    {"a write may have been carried out", a_write, 0ms, 0, 2},
    {"a read that waited is lost, and the store with it", a_read, 300ms, 0, 2},
};

} // namespace

BOOST_DATA_TEST_CASE(a_kept_connection_breaks, data::make(broken_cases), item)
{
    boost::asio::io_context io(1);
    boost::asio::steady_timer timer(io);
    counting_server server(io, [&](int number, const standin::http_exchange_ptr& reply) {
        if (number != 2) {
            answer(reply, number);
            return;
        }
        timer.expires_after(item.closed_after);
        timer.async_wait([reply](auto) { reply->drop(); });
    });
    store_client client(io, server.address());
    const auto replies = run(io, client, {a_read, item.second});
    BOOST_TEST(replies.front().status == 200);
    BOOST_TEST(replies.back().status == item.expected_status);
    BOOST_TEST(replies.back().was_sent);
    BOOST_TEST(server.requests == item.expected_requests);
}

BOOST_AUTO_TEST_CASE(a_connection_that_hangs_is_given_up_before_a_long_call_is_late)
{
    boost::asio::io_context io(1);
    // With its queue of new connections full, the kernel lets further ones wait.
    test::tcp::acceptor full(io, test::tcp::v4());
    full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<std::unique_ptr<test::tcp::socket>> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.push_back(std::make_unique<test::tcp::socket>(io));
        waiting.back()->async_connect(full.local_endpoint(), [](auto) {});
    }
    io.run_for(50ms);
    store_client client(io, {"127.0.0.1", full.local_endpoint().port()});
    const auto replies = run(io, client, {a_read});
    BOOST_TEST(replies.front().status == 0);
    BOOST_TEST(!replies.front().was_sent);
}

BOOST_DATA_TEST_CASE(calls_are_answered_in_order_with_any_number_of_connections, data::make({1, 3}),
                     connections)
{
    boost::asio::io_context io(1);
    counting_server server(io, [](int number, const auto& reply) { answer(reply, number); });
    store_client client(io, server.address(), static_cast<std::size_t>(connections));
    const auto replies = run(io, client, std::vector(5, a_read));
    BOOST_TEST(server.requests == 5);
    BOOST_TEST(client.counters().calls == 5U);
    if (connections == 1) {
        BOOST_TEST(replies.back().body == "5");
    }
}

BOOST_AUTO_TEST_CASE(calls_go_to_another_address_from_then_on)
{
    boost::asio::io_context io(1);
    const auto handle = [](int number, const auto& reply) {
        answer(reply, number);
    };
    counting_server before(io, handle);
    counting_server after(io, handle);
    store_client client(io, before.address());
    run(io, client, {a_read});
    client.set_address(after.address());
    run(io, client, {a_read, a_write});
    BOOST_TEST(before.requests == 1);
    BOOST_TEST(after.requests == 2);
}

BOOST_DATA_TEST_CASE(answers_without_end_are_cut_off,
                     data::make(test::endless_answers("HTTP/1.1 200 OK\r\n")), item)
{
    /// The longest object, twice.
    constexpr std::size_t answer_bytes = 16ULL * 1024 * 1024;
    boost::asio::io_context io(1);
    test::endless_server server(io, item.start, item.piece);
    store_client client(io, {"127.0.0.1", server.port()});
    std::vector<store_reply> replies;
    client.call(a_read, long_limit, [&](const store_reply& reply) { replies.push_back(reply); });
    BOOST_TEST(test::run_long(io, [&] { return replies.size() == 1 && server.closed() > 0; }));
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST(replies.front().status == 0);
    BOOST_TEST(server.written() <= answer_bytes + test::kernel_bytes);
}

BOOST_AUTO_TEST_CASE(an_answer_that_comes_twice_is_not_taken_for_the_next_one)
{
    boost::asio::io_context io(1);
    const auto text = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
    };
    // With the answer itself, and apart from it.
    for (const auto& first : {std::vector{text("1") + text("1")}, {text("1"), text("1")}}) {
        test::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
        std::vector<std::shared_ptr<test::tcp::socket>> sockets;
        std::array<char, 4'096> request{};
        const std::function<void()> serve = [&] {
            acceptor.async_accept([&](boost::system::error_code error, test::tcp::socket accepted) {
                if (error) {
                    return;
                }
                const auto socket = std::make_shared<test::tcp::socket>(std::move(accepted));
                sockets.push_back(socket);
                socket->async_read_some(boost::asio::buffer(request), [&, socket](auto, auto) {
                    const auto answers = sockets.size() == 1 ? first : std::vector{text("2")};
                    for (const auto& each : answers) {
                        boost::system::error_code ignored;
                        boost::asio::write(*socket, boost::asio::buffer(each), ignored);
                    }
                });
                serve();
            });
        };
        serve();
        store_client client(io, {"127.0.0.1", acceptor.local_endpoint().port()});
        BOOST_TEST(run(io, client, {a_read}).front().body == "1");
        BOOST_TEST(run(io, client, {a_read}).front().body == "2");
    }
}

} // namespace camphor::shell
