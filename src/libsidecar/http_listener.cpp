// HTTP/1.1 for clients.
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

/// Requests of one connection that may wait for their answers.
constexpr std::size_t most_pending = 32;
/// A closing connection waits so long for the client to close its side, since unread bytes would
/// reset it and take the answer with them.
constexpr auto linger_time = 1s;
constexpr std::size_t discard_bytes = 8'192;
/// Bytes beyond the longest head that may wait to be parsed: one read, or the framing of a chunk.
constexpr std::size_t framing_bytes = 64ULL * 1024;
constexpr int listen_backlog = 1'024;
/// Remembered connections are swept when this many were added.
constexpr std::size_t sweep_at = 64;

} // namespace

std::string write_reply(const http_reply& reply, bool close, bool head_only)
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
    if (!no_body && !head_only) {
        out += reply.body;
    }
    return out;
}

http_connection::http_connection(tcp::socket socket, const http_handlers& handlers,
                                 http_limits limits, std::uint64_t& numbers)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), handlers_(handlers),
      limits_(limits), numbers_(numbers), input_(limits.header_bytes + framing_bytes)
{
}

void http_connection::start()
{
    shell::set_tcp_options(socket_);
    read_next();
}

void http_connection::read_next()
{
    if (reading_ || closing_ || closed_ || pending_.size() >= most_pending) {
        return;
    }
    reading_ = true;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    if (pending_.empty()) {
        arm_idle();
    }
    http::async_read_header(
        socket_, input_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) { self->on_header(error); });
}

void http_connection::on_header(error_code error)
{
    timer_.cancel();
    if (closed_) {
        return;
    }
    if (error) {
        reading_ = false;
        // A system error or the end of the stream: the client is gone.
        if (error.category() != http::make_error_code(http::error::bad_method).category() ||
            error == http::error::end_of_stream || error == http::error::partial_message) {
            drop();
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
                          [self = shared_from_this()](error_code failed, std::size_t) {
                              self->on_written(failed, false);
                          });
    }
    read_body();
}

void http_connection::read_body()
{
    arm_idle();
    http::async_read(
        socket_, input_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) { self->on_body(error); });
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
        drop();
        return;
    }
    auto request = parser_->release();
    parser_.reset();
    pending next;
    next.number = ++numbers_;
    next.keep_alive = request.keep_alive();
    next.head_only = request.method() == http::verb::head;
    closing_ = closing_ || !next.keep_alive;
    pending_.push_back(std::move(next));
    const auto number = pending_.back().number;
    handlers_.on_request(shared_from_this(), number, std::move(request));
    // Goes on reading: later requests of the connection, or its end.
    if (!closing_) {
        read_next();
    } else {
        end_after_client();
    }
}

void http_connection::refuse(int status, const std::string& reason)
{
    pending next;
    next.number = ++numbers_;
    next.keep_alive = false;
    http_reply reply;
    reply.status = status;
    reply.body = shell::error_json("bad_request", reason);
    next.reply = std::move(reply);
    closing_ = true;
    pending_.push_back(std::move(next));
    write_ready();
}

void http_connection::respond(std::uint64_t number, http_reply reply)
{
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const pending& item) { return item.number == number; });
    if (closed_ || found == pending_.end()) {
        return;
    }
    found->reply = std::move(reply);
    write_ready();
}

void http_connection::write_ready()
{
    if (writing_ || closed_ || pending_.empty() || !pending_.front().reply) {
        return;
    }
    const auto first = std::move(pending_.front());
    pending_.pop_front();
    const bool close = !first.keep_alive || first.reply->close || handlers_.is_closing();
    output_ = write_reply(*first.reply, close, first.head_only);
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
        drop();
        return;
    }
    if (close) {
        // Requests behind this answer count as not read: the client sends them again.
        for (const auto& item : pending_) {
            handlers_.on_gone(item.number);
        }
        pending_.clear();
        closing_ = true;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        timer_.expires_after(linger_time);
        timer_.async_wait([self = shared_from_this()](error_code failed) {
            if (!failed) {
                self->drop();
            }
        });
        end_after_client();
        return;
    }
    write_ready();
    read_next();
}

void http_connection::arm_idle()
{
    timer_.expires_after(limits_.idle);
    timer_.async_wait([weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (!error && self && self->pending_.empty()) {
            self->drop();
        }
    });
}

void http_connection::end_after_client()
{
    if (reading_ || closed_) {
        return;
    }
    reading_ = true;
    input_.consume(input_.size());
    socket_.async_read_some(input_.prepare(discard_bytes),
                            [self = shared_from_this()](error_code error, std::size_t) {
                                self->reading_ = false;
                                if (error) {
                                    self->drop();
                                } else {
                                    self->end_after_client();
                                }
                            });
}

void http_connection::close_when_idle()
{
    const bool in_request = input_.size() > 0 || (parser_ && parser_->got_some());
    if (!closed_ && pending_.empty() && !writing_ && !in_request) {
        drop();
    }
}

void http_connection::drop()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    for (const auto& item : pending_) {
        handlers_.on_gone(item.number);
    }
    pending_.clear();
}

http_listener::http_listener(asio::io_context& io, const std::string& host, std::uint16_t port,
                             http_handlers handlers)
    : acceptor_(io), handlers_(std::move(handlers))
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
            if (open_.size() % sweep_at == 0) {
                std::erase_if(open_, [](const auto& item) { return item.expired(); });
            }
            const auto made =
                std::make_shared<http_connection>(std::move(socket), handlers_, limits_, numbers_);
            open_.push_back(made);
            made->start();
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
    for (const auto& item : open_) {
        if (const auto connection = item.lock()) {
            connection->close_when_idle();
        }
    }
}

std::size_t http_listener::connections() const
{
    return static_cast<std::size_t>(std::count_if(
        open_.begin(), open_.end(), [](const auto& item) { return !item.expired(); }));
}

} // namespace camphor::sidecar
