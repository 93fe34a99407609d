// HTTP/1.1 server connections: reading, pipelining, refusals and closing.
#include "libsidecar/http_listener.h"

#include "libshell/http_head.h"
#include "libshell/tcp_options.h"

#include <algorithm>

namespace camphor::sidecar {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// Limit of unanswered pipelined requests on one connection.
constexpr std::size_t max_pending_requests = 32;
/// How long a closing connection waits for the client to close its side. Closing a socket with
/// unread input sends a reset, which can discard the answer before the client reads it.
constexpr auto linger_timeout = 1s;
constexpr std::size_t discard_read_bytes = 8'192;
/// Input buffer beyond the longest head: room for one read or the framing of a chunk.
constexpr std::size_t framing_allowance_bytes = 64ULL * 1024;
constexpr int listen_backlog = 1'024;
/// Closed connections are removed from the list whenever its size is a multiple of this.
constexpr std::size_t sweep_interval = 64;

} // namespace

std::string serialize_reply(const http_reply& reply, bool close, bool is_head)
{
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                      shell::reason_of(reply.status) + "\r\n" + reply.head;
    const bool no_body = reply.status == 204 || reply.status == 304;
    if (!no_body) {
        shell::add_field(out, "Content-Length", std::to_string(reply.body.size()));
    }
    if (close) {
        shell::add_field(out, "Connection", "close");
    }
    out += "\r\n";
    if (!no_body && !is_head) {
        out += reply.body;
    }
    return out;
}

http_connection::http_connection(tcp::socket socket, const http_handlers& handlers,
                                 http_limits limits, request_counter& request_numbers)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), handlers_(handlers),
      limits_(limits), request_numbers_(request_numbers),
      input_(limits.header_bytes + framing_allowance_bytes)
{
}

template <class Handler>
void http_connection::guard(Handler handler)
{
    try {
        handler();
    } catch (const std::exception& error) {
        handlers_.on_failure(error.what());
        close_now();
    }
}

void http_connection::start()
{
    shell::set_tcp_options(socket_);
    read_next();
}

void http_connection::read_next()
{
    if (reading_ || closing_ || closed_ || pending_.size() >= max_pending_requests) {
        return;
    }
    reading_ = true;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    if (pending_.empty()) {
        arm_idle_timer();
    }
    http::async_read_header(socket_, input_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                                self->guard([&] { self->on_header(error); });
                            });
}

void http_connection::on_header(error_code error)
{
    timer_.cancel();
    if (closed_) {
        return;
    }
    if (error) {
        reading_ = false;
        // A system error or the end of the stream: the client closed the connection.
        if (error.category() != http::make_error_code(http::error::bad_method).category() ||
            error == http::error::end_of_stream || error == http::error::partial_message) {
            close_now();
            return;
        }
        const auto fault = shell::fault_of(error);
        refuse(fault.status, fault.reason);
        return;
    }
    if (const auto fault = shell::check_request(parser_->get())) {
        reading_ = false;
        refuse(fault->status, fault->reason);
        return;
    }
    if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
        pending_.empty() && !writing_) {
        output_ = "HTTP/1.1 100 Continue\r\n\r\n";
        writing_ = true;
        asio::async_write(socket_, asio::buffer(output_),
                          [self = shared_from_this()](error_code write_error, std::size_t) {
                              self->on_written(write_error, false);
                          });
    }
    read_body();
}

void http_connection::read_body()
{
    arm_idle_timer();
    http::async_read(socket_, input_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                         self->guard([&] { self->on_body(error); });
                     });
}

void http_connection::on_body(error_code error)
{
    timer_.cancel();
    reading_ = false;
    if (closed_) {
        return;
    }
    if (error == http::error::body_limit) {
        refuse(413, "the body is too long");
        return;
    }
    if (error == http::error::buffer_overflow) {
        refuse(400, "the framing of the body is too long");
        return;
    }
    if (error) {
        close_now();
        return;
    }
    auto request = parser_->release();
    parser_.reset();
    pending_request next;
    next.request_number = request_numbers_.next();
    next.keep_alive = request.keep_alive();
    next.is_head = request.method() == http::verb::head;
    closing_ = closing_ || !next.keep_alive;
    pending_.push_back(std::move(next));
    const auto request_number = pending_.back().request_number;
    handlers_.on_request(shared_from_this(), request_number, std::move(request));
    // Reads on, to get further requests and to notice when the client closes the connection.
    if (!closing_) {
        read_next();
    } else {
        discard_input();
    }
}

