// Callers' side of the node: an HTTP/1.1 proxy that does what the reducer decides.
#pragma once

#include "libshell/event_sink.h"

#include <camphortally/effect_call.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace camphor::shell {

/// Listens on `host`:`call_port` and nowhere else.
struct call_server_settings {
    /// An IP number.
    std::string host;
    /// 0 takes a free port; see call_server::port().
    std::uint16_t call_port = 0;
    /// Names this node in Via and in request ids.
    std::string node;
    /// Longest request or response head.
    std::size_t head_bytes = 16'384;
    /// A request body up to this size is held, so that it can be sent again.
    std::size_t held_body_bytes = 65'536;
    /// Longest request body.
    std::uint64_t body_bytes = 64ULL << 20U;
    /// Longest answer that is handed to the reducer for replay.
    std::size_t kept_answer_bytes = 4'096;
    /// Connections of callers and nodes; one more is closed at once.
    std::size_t connections = 10'000;
    /// From the first byte of a request to the end of its held body.
    std::chrono::milliseconds head_timeout{10'000};
    /// Without a request on a kept connection.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Without progress of a body.
    std::chrono::milliseconds stall_timeout{60'000};
    /// To open a connection to a backend server or a node.
    std::chrono::milliseconds connect_timeout{1'000};
};

/// Reads calls, posts their heads, and performs call effects. Runs on the I/O context's one thread.
///
/// Events: call_arrived once per call; attempt_answered or attempt_failed once per forward_call
/// that was not abandoned; call_finished after relay_answer; call_cancelled when the caller goes
/// away first. refuse_call and replay_answer end a call without a further event. After
/// call_cancelled, abandon_attempt ends it.
class call_server {
public:
    call_server(boost::asio::io_context& io, call_server_settings settings, event_sink& sink);
    call_server(const call_server&) = delete;
    call_server& operator=(const call_server&) = delete;
    call_server(call_server&&) = delete;
    call_server& operator=(call_server&&) = delete;
    ~call_server();

    /// Starts to listen.
    /// @throws boost::system::system_error when the address cannot be bound
    void start();
    void perform(const call_effect& effect);
    /// Closes the listener and idle connections; calls in progress go on, each the last of its
    /// connection.
    void stop_accepting();
    /// Calls whose end was not reached yet.
    std::size_t open_calls() const;
    /// The port that start() bound.
    std::uint16_t port() const;
    /// Closes everything, so that the I/O context can run dry.
    void shut_down();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace camphor::shell
