// Attempts whose time limit for connecting expires while the process stands still, and answers that
// are reset while their request is sent.
#define BOOST_TEST_MODULE upstream_attempt
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libshell/upstream_attempt.h"

#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <vector>

namespace camphor::shell {

namespace {

class recording_owner : public attempt_owner {
public:
    void on_attempt_head(upstream_attempt&) override {}
    void on_attempt_failed(upstream_attempt&, attempt_failure failure) override
    {
        failures.push_back(failure);
    }
    void on_attempt_body(upstream_attempt&) override {}
    void on_attempt_sent(upstream_attempt&) override {}

    std::vector<attempt_failure> failures;
};

} // namespace

// Guards against calls that run twice: one that was written is not reported as not sent because
// the time limit of its connection expired during a pause of the process.
BOOST_AUTO_TEST_CASE(a_late_connection_is_used_or_given_up_but_not_both)
{
    boost::asio::io_context io{1};
    test::full_listener server;
    upstream_pool pool(1);
    recording_owner owner;
    attempt_options options;
    options.address = {"127.0.0.1", server.port()};
    options.head_bytes = 4'096;
    options.connect_timeout = std::chrono::seconds(1);
    const auto attempt = std::make_shared<upstream_attempt>(io, pool, options, owner);
    attempt->start("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    auto accepted = server.accept_during_pause(io);
    const bool was_sent = !test::read_available(io, accepted).empty();
    const bool was_given_up = !owner.failures.empty();
    BOOST_TEST(was_sent != was_given_up);
    attempt->abandon();
}

namespace {

/// Takes the whole answer.
class taking_owner : public recording_owner {
public:
    void on_attempt_head(upstream_attempt& attempt) override { take(attempt); }
    void on_attempt_body(upstream_attempt& attempt) override { take(attempt); }

    std::optional<upstream_attempt::body_state> end;

private:
    void take(upstream_attempt& attempt)
    {
        constexpr std::size_t limit = 4'096;
        std::string part;
        const auto state = attempt.take_body(part, limit);
        if (state != upstream_attempt::body_state::more) {
            end = state;
        }
    }
};

} // namespace

// Guards against the part of an answer that a caller gets as the whole: the write of the request
// takes the error of the reset, so that the read sees an end in order.
BOOST_DATA_TEST_CASE(an_answer_without_a_length_that_is_reset_during_the_upload_is_broken,
                     boost::unit_test::data::make({true, false}), is_reset)
{
    using boost::asio::ip::tcp;
    // More than the kernel buffers, so that the upload is under way until the end.
    constexpr std::size_t upload_bytes = 32ULL * 1024 * 1024;
    boost::asio::io_context io{1};
    tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    upstream_pool pool(1);
    taking_owner owner;
    attempt_options options;
    options.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    options.head_bytes = 4'096;
    options.connect_timeout = std::chrono::seconds(1);
    const auto attempt = std::make_shared<upstream_attempt>(io, pool, options, owner);
    attempt->start("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(upload_bytes) +
                   "\r\n\r\n" + std::string(upload_bytes, 'u'));
    tcp::socket server(io);
    std::array<char, 4'096> first{};
    acceptor.async_accept(server, [&](boost::system::error_code) {
        server.async_read_some(boost::asio::buffer(first),
                               [&](boost::system::error_code, std::size_t) {
                                   const std::string answer = "HTTP/1.1 200 OK\r\n\r\nhello";
                                   boost::asio::write(server, boost::asio::buffer(answer));
                                   if (is_reset) {
                                       server.set_option(boost::asio::socket_base::linger(true, 0));
                                       server.close();
                                   } else {
                                       server.shutdown(tcp::socket::shutdown_send);
                                   }
                               });
    });
    const auto& end = owner.end;
    BOOST_REQUIRE(test::run_until(io, [&end] { return end.has_value(); }));
    BOOST_TEST((*end == (is_reset ? upstream_attempt::body_state::broken
                                  : upstream_attempt::body_state::complete)));
    attempt->abandon();
}

} // namespace camphor::shell