void http_connection::refuse(int status, const std::string& reason)
{
    pending_request next;
    next.request_number = request_numbers_.next();
    next.keep_alive = false;
    http_reply reply;
    reply.status = status;
    reply.body = shell::error_json("bad_request", reason);
    next.reply = std::move(reply);
    closing_ = true;
    pending_.push_back(std::move(next));
    write_next_reply();
}

void http_connection::respond(std::uint64_t request_number, http_reply reply)
{
    const auto entry =
        std::find_if(pending_.begin(), pending_.end(), [&](const pending_request& candidate) {
            return candidate.request_number == request_number;
        });
    if (closed_ || entry == pending_.end()) {
        return;
    }
    entry->reply = std::move(reply);
    write_next_reply();
}

void http_connection::write_next_reply()
{
    if (writing_ || closed_ || pending_.empty() || !pending_.front().reply) {
        return;
    }
    const auto first = std::move(pending_.front());
    pending_.pop_front();
    const bool close = !first.keep_alive || first.reply->close || handlers_.is_closing();
    output_ = serialize_reply(*first.reply, close, first.is_head);
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this(), close](error_code error, std::size_t) {
                          self->on_written(error, close);
                      });
}

void http_connection::on_written(error_code error, bool close)
{
    writing_ = false;
    if (closed_) {
        return;
    }
    if (error) {
        close_now();
        return;
    }
    if (close) {
        // Pipelined requests after this answer are dropped unanswered: the client sends them again.
        for (const auto& unanswered : pending_) {
            handlers_.on_client_gone(unanswered.request_number);
        }
        pending_.clear();
        closing_ = true;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        timer_.start(linger_timeout, [self = shared_from_this()] { self->close_now(); });
        discard_input();
        return;
    }
    write_next_reply();
    read_next();
}

void http_connection::arm_idle_timer()
{
    timer_.start(limits_.idle_timeout, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->pending_.empty()) {
            self->close_now();
        }
    });
}

void http_connection::discard_input()
{
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    input_.consume(input_.size());
    socket_.async_read_some(input_.prepare(discard_read_bytes),
                            [self = shared_from_this()](error_code error, std::size_t) {
                                self->reading_ = false;
                                if (error) {
                                    self->close_now();
                                } else {
                                    self->discard_input();
                                }
                            });
}

void http_connection::close_when_idle()
{
    const bool in_request = input_.size() > 0 || (parser_ && parser_->got_some());
    if (!closed_ && pending_.empty() && !writing_ && !in_request) {
        close_now();
    }
}

void http_connection::close_now()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    for (const auto& unanswered : pending_) {
        handlers_.on_client_gone(unanswered.request_number);
    }
    pending_.clear();
}

http_listener::http_listener(asio::io_context& io, const std::string& host, std::uint16_t port,
                             http_handlers handlers,
                             std::shared_ptr<request_counter> request_numbers)
    : acceptor_(io), handlers_(std::move(handlers)), request_numbers_(std::move(request_numbers))
{
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(listen_backlog);
    accept_next();
}

void http_listener::accept_next()
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            if (connections_.size() % sweep_interval == 0) {
                std::erase_if(connections_, [](const auto& weak_connection) {
                    return weak_connection.expired();
                });
            }
            const auto connection = std::make_shared<http_connection>(std::move(socket), handlers_,
                                                                      limits_, *request_numbers_);
            connections_.push_back(connection);
            connection->start();
        }
        accept_next();
    });
}

void http_listener::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void http_listener::close_idle()
{
    for (const auto& weak_connection : connections_) {
        if (const auto connection = weak_connection.lock()) {
            connection->close_when_idle();
        }
    }
}

std::size_t http_listener::connection_count() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& weak_connection) { return !weak_connection.expired(); }));
}

} // namespace camphor::sidecar
