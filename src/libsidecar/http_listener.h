// HTTP/1.1 server for client requests, check-ins, readiness and metrics. Supports pipelining:
// answers are sent in the order of the requests.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "libshell/cancellable_timer.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
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

/// An answer without its status line, Content-Length and Connection fields, which
/// serialize_reply() adds.
struct http_reply {
    int status = 200;
    /// Header fields as `Name: value` lines, each with its CRLF.
    std::string head;
    std::string body;
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
                    http_limits limits, request_counter& request_numbers);

    void start();
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
    void on_body(boost::system::error_code error);
    void refuse(int status, const std::string& reason);
    void write_next_reply();
    void on_written(boost::system::error_code error, bool close);
    void arm_idle_timer();
    void discard_input();
    void close_now();
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
    std::string output_;
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
        std::shared_ptr<request_counter> request_numbers = std::make_shared<request_counter>());

    /// Applies to connections accepted from now on.
    void set_limits(http_limits limits) { limits_ = limits; }
    /// Stops accepting connections.
    void close();
    /// Closes the idle connections. Busy ones close after their answer if is_closing() holds.
    void close_idle();
    std::size_t connection_count() const;

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handlers handlers_;
    http_limits limits_;
    std::shared_ptr<request_counter> request_numbers_;
    std::deque<std::weak_ptr<http_connection>> connections_;
};

/// Serialized answer: status line, header fields and body. For a HEAD request the body is left out.
std::string serialize_reply(const http_reply& reply, bool close, bool is_head);

} // namespace camphor::sidecar
