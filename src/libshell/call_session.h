// One connection of a caller and the call on it.
#pragma once

#include "libshell/call_server.h"
#include "libshell/http_channel.h"
#include "libshell/http_head.h"
#include "libshell/upstream_attempt.h"
#include "libshell/upstream_pool.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace camphor::shell {

class call_session;

/// What sessions share.
class session_host {
public:
    virtual ~session_host() = default;
    virtual const call_server_settings& settings() const = 0;
    virtual const std::string& via() const = 0;
    virtual event_sink& sink() = 0;
    virtual upstream_pool& pool() = 0;
    virtual boost::asio::io_context& io() = 0;
    /// True once connections end after their current call.
    virtual bool is_stopping() const = 0;
    virtual call_id add_call(call_session& session) = 0;
    virtual void remove_call(const call_id& call) = 0;
    virtual void add_deadline(const call_id& call, std::int32_t attempt, time_point deadline) = 0;
    virtual void remove_session(call_session& session) = 0;
};

/// Invariants: a call is registered with the host exactly while `call_` is set; bytes of an answer
/// go to the caller only from the attempt that the reducer chose to relay.
class call_session : public channel_owner,
                     public attempt_owner,
                     public std::enable_shared_from_this<call_session> {
public:
    call_session(session_host& host, boost::asio::ip::tcp::socket socket, std::string caller);

    void start();
    /// Closes an idle connection; lets a call in progress end.
    void stop();
    void close();
    /// Closes the connection when it made no progress for too long.
    void check_idle(std::chrono::steady_clock::time_point now);
    void on_deadline(std::int32_t attempt);

    void perform(const forward_call& order);
    void perform(const relay_answer& order);
    void perform(const refuse_call& order);
    void perform(const replay_answer& order);
    void perform(const abandon_attempt& order);

    void on_read(http_channel& channel, boost::system::error_code error) override;
    void on_flushed(http_channel& channel, boost::system::error_code error) override;
    void on_attempt_head(upstream_attempt& attempt) override;
    void on_attempt_failed(upstream_attempt& attempt, attempt_failure failure) override;
    void on_attempt_body(upstream_attempt& attempt) override;
    void on_attempt_sent(upstream_attempt& attempt) override;

private:
    enum class phase : std::uint8_t {
        reading_head,
        reading_body,
        /// The reducer has the call.
        in_call,
        relaying,
        /// Input is discarded until the caller closes.
        lingering,
        closed,
    };

    void next_request();
    void advance();
    void read_head();
    void read_body();
    void reject(const head_fault& fault);
    void arrive();
    call_arrived make_event(call_head head);
    void send_continue();
    void upload();
    void on_caller_gone();
    void write_message(const std::string& head, const std::string& body, bool keep_alive);
    void flush_answer();
    void pump();
    void begin_relay(bool not_run);
    void keep(const std::string& bytes);
    void finish_relay();
    void break_off();
    void end_call();
    void after_answer();
    void linger();
    bool is_head_request() const;
    std::string connection_field() const;

    session_host& host_;
    std::shared_ptr<http_channel> channel_;
    std::string caller_;
    phase phase_ = phase::reading_head;
    std::optional<request_parser> parser_;
    std::chrono::steady_clock::time_point request_started_{};
    /// The part of the request's body that is held, whole unless `streaming_`.
    std::string body_;
    bool streaming_ = false;
    /// Some of the streamed rest was passed on, so the body cannot be sent again.
    bool upload_started_ = false;
    bool keyed_ = false;
    bool keep_alive_ = false;
    bool caller_gone_ = false;
    std::optional<call_id> call_;
    std::string target_;
    std::shared_ptr<upstream_attempt> attempt_;
    bool keep_answer_ = false;
    bool kept_too_long_ = false;
    bool chunked_answer_ = false;
    bool answer_complete_ = false;
    /// Set when the output that is being flushed ends an answer.
    bool flush_ends_answer_ = false;
    std::string kept_;
};

} // namespace camphor::shell
