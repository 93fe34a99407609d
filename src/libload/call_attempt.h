// One attempt of a call over a pooled connection: sends the request, validates the response and
// produces the call record.
#pragma once

#include "connection_pool.h"
#include "scenario.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphor::load {

/// Milliseconds since the Unix epoch, advancing with the monotonic clock.
class epoch_clock {
public:
    epoch_clock();
    double now_ms() const;
    double to_ms(std::chrono::steady_clock::time_point time) const;

private:
    std::chrono::steady_clock::time_point steady_origin_;
    double epoch_origin_ms_;
};

/// Performs one attempt and passes its completed record to the handler exactly once. Pending
/// asynchronous operations keep the object alive until then.
class call_attempt : public std::enable_shared_from_this<call_attempt> {
public:
    using completion_handler = std::function<void(const call_record&)>;

    /// `record` must have its call id, request id, attempt, key, kind and intended time set.
    /// `attempt_ids` are the request ids of this attempt and of the earlier attempts of the call.
    /// The response may carry any of them: a replayed response carries the request id of the
    /// attempt that was executed.
    call_attempt(boost::asio::io_context& io, connection_pool& pool, const epoch_clock& clock,
                 const call_kind& kind, call_record record, std::vector<std::string> attempt_ids,
                 completion_handler on_complete);

    /// Starts the attempt, which completes within the timeout of its call kind.
    void start();

private:
    void on_connection(connection_ptr conn);
    void send();
    void receive();
    void on_response();
    void validate_body();
    void on_timeout();
    void fail(const std::string& stage, const boost::system::error_code& error);
    void finish(call_result result, bool reusable);

    connection_pool& pool_;
    const epoch_clock& clock_;
    const call_kind& kind_;
    call_record record_;
    std::vector<std::string> attempt_ids_;
    completion_handler on_complete_;
    boost::asio::steady_timer timer_;
    connection_ptr connection_;
    bool finished_ = false;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

/// Result for a complete response with this HTTP status. `not_run` tells whether the response has
/// the header Camphor-Not-Run: true.
call_result classify_status(std::int32_t status, bool not_run);

} // namespace camphor::load
