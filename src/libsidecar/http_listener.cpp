// HTTP/1.1 server connections: reading, pipelining, refusals and closing.
#include "libsidecar/http_listener.h"

#include "libshell/http_head.h"
#include "libshell/tcp_options.h"

#include <algorithm>
#include <array>

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
/// Bodies longer than this are read in large blocks.
constexpr std::size_t large_read_threshold_bytes = 16ULL * 1024;
/// Answers of one connection up to this are written whatever the others hold; the number of
/// connections is limited.
constexpr std::size_t free_answer_bytes = 16ULL * 1024;
/// A body without a stated length gets room for this part of its bytes more at a time.
constexpr std::size_t growth_divisor = 4;
/// Delay before the next connection is accepted after a failure, such as a lack of descriptors.
constexpr auto accept_retry_delay = 100ms;

bool has_body(const http_reply& reply)
{
    return reply.status != 204 && reply.status != 304;
}

const std::string& body_of(const http_reply& reply)
{
    return reply.shared_body ? *reply.shared_body : reply.body;
}

} // namespace

std::string serialize_head(const http_reply& reply, bool close)
{
    std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                      shell::reason_of(reply.status) + "\r\n" + reply.head;
    if (has_body(reply)) {
        shell::add_field(out, "Content-Length", std::to_string(body_of(reply).size()));
    }
    if (close) {
        shell::add_field(out, "Connection", "close");
    }
    return out + "\r\n";
}

http_connection::http_connection(tcp::socket socket, const http_handlers& handlers,
                                 http_limits limits, request_counter& request_numbers,
                                 const listener_capacity& capacity)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), handlers_(handlers),
      limits_(limits), request_numbers_(request_numbers),
      input_(limits.header_bytes + framing_allowance_bytes), request_budget_(capacity.requests),
      answer_budget_(capacity.answers), write_timer_(socket_.get_executor())
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
    body_share_.reset();
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
    active_at_ = std::chrono::steady_clock::now();
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
    const auto length = parser_->content_length();
    if (length && *length <= limits_.body_bytes && !hold_body(static_cast<std::size_t>(*length))) {
        return;
    }
    if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
        pending_.empty() && !writing_) {
        output_ = "HTTP/1.1 100 Continue\r\n\r\n";
        output_body_.reset();
        close_when_written_ = false;
        written_bytes_ = 0;
        write_output();
    }
    if (parser_->is_done()) {
        on_body({});
        return;
    }
    arm_idle_timer();
    read_body();
}

memory_budget::share_ptr http_connection::open_share(const std::shared_ptr<memory_budget>& budget)
{
    return budget->open([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handlers_.on_limit("stalled");
            self->close_now();
        }
    });
}

bool http_connection::hold_body(std::size_t bytes)
{
    if (bytes == 0) {
        return true;
    }
    if (!body_share_) {
        body_share_ = open_share(request_budget_);
    }
    // Another connection that gives way may bring about the end of this one.
    const auto share = body_share_;
    const bool has_room = share->resize(bytes);
    if (closed_) {
        return false;
    }
    if (has_room) {
        return true;
    }
    handlers_.on_limit("memory");
    reading_ = false;
    parser_.reset();
    body_share_.reset();
    std::string fields;
    shell::add_field(
        fields, "Retry-After",
        std::to_string(std::chrono::duration<double>(memory_budget::stall_limit).count()));
    refuse(503, "the bodies of other requests take all memory for them", fields);
    return false;
}

void http_connection::read_body()
{
    if (parser_->get().body().size() > large_read_threshold_bytes) {
        input_.reserve(framing_allowance_bytes);
    }
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t received) {
                              self->guard([&] { self->on_body_part(error, received); });
                          });
}

void http_connection::on_body_part(error_code error, std::size_t received)
{
    note_activity(received);
    if (closed_ || error || parser_->is_done()) {
        on_body(error);
        return;
    }
    if (!parser_->content_length() && !hold_growing_body()) {
        return;
    }
    if (body_share_) {
        body_share_->note_progress(received);
    }
    read_body();
}

bool http_connection::hold_growing_body()
{
    auto& body = parser_->get().body();
    const auto growth = body.size() <= large_read_threshold_bytes
                            ? large_read_threshold_bytes
                            : std::max(framing_allowance_bytes, body.size() / growth_divisor);
    const auto held = body_share_ ? body_share_->bytes() : 0;
    if (held >= body.capacity() && body.capacity() >= body.size() + growth / 2) {
        return true;
    }
    const auto capacity = body.size() + growth;
    if (!hold_body(std::max(capacity, body.capacity()))) {
        return false;
    }
    if (body.capacity() < capacity) {
        // A string that grows by itself doubles its capacity.
        std::string larger;
        larger.reserve(capacity);
        larger.append(body);
        body.swap(larger);
    }
    return true;
}

