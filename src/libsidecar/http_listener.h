// HTTP/1.1 server for client requests, check-ins, readiness and metrics. Supports pipelining:
// answers are sent in the order of the requests.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libshell/cancellable_timer.h"
#include "libsidecar/memory_budget.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace camphor::sidecar {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

class http_connection;

/// Callbacks of a listener, called on the I/O thread.
struct http_handlers {
    /// Receives a complete request. Its answer is passed to respond() with the same request number.
    std::function<void(const std::shared_ptr<http_connection>&, std::uint64_t, http_request&&)>
        on_request;
    /// The connection was closed before the request with this number was answered.
    std::function<void(std::uint64_t)> on_client_gone = [](std::uint64_t) {
    };
    /// A handler threw an exception, which closes its connection.
    std::function<void(const std::string&)> on_failure = [](const std::string&) {
    };
    /// A client met a limit that all clients share: "memory" (refused), "stalled" or "connections"
    /// (closed for others).
    std::function<void(const std::string&)> on_limit = [](const std::string&) {
    };
    /// Whether connections are to be closed after their next answer.
    std::function<bool()> is_closing = [] {
        return false;
    };
};

/// Limits of a client connection.
struct http_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds idle_timeout{15'000};
};

/// Limits of all connections of a listener together.
struct listener_capacity {
    /// Bodies of requests that are read or at work, and answers that are not written yet. Listeners
    /// may share them.
    std::shared_ptr<memory_budget> requests =
        std::make_shared<memory_budget>(request_capacity_for(0));
    std::shared_ptr<memory_budget> answers =
        std::make_shared<memory_budget>(answer_capacity_for(0));
    /// Open connections. At the limit the one that has been idle or has stalled for longest is
    /// closed for a new one.
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

/// An answer without its status line, Content-Length and Connection fields, which
/// serialize_head() adds.
struct http_reply {
    int status = 200;
    /// Header fields as `Name: value` lines, each with its CRLF.
    std::string head;
    std::string body;
    /// The body where it is shared with others; null: `body`.
    std::shared_ptr<const std::string> shared_body;
    /// Whether to close the connection after this answer.
    bool close = false;
};

/// Numbers requests. Listeners whose requests one handler receives share it, so that an answer
/// cannot go to another request with the same number.
class request_counter {
public:
    std::uint64_t next() { return ++last_; }

private:
    std::uint64_t last_ = 0;
};

/// A client connection. Invariant: answers are sent in the order in which the requests arrived.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    http_connection(boost::asio::ip::tcp::socket socket, const http_handlers& handlers,
                    http_limits limits, request_counter& request_numbers,
                    const listener_capacity& capacity);

    void start();
    /// The bytes of the request that on_request receives. It keeps them for as long as it keeps the
    /// request's body. Null for a request without a body.
    memory_budget::share_ptr take_body_share() { return std::move(body_share_); }
    /// Since when too little was received or sent to count; none while a request is at work.
    std::optional<std::chrono::steady_clock::time_point> idle_since() const;
    bool is_closed() const { return closed_; }
    void close_now();
    /// Answers a request. Does nothing if the connection is closed.
    void respond(std::uint64_t request_number, http_reply reply);
    /// Closes the connection if it is idle; a busy one stays open.
    void close_when_idle();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct pending_request {
        std::uint64_t request_number = 0;
        bool keep_alive = true;
        bool is_head = false;
        std::optional<http_reply> reply;
    };

    void read_next();
    void on_header(boost::system::error_code error);
    void read_body();
    void on_body_part(boost::system::error_code error, std::size_t received);
    void on_body(boost::system::error_code error);
    /// A share of the budget that this connection gives back by closing when it has stalled.
    memory_budget::share_ptr open_share(const std::shared_ptr<memory_budget>& budget);
    /// Bytes were received or sent.
    void note_activity(std::size_t bytes);
    /// Accounts for the body so far or, when it is stated, its whole length. Refuses the request
    /// and returns false when there is no room.
    bool hold_body(std::size_t bytes);
    /// The same for a body without a stated length, before it needs more memory.
    bool hold_growing_body();
    void refuse(int status, const std::string& reason, const std::string& fields = {});
    /// Accounts for all answers that are not written yet. Closes the connection and returns false
    /// when there is no room.
    bool hold_answers();
    void write_next_reply();
    void write_output();
    void on_written(boost::system::error_code error);
    void arm_idle_timer();
    void discard_input();
    /// Runs `handler`; an exception closes the connection.
    template <class Handler>
    void guard(Handler handler);

    boost::asio::ip::tcp::socket socket_;
    shell::cancellable_timer timer_;
    const http_handlers& handlers_;
    http_limits limits_;
    request_counter& request_numbers_;
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::deque<pending_request> pending_;
    std::shared_ptr<memory_budget> request_budget_;
    std::shared_ptr<memory_budget> answer_budget_;
    memory_budget::share_ptr body_share_;
    memory_budget::share_ptr answer_share_;
    shell::cancellable_timer write_timer_;
    std::chrono::steady_clock::time_point active_at_ = std::chrono::steady_clock::now();
    std::size_t active_bytes_ = 0;
    /// Head of the answer that is being written, and its body.
    std::string output_;
    std::shared_ptr<const std::string> output_body_;
    std::size_t written_bytes_ = 0;
    bool close_when_written_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

/// Accepts and serves connections at one address.
class http_listener {
public:
    /// @throws boost::system::system_error if the address cannot be listened on
    http_listener(
        boost::asio::io_context& io, const std::string& host, std::uint16_t port,
        http_handlers handlers,
        std::shared_ptr<request_counter> request_numbers = std::make_shared<request_counter>(),
        listener_capacity capacity = {});

    /// Applies to connections accepted from now on.
    void set_limits(http_limits limits) { limits_ = limits; }
    /// Stops accepting connections.
    void close();
    /// Closes the idle connections. Busy ones close after their answer if is_closing() holds.
    void close_idle();
    std::size_t connection_count() const;

private:
    void accept_next();
    void add(boost::asio::ip::tcp::socket socket);
    /// Closes the connection that has been idle for longest. Returns false when none is idle.
    bool close_longest_idle();
    void remove_closed();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handlers handlers_;
    http_limits limits_;
    std::shared_ptr<request_counter> request_numbers_;
    listener_capacity capacity_;
    boost::asio::steady_timer accept_timer_;
    std::deque<std::weak_ptr<http_connection>> connections_;
};

/// Status line and header fields of an answer.
std::string serialize_head(const http_reply& reply, bool close);

} // namespace camphor::sidecar
