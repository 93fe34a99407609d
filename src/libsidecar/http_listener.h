// An HTTP/1.1 server for clients, check-ins, readiness and metrics: pipelined requests, answers in
// the order of the requests.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

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

/// What a listener serves by. All functions are called on the I/O thread.
struct http_handlers {
    /// A whole request; answered later by respond() with the same number.
    std::function<void(const std::shared_ptr<http_connection>&, std::uint64_t, http_request&&)>
        on_request;
    /// The client closed its connection while the request was not answered.
    std::function<void(std::uint64_t)> on_gone = [](std::uint64_t) {
    };
    /// True once answers shall close their connections.
    std::function<bool()> is_closing = [] {
        return false;
    };
};

struct http_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds idle{15'000};
};

/// Adds status line, length and connection fields to an answer.
struct http_reply {
    int status = 200;
    /// `Name: value` lines.
    std::string head;
    std::string body;
    /// Close the connection after this answer.
    bool close = false;
};

/// One connection. Invariant: answers leave in the order in which their requests came.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    http_connection(boost::asio::ip::tcp::socket socket, const http_handlers& handlers,
                    http_limits limits, std::uint64_t& numbers);

    void start();
    /// Answers request `number`; does nothing when the client is gone.
    void respond(std::uint64_t number, http_reply reply);
    /// Closes the connection when it is idle, else after its last answer.
    void close_when_idle();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct pending {
        std::uint64_t number = 0;
        bool keep_alive = true;
        bool head_only = false;
        std::optional<http_reply> reply;
    };

    void read_next();
    void on_header(boost::system::error_code error);
    void read_body();
    void on_body(boost::system::error_code error);
    void refuse(int status, const std::string& reason);
    void write_ready();
    void on_written(boost::system::error_code error, bool close);
    void arm_idle();
    void end_after_client();
    void drop();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    const http_handlers& handlers_;
    http_limits limits_;
    /// Shared by all connections, so that a number is unique in the process.
    std::uint64_t& numbers_;
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::deque<pending> pending_;
    std::string output_;
    bool reading_ = false;
    bool writing_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

/// Accepts connections at one address.
class http_listener {
public:
    /// @throws boost::system::system_error when it cannot listen
    http_listener(boost::asio::io_context& io, const std::string& host, std::uint16_t port,
                  http_handlers handlers);

    void set_limits(http_limits limits) { limits_ = limits; }
    void close();
    /// Closes idle connections now and the others after their answers.
    void close_idle();
    std::size_t connections() const;

private:
    void accept_next();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handlers handlers_;
    http_limits limits_;
    std::uint64_t numbers_ = 0;
    std::deque<std::weak_ptr<http_connection>> open_;
};

/// Status line, fields and body of an answer.
std::string write_reply(const http_reply& reply, bool close, bool head_only);

} // namespace camphor::sidecar