void http_connection::note_activity(std::size_t bytes)
{
    active_bytes_ += bytes;
    if (active_bytes_ >= min_progress_bytes) {
        active_bytes_ = 0;
        active_at_ = std::chrono::steady_clock::now();
    }
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
    active_at_ = std::chrono::steady_clock::now();
    auto request = parser_->release();
    parser_.reset();
    if (input_.size() == 0) {
        input_.shrink_to_fit();
    }
    if (body_share_) {
        body_share_->keep();
    }
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

void http_connection::refuse(int status, const std::string& reason, const std::string& fields)
{
    pending_request next;
    next.request_number = request_numbers_.next();
    next.keep_alive = false;
    http_reply reply;
    reply.status = status;
    reply.head = fields;
    reply.body = shell::error_json(status == 503 ? "memory" : "bad_request", reason);
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
    if (hold_answers()) {
        write_next_reply();
    }
}

bool http_connection::hold_answers()
{
    auto bytes = output_body_ ? output_body_->size() : 0;
    for (const auto& answered : pending_) {
        bytes += answered.reply ? body_of(*answered.reply).size() : 0;
    }
    if (bytes <= free_answer_bytes) {
        answer_share_.reset();
        return true;
    }
    if (!answer_share_) {
        answer_share_ = open_share(answer_budget_);
    }
    const auto share = answer_share_;
    const bool has_room = share->resize(bytes);
    if (closed_) {
        return false;
    }
    if (!has_room) {
        handlers_.on_limit("memory");
        close_now();
        return false;
    }
    return true;
}

void http_connection::write_next_reply()
{
    if (writing_ || closed_ || pending_.empty() || !pending_.front().reply) {
        return;
    }
    const auto first = std::move(pending_.front());
    pending_.pop_front();
    auto reply = *first.reply;
    close_when_written_ = !first.keep_alive || reply.close || handlers_.is_closing();
    output_ = serialize_head(reply, close_when_written_);
    output_body_.reset();
    if (has_body(reply) && !first.is_head) {
        output_body_ = reply.shared_body
                           ? std::move(reply.shared_body)
                           : std::make_shared<const std::string>(std::move(reply.body));
    }
    written_bytes_ = 0;
    write_output();
}

void http_connection::write_output()
{
    writing_ = true;
    write_timer_.start(limits_.idle_timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close_now();
        }
    });
    const auto head = asio::buffer(output_) + written_bytes_;
    const auto body_at = written_bytes_ - std::min(written_bytes_, output_.size());
    const auto body = output_body_ ? asio::buffer(*output_body_) + body_at : asio::const_buffer();
    socket_.async_write_some(std::array<asio::const_buffer, 2>{head, body},
                             [self = shared_from_this()](error_code error, std::size_t written) {
                                 self->written_bytes_ += written;
                                 self->note_activity(written);
                                 if (self->answer_share_) {
                                     self->answer_share_->note_progress(written);
                                 }
                                 self->guard([&] { self->on_written(error); });
                             });
}

void http_connection::on_written(error_code error)
{
    write_timer_.cancel();
    if (closed_) {
        return;
    }
    if (error) {
        close_now();
        return;
    }
    if (written_bytes_ < output_.size() + (output_body_ ? output_body_->size() : 0)) {
        write_output();
        return;
    }
    writing_ = false;
    active_at_ = std::chrono::steady_clock::now();
    output_body_.reset();
    hold_answers();
    const bool close = close_when_written_;
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
    if (reading_ && pending_.empty() && !writing_) {
        arm_idle_timer();
    }
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
    write_timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    for (const auto& unanswered : pending_) {
        handlers_.on_client_gone(unanswered.request_number);
    }
    pending_.clear();
    // The parser and the output may still be in use by an operation that has not ended yet.
    body_share_.reset();
    answer_share_.reset();
}

std::optional<std::chrono::steady_clock::time_point> http_connection::idle_since() const
{
    const bool at_work =
        std::any_of(pending_.begin(), pending_.end(),
                    [](const pending_request& request) { return !request.reply.has_value(); });
    return at_work || closed_ ? std::nullopt : std::optional(active_at_);
}

http_listener::http_listener(asio::io_context& io, const std::string& host, std::uint16_t port,
                             http_handlers handlers,
                             std::shared_ptr<request_counter> request_numbers,
                             listener_capacity capacity)
    : acceptor_(io), handlers_(std::move(handlers)), request_numbers_(std::move(request_numbers)),
      capacity_(std::move(capacity)), accept_timer_(io)
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
            try {
                add(std::move(socket));
            } catch (const std::exception& failure) {
                handlers_.on_failure(failure.what());
            }
            accept_next();
            return;
        }
        accept_timer_.expires_after(accept_retry_delay);
        accept_timer_.async_wait([this](error_code cancelled) {
            if (!cancelled && acceptor_.is_open()) {
                accept_next();
            }
        });
    });
}

void http_listener::add(tcp::socket socket)
{
    if (connections_.size() % sweep_interval == 0 || connections_.size() >= capacity_.connections) {
        remove_closed();
    }
    if (connections_.size() >= capacity_.connections) {
        handlers_.on_limit("connections");
        if (!close_longest_idle()) {
            // Closed unread: the client may send its request elsewhere.
            return;
        }
    }
    const auto connection = std::make_shared<http_connection>(std::move(socket), handlers_, limits_,
                                                              *request_numbers_, capacity_);
    connections_.push_back(connection);
    connection->start();
}

bool http_listener::close_longest_idle()
{
    std::shared_ptr<http_connection> longest;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& weak_connection : connections_) {
        const auto connection = weak_connection.lock();
        const auto idle_since = connection ? connection->idle_since() : std::nullopt;
        if (idle_since && now - *idle_since >= memory_budget::stall_limit &&
            (!longest || *idle_since < *longest->idle_since())) {
            longest = connection;
        }
    }
    if (longest) {
        longest->close_now();
        remove_closed();
    }
    return longest != nullptr;
}

void http_listener::remove_closed()
{
    std::erase_if(connections_, [](const auto& weak_connection) {
        const auto connection = weak_connection.lock();
        return !connection || connection->is_closed();
    });
}

void http_listener::close()
{
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
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
