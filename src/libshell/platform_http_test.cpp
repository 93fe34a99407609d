// The product's table on the platform's store: what a lost answer, a refusal and an outage end as,
// and conditions on values carried out as conditions on versions.
#define BOOST_TEST_MODULE platform_http
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/platform_http.h"
#include "libshell/test_io.h"
#include "standins/http_server.h"
#include "standins/platform_service.h"

#include <memory>
#include <optional>

namespace data = boost::unit_test::data;

namespace camphor::shell {

namespace {

using test::tcp;

/// Answers every request on one connection with fixed bytes, or closes it when they are empty.
class scripted_server {
public:
    scripted_server(boost::asio::io_context& io, std::string answer)
        : answer_(std::move(answer)),
          acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}), socket_(io)
    {
        acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
            if (!error) {
                read();
            }
        });
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(chunk_), [this](boost::system::error_code error, std::size_t) {
                if (error || answer_.empty()) {
                    socket_.close();
                    return;
                }
                boost::asio::write(socket_, boost::asio::buffer(answer_), error);
                read();
            });
    }

    std::string answer_;
    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::array<char, 8'192> chunk_{};
};

struct reply_case {
    std::string name;
    std::string answer;
    platform_request request;
    platform_status expected;
};

std::ostream& operator<<(std::ostream& out, const reply_case& item)
{
    return out << item.name;
}

std::string http_answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const table_transact write_request{{}, {{"k", "v"}}};
const table_transact guarded_request{{{"k", std::nullopt}}, {{"k", "v"}}};
/// A row "k" whose value is "v", as the store tells it.
const std::string row_answer = R"({"ver":7,"rows":[{"key":"k","value":"dg==","ver":3}]})";

const std::vector<reply_case> reply_cases{
    {"accepted", http_answer("200 OK", R"({"ver":4})"), write_request, platform_status::ok},
    {"conflict", http_answer("412 Precondition Failed", row_answer), guarded_request,
     platform_status::conflict},
    {"write refused", http_answer("503 Service Unavailable", ""), write_request,
     platform_status::unavailable},
    {"write beyond the rate", http_answer("429 Too Many Requests", ""), write_request,
     platform_status::unavailable},
    {"write unanswered", "", write_request, platform_status::outcome_unknown},
    {"write answered with nonsense", http_answer("412 Precondition Failed", "nonsense"),
     guarded_request, platform_status::outcome_unknown},
    {"read unanswered", "", table_read{"k"}, platform_status::unavailable},
    {"read", http_answer("200 OK", row_answer), table_read{"k"}, platform_status::ok},
    {"read answered with nonsense", http_answer("200 OK", R"({"ver":7,"rows":[{"key":4}]})"),
     table_read{"k"}, platform_status::unavailable},
    {"no such object", http_answer("404 Not Found", ""), object_get{"o"},
     platform_status::not_found},
};

/// None when no reply comes.
std::optional<platform_reply> call(boost::asio::io_context& io, platform_http& platform,
                                   const platform_request& request)
{
    std::optional<platform_reply> reply;
    platform.call(request, [&](platform_reply got) { reply = std::move(got); });
    test::run_until(io, [&] { return reply.has_value(); });
    return reply;
}

std::optional<platform_reply> call(boost::asio::io_context& io, std::uint16_t port,
                                   const platform_request& request)
{
    platform_settings settings;
    settings.host = "127.0.0.1";
    settings.port = port;
    platform_http platform(io, settings);
    return call(io, platform, request);
}

} // namespace

BOOST_DATA_TEST_CASE(each_answer_has_its_status, data::make(reply_cases), item)
{
    boost::asio::io_context io(1);
    const scripted_server server(io, item.answer);
    const auto reply = call(io, server.port(), item.request);
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->status == item.expected));
}

BOOST_AUTO_TEST_CASE(a_write_that_was_never_sent_is_unavailable)
{
    boost::asio::io_context io(1);
    const auto reply = call(io, test::free_port(), write_request);
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->status == platform_status::unavailable));
}

namespace {

/// The stand-in's store on a port of its own, and the product's table on it.
struct stored_table {
    platform_reply call(const platform_request& request)
    {
        return shell::call(io, *table, request).value();
    }

    /// A second node's view, which remembers nothing of what the first one saw.
    void forget() { table = std::make_unique<platform_http>(io, settings); }

