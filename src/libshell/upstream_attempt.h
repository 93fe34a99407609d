// One attempt of a call at a backend server or another node.
#pragma once

#include "libshell/cancellable_timer.h"
#include "libshell/http_channel.h"
#include "libshell/http_head.h"
#include "libshell/upstream_pool.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace camphor::shell {

class upstream_attempt;

class attempt_owner {
public:
    virtual ~attempt_owner() = default;
    /// response() is there.
    virtual void on_attempt_head(upstream_attempt& attempt) = 0;
    /// Called once at most, and only before the answer's head.
    virtual void on_attempt_failed(upstream_attempt& attempt, attempt_failure failure) = 0;
    /// More of the answer's body may be taken, or it broke off.
    virtual void on_attempt_body(upstream_attempt& attempt) = 0;
    /// Everything given to send() was handed to the system.
    virtual void on_attempt_sent(upstream_attempt& attempt) = 0;
};

struct attempt_options {
    std::int32_t number = 0;
    upstream_address address;
    std::size_t head_bytes = 0;
    std::chrono::milliseconds connect_timeout{};
    /// The answer has no body whatever its fields say.
    bool head_request = false;
};

/// Invariant: the connection goes back to the pool only after the whole request was sent and the
/// whole answer was read, with nothing behind it.
class upstream_attempt : public channel_owner,
                         public std::enable_shared_from_this<upstream_attempt> {
public:
    /// What take_body() found.
    enum class body_state : std::uint8_t { more, complete, broken };

    upstream_attempt(boost::asio::io_context& io, upstream_pool& pool, attempt_options options,
                     attempt_owner& owner);

    /// Takes or opens a connection and sends `request`.
    void start(std::string request);
    /// Sends a further part of the request's body; `last` ends it. Not while is_sending().
    void send(std::string part, bool last);
    bool is_sending() const { return sending_; }
    /// The request will be complete without a further send().
    void set_request_complete(bool complete) { request_complete_ = complete; }
    /// Drops everything and closes the connection.
    void abandon();
    /// The time is over: fails the attempt unless its head has arrived.
    void expire();

    std::int32_t number() const { return options_.number; }
    bool has_head() const { return has_head_; }
    const response_message& response() const { return parser_->get(); }
    bool needs_eof() const { return parser_->get().need_eof(); }
    bool has_no_body() const { return no_body_; }
    /// Moves body bytes that arrived into `out`, up to `limit` bytes; asks for more when needed.
    body_state take_body(std::string& out, std::size_t limit);
    /// After `complete`: hands the connection to the pool, or closes it.
    void release();

    void on_read(http_channel& channel, boost::system::error_code error) override;
    void on_flushed(http_channel& channel, boost::system::error_code error) override;

private:
    void connect(std::string request);
    void on_connected(boost::system::error_code error);
    void attach(std::shared_ptr<http_channel> channel);
    void flush();
    void reset_parser();
    void parse_head();
    void fail(attempt_failure failure);
    attempt_failure failure_now() const;

    boost::asio::io_context& io_;
    upstream_pool& pool_;
    attempt_options options_;
    /// Null after abandon() or fail().
    attempt_owner* owner_;
    std::shared_ptr<http_channel> channel_;
    cancellable_timer connect_timer_;
    std::optional<response_parser> parser_;
    std::uint64_t sent_before_ = 0;
    /// Bytes of the heads so far, those of interim answers included.
    std::size_t heads_bytes_ = 0;
    bool request_complete_ = true;
    bool sending_ = false;
    bool has_head_ = false;
    bool no_body_ = false;
    bool input_ended_ = false;
    /// The connection broke. The system reports that once, to a read or to a write: reads see an
    /// orderly end after a write that failed.
    bool broken_ = false;
};

} // namespace camphor::shell
