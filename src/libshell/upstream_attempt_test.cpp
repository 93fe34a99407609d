// Attempts whose time limit for connecting expires while the process stands still.
#define BOOST_TEST_MODULE upstream_attempt
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libshell/upstream_attempt.h"

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

} // namespace camphor::shell