    boost::asio::io_context io{1};
    std::uint16_t port = test::free_port();
    standin::platform_service service{io, 1};
    standin::http_server server{io, "127.0.0.1", port,
                                [this](const auto& request, const auto& reply) {
                                    service.handle(request, reply);
                                }};
    platform_settings settings{"127.0.0.1", port, std::chrono::milliseconds(1'000)};
    std::unique_ptr<platform_http> table = std::make_unique<platform_http>(io, settings);
};

table_transact change(const std::string& key, std::optional<std::string> expected,
                      std::optional<std::string> value)
{
    return {{{key, std::move(expected)}}, {{key, std::move(value)}}};
}

struct condition_case {
    std::string name;
    table_transact request;
    platform_status expected;
    std::vector<std::string> failed;
};

std::ostream& operator<<(std::ostream& out, const condition_case& item)
{
    return out << item.name;
}

/// Against a table that holds "a" with "1" and "b" with "2".
const std::vector<condition_case> condition_cases{
    {"the value is as expected", change("a", "1", "3"), platform_status::ok, {}},
    {"the value is another", change("a", "2", "3"), platform_status::conflict, {"a"}},
    {"the row is missing", change("c", "1", "3"), platform_status::conflict, {"c"}},
    {"the row is there already", change("a", std::nullopt, "3"), platform_status::conflict, {"a"}},
    {"the row is new", change("c", std::nullopt, "3"), platform_status::ok, {}},
    {"the row is deleted", change("a", "1", std::nullopt), platform_status::ok, {}},
    {"one of two holds",
     {{{"a", "1"}, {"b", "9"}}, {{"a", "3"}, {"b", "4"}}},
     platform_status::conflict,
     {"b"}},
};

} // namespace

BOOST_DATA_TEST_CASE(conditions_on_values_hold_or_not,
                     data::make(condition_cases) * data::make({false, true}), item, forgets)
{
    stored_table store;
    store.call(table_transact{{}, {{"a", "1"}, {"b", "2"}}});
    if (forgets) {
        store.forget();
    }
    const auto reply = store.call(item.request);
    BOOST_TEST((reply.status == item.expected));
    BOOST_TEST(reply.failed_keys == item.failed, boost::test_tools::per_element());
    const auto held = store.call(table_read{item.request.writes.front().key});
    const bool written = reply.status == platform_status::ok &&
                         item.request.writes.front().value == held.rows.front().value;
    const bool removed = !item.request.writes.front().value && held.rows.empty();
    BOOST_TEST((written || removed) == (item.expected == platform_status::ok));
}

BOOST_AUTO_TEST_CASE(a_row_written_anew_with_the_same_value_still_holds)
{
    stored_table one;
    one.call(table_transact{{}, {{"a", "1"}}});
    platform_http other(one.io, one.settings);
    call(one.io, other, table_transact{{}, {{"a", "1"}}});
    BOOST_TEST((one.call(change("a", "1", "2")).status == platform_status::ok));
}

BOOST_AUTO_TEST_CASE(a_change_by_another_node_is_a_conflict_once_and_known_then)
{
    stored_table one;
    one.call(table_transact{{}, {{"a", "1"}}});
    platform_http other(one.io, one.settings);
    call(one.io, other, table_transact{{}, {{"a", "2"}}});
    BOOST_TEST((one.call(change("a", "1", "3")).status == platform_status::conflict));
    BOOST_TEST((one.call(change("a", "2", "3")).status == platform_status::ok));
}

BOOST_AUTO_TEST_CASE(a_scan_goes_beyond_what_the_store_gives_at_once)
{
    stored_table store;
    constexpr int rows = 620;
    constexpr int rows_at_once = 90;
    for (int first = 0; first < rows; first += rows_at_once) {
        table_transact request;
        for (int i = first; i < std::min(rows, first + rows_at_once); ++i) {
            const auto digits = std::to_string(10'000 + i);
            request.writes.push_back({"x/" + digits, digits});
        }
        store.call(request);
    }
    store.call(table_transact{{}, {{"w", "before"}, {"y/1", "behind"}}});
    const auto all = store.call(table_scan{"x/", "", 1'000});
    BOOST_TEST(all.rows.size() == static_cast<std::size_t>(rows));
    const auto some = store.call(table_scan{"x/", "x/10001", 3});
    BOOST_REQUIRE_EQUAL(some.rows.size(), 3U);
    BOOST_TEST(some.rows.front().key == "x/10002");
}

BOOST_AUTO_TEST_CASE(an_object_is_kept_as_it_was_written)
{
    stored_table store;
    const std::string bytes("snapshot\0\xff bytes", 16);
    BOOST_TEST((store.call(object_put{"snapshot/1", bytes}).status == platform_status::ok));
    BOOST_TEST(store.call(object_get{"snapshot/1"}).body == bytes);
    BOOST_TEST((store.call(object_get{"snapshot/2"}).status == platform_status::not_found));
}

} // namespace camphor::shell
