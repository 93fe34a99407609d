// Reads calls from one caller's connection and passes answers back.
#include "libshell/call_session.h"

#include "libshell/body_reader.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <utility>

namespace camphor::shell {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Body bytes that one write passes on.
constexpr std::size_t relay_bytes = 16'384;
/// Room for pipelined requests beyond one head.
constexpr std::size_t input_slack = 1'024;

/// One chunk of a chunked body; nothing for no bytes, which would end it.
void add_chunk(std::string& out, const std::string& bytes)
{
    if (bytes.empty()) {
        return;
    }
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end.ptr).append("\r\n").append(bytes).append("\r\n");
}

constexpr const char* last_chunk = "0\r\n\r\n";

bool has_status_without_body(unsigned status)
{
    return status == 204 || status == 304;
}

std::chrono::milliseconds whole_milliseconds(duration span)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(span),
                    std::chrono::milliseconds(1));
}

duration time_left_of(const request_message& request)
{
    const auto text = request[header_name::deadline];
    std::int64_t milliseconds = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    constexpr std::int64_t longest = 86'400'000;
    const bool sound = read.ec == std::errc() && milliseconds > 0 && milliseconds < longest;
    return sound ? duration(std::chrono::milliseconds(milliseconds)) : duration::zero();
}

} // namespace

call_session::call_session(session_host& host, asio::ip::tcp::socket socket, std::string caller)
    : host_(host), channel_(std::make_shared<http_channel>(
                       std::move(socket), host.settings().head_bytes + input_slack)),
      caller_(std::move(caller))
{
}

void call_session::start()
{
    channel_->set_owner(this);
    channel_->configure();
    next_request();
}

void call_session::stop()
{
    const bool idle = phase_ == phase::reading_head && channel_->input().size() == 0;
    if (idle) {
        close();
    }
}

void call_session::close()
{
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    if (attempt_) {
        attempt_->abandon();
        attempt_.reset();
    }
    if (call_) {
        host_.remove_call(*std::exchange(call_, std::nullopt));
    }
    channel_->set_owner(nullptr);
    channel_->close();
    host_.remove_session(*this);
}

void call_session::check_idle(std::chrono::steady_clock::time_point now)
{
    const auto& settings = host_.settings();
    const auto still = now - channel_->last_progress();
    if (phase_ == phase::reading_head || phase_ == phase::reading_body) {
        const bool begun = phase_ == phase::reading_body || channel_->input().size() > 0;
        if (begun && now - request_started_ > settings.head_timeout) {
            reject({408, "the request did not arrive in time"});
        } else if (!begun && still > settings.idle_timeout) {
            close();
        }
    } else if (phase_ == phase::lingering && still > std::chrono::seconds(1)) {
        close();
    } else if (phase_ == phase::relaying && still > settings.stall_timeout) {
        break_off();
    }
}

void call_session::next_request()
{
    phase_ = phase::reading_head;
    request_started_ = std::chrono::steady_clock::now();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(host_.settings().head_bytes));
    parser_->body_limit(host_.settings().body_bytes);
    body_.clear();
    kept_.clear();
    streaming_ = false;
    upload_started_ = false;
    keyed_ = false;
    keep_answer_ = false;
    kept_too_long_ = false;
    answer_complete_ = false;
    if (channel_->input().size() > 0 && !channel_->reading()) {
        // Not from within the end of the last call, so that pipelining does not nest.
        asio::post(host_.io(), [self = shared_from_this()] {
            if (self->phase_ == phase::reading_head && !self->channel_->reading()) {
                self->advance();
            }
        });
        return;
    }
    channel_->read();
}

void call_session::on_read(http_channel& /*channel*/, error_code error)
{
    const auto self = shared_from_this();
    if (phase_ == phase::lingering) {
        channel_->input().clear();
        error ? close() : channel_->read();
        return;
    }
    if (error) {
        on_caller_gone();
        return;
    }
    advance();
}

void call_session::advance()
{
    if (phase_ == phase::reading_head) {
        read_head();
    } else if (phase_ == phase::reading_body) {
        read_body();
    } else if (streaming_ && attempt_ && !attempt_->is_sending()) {
        upload();
    }
}

void call_session::read_head()
{
    auto& input = channel_->input();
    if (input.size() > 0 && !parser_->got_some()) {
        request_started_ = std::chrono::steady_clock::now();
    }
    error_code error;
    input.consume(parser_->put(input.data(), error));
    if (error == http::error::need_more) {
        channel_->is_full() ? reject({431, "the head is too long"}) : channel_->read();
        return;
    }
    if (error) {
        reject(fault_of(error));
        return;
    }
    if (const auto fault = check_request(parser_->get())) {
        reject(*fault);
        return;
    }
    keep_alive_ = parser_->keep_alive();
    keyed_ = parser_->get().count(header_name::idempotency_key) > 0;
    phase_ = phase::reading_body;
    send_continue();
    read_body();
}

void call_session::send_continue()
{
    const auto& request = parser_->get();
    const bool wanted = !parser_->is_done() && channel_->input().size() == 0 &&
                        boost::beast::iequals(request[http::field::expect], "100-continue");
    if (wanted && !channel_->flushing()) {
        channel_->output() = "HTTP/1.1 100 Continue\r\n\r\n";
        channel_->flush();
    }
}

void call_session::read_body()
{
    error_code error;
    const auto limit = host_.settings().held_body_bytes;
    take_body_bytes(*parser_, channel_->input(), body_, limit, error);
    if (error) {
        reject(fault_of(error));
        return;
    }
    if (parser_->is_done()) {
        arrive();
        return;
    }
    if (body_.size() < limit) {
        channel_->is_full() ? reject({400, "bad chunk"}) : channel_->read();
        return;
    }
    if (keyed_) {
        reject({413, "the body of a call with an Idempotency-Key is too long"});
        return;
    }
    streaming_ = true;
    arrive();
}

void call_session::reject(const head_fault& fault)
{
    keep_alive_ = false;
    refuse_call order;
    order.status = fault.status;
    order.code = "bad_request";
    order.message = fault.reason;
    order.not_run = true;
    perform(order);
}

void call_session::arrive()
{
    phase_ = phase::in_call;
    auto head = to_call_head(parser_->get());
    target_ = head.target;
    if (keyed_) {
        head.body_digest = XXH3_64bits(body_.data(), body_.size());
    }
    call_ = host_.add_call(*this);
    if (!streaming_ && channel_->input().size() == 0) {
        channel_->read(); // notices that the caller goes away
    }
    host_.sink().post(call_event{make_event(std::move(head))});
}

call_arrived call_session::make_event(call_head head)
{
    const auto& request = parser_->get();
    call_arrived event;
    event.call = *call_;
    event.caller = caller_;
    event.from_node = request.count(header_name::hop) > 0;
    event.time_left = time_left_of(request);
    event.head = std::move(head);
    return event;
}

void call_session::on_caller_gone()
{
    if (!call_) {
        close();
        return;
    }
    if (caller_gone_) {
        return;
    }
    caller_gone_ = true;
    keep_alive_ = false;
    channel_->close();
    if (phase_ == phase::relaying && !keep_answer_) {
        break_off();
        return;
    }
    if (phase_ == phase::relaying) {
        pump();
        return;
    }
    host_.sink().post(call_event{call_cancelled{*call_}});
}

void call_session::perform(const forward_call& order)
{
    if (attempt_) {
        attempt_->abandon();
    }
    attempt_options options;
    options.number = order.attempt;
    options.address = {order.host, order.port};
    options.head_bytes = host_.settings().head_bytes;
    options.connect_timeout = host_.settings().connect_timeout;
    options.head_request = is_head_request();
    attempt_ = std::make_shared<upstream_attempt>(host_.io(), host_.pool(), options, *this);
    if (upload_started_) {
        // The part that went out is gone; nothing of this attempt was sent.
        asio::post(host_.io(), [self = shared_from_this(), attempt = attempt_] {
            if (self->attempt_ == attempt) {
                self->on_attempt_failed(*attempt, attempt_failure::not_sent);
            }
        });
        return;
    }
    keep_answer_ = order.keep_answer;
    host_.add_deadline(order.call, order.attempt, order.deadline);
    attempt_->set_request_complete(!streaming_);
    auto request = forwarded_head(parser_->get(), target_, host_.via());
    if (parser_->get().count(header_name::request_id) == 0) {
        add_field(request, header_name::request_id,
                  host_.settings().node + "-" + std::to_string(order.call.value()));
    }
    const auto now = time_point(std::chrono::steady_clock::now().time_since_epoch());
    add_field(request, header_name::deadline,
              std::to_string(whole_milliseconds(order.deadline - now).count()));
    if (order.to_node) {
        add_field(request, header_name::hop, "1");
        add_field(request, header_name::service, order.service.value());
        add_field(request, header_name::release, order.release.value());
        add_field(request, header_name::caller, caller_);
    }
    const bool chunked = parser_->chunked();
    if (chunked) {
        add_field(request, "Transfer-Encoding", "chunked");
    } else if (const auto length = parser_->content_length()) {
        add_field(request, "Content-Length", std::to_string(*length));
    }
    request += "\r\n";
    if (chunked) {
        add_chunk(request, body_);
        request += streaming_ ? "" : last_chunk;
    } else {
        request += body_;
    }
    attempt_->start(std::move(request));
}

void call_session::on_attempt_sent(upstream_attempt& /*attempt*/)
{
    if (streaming_) {
        upload();
    }
}

void call_session::upload()
{
    if (caller_gone_ || channel_->reading() || parser_->is_done()) {
        return;
    }
    std::string bytes;
    error_code error;
    take_body_bytes(*parser_, channel_->input(), bytes, relay_bytes, error);
    if (error) {
        on_caller_gone(); // the rest of the request cannot be understood
        return;
    }
    if (bytes.empty() && !parser_->is_done()) {
        channel_->is_full() ? on_caller_gone() : channel_->read();
        return;
    }
    upload_started_ = true;
    const bool last = parser_->is_done();
    std::string part;
    if (parser_->chunked()) {
        add_chunk(part, bytes);
        part += last ? last_chunk : "";
    } else {
        part = std::move(bytes);
    }
    attempt_->send(std::move(part), last);
    if (last && channel_->input().size() == 0) {
        channel_->read();
    }
}

void call_session::on_attempt_head(upstream_attempt& attempt)
{
    const auto self = shared_from_this();
    const auto& response = attempt.response();
    attempt_answered event;
    event.call = *call_;
    event.attempt = attempt.number();
    event.status = static_cast<std::int32_t>(response.result_int());
    event.not_run = response[header_name::not_run] == "true";
    host_.sink().post(call_event{event});
}

void call_session::on_attempt_failed(upstream_attempt& attempt, attempt_failure failure)
{
    const auto self = shared_from_this();
    attempt_.reset();
    host_.sink().post(call_event{attempt_failed{*call_, attempt.number(), failure}});
}

void call_session::on_deadline(std::int32_t attempt)
{
    if (attempt_ && attempt_->number() == attempt) {
        attempt_->expire();
    }
}

void call_session::perform(const abandon_attempt& order)
{
    if (attempt_ && attempt_->number() == order.attempt) {
        attempt_->abandon();
        attempt_.reset();
    }
    if (caller_gone_) {
        close();
    }
}

void call_session::perform(const relay_answer& order)
{
    const bool current = attempt_ && attempt_->number() == order.attempt && attempt_->has_head();
    if (!current) {
        return;
    }
    begin_relay(order.not_run);
    pump();
}

void call_session::begin_relay(bool not_run)
{
    phase_ = phase::relaying;
    const auto& response = attempt_->response();
    auto head = relayed_head(response, host_.via());
    if (not_run) {
        add_field(head, header_name::not_run, "true");
    }
    const auto length = response.find(http::field::content_length);
    const bool has_length = length != response.end();
    chunked_answer_ = !has_length && !attempt_->has_no_body();
    if (has_length && !has_status_without_body(response.result_int())) {
        add_field(head, "Content-Length", std::string(length->value()));
    }
    if (keep_answer_) {
        kept_ = head;
    }
    if (chunked_answer_ && parser_->get().version() == 10) {
        chunked_answer_ = false;
        keep_alive_ = false; // the end of the connection ends the body
    }
    if (chunked_answer_) {
        add_field(head, "Transfer-Encoding", "chunked");
    }
    if (streaming_ && !parser_->is_done()) {
        keep_alive_ = false;
    }
    head += connection_field();
    head += "\r\n";
    channel_->output() = std::move(head);
    if (keep_answer_ && !has_length && !attempt_->has_no_body()) {
        kept_too_long_ = true;
    }
    if (keep_answer_) {
        kept_ += "\r\n";
    }
}

void call_session::pump()
{
    const auto self = shared_from_this();
    while (phase_ == phase::relaying && attempt_ && !channel_->flushing()) {
        std::string bytes;
        const auto state = attempt_->take_body(bytes, relay_bytes);
        keep(bytes);
        if (chunked_answer_) {
            add_chunk(channel_->output(), bytes);
        } else {
            channel_->output() += bytes;
        }
        if (state == upstream_attempt::body_state::broken) {
            break_off();
            return;
        }
        if (state == upstream_attempt::body_state::complete) {
            finish_relay();
            return;
        }
        const bool wait_for_upstream = bytes.size() < relay_bytes;
        flush_answer();
        if (wait_for_upstream) {
            return;
        }
    }
}

void call_session::flush_answer()
{
    if (caller_gone_) {
        channel_->output().clear();
        return;
    }
    if (channel_->output().empty()) {
        return;
    }
    if (channel_->flush() == http_channel::flush_result::failed) {
        on_caller_gone();
    }
}

void call_session::on_attempt_body(upstream_attempt& /*attempt*/)
{
    pump();
}

void call_session::keep(const std::string& bytes)
{
    if (!keep_answer_ || kept_too_long_) {
        return;
    }
    kept_ += bytes;
    kept_too_long_ = kept_.size() > host_.settings().kept_answer_bytes;
}

void call_session::finish_relay()
{
    attempt_->release();
    attempt_.reset();
    if (chunked_answer_) {
        channel_->output() += last_chunk;
    }
    answer_complete_ = true;
    if (caller_gone_) {
        end_call();
        close();
        return;
    }
    const auto result = channel_->flush();
    if (result == http_channel::flush_result::pending) {
        flush_ends_answer_ = true;
        return;
    }
    answer_complete_ = result == http_channel::flush_result::done || keep_answer_;
    end_call();
    after_answer();
}

void call_session::break_off()
{
    if (attempt_) {
        attempt_->abandon();
        attempt_.reset();
    }
    answer_complete_ = false;
    end_call();
    channel_->reset();
    close();
}

void call_session::end_call()
{
    if (!call_) {
        return;
    }
    call_finished event;
    event.call = *std::exchange(call_, std::nullopt);
    event.complete = answer_complete_;
    if (keep_answer_ && !kept_too_long_) {
        event.kept_answer = std::move(kept_);
    }
    host_.remove_call(event.call);
    host_.sink().post(call_event{std::move(event)});
}

void call_session::on_flushed(http_channel& /*channel*/, error_code error)
{
    const auto self = shared_from_this();
    if (phase_ == phase::lingering || phase_ == phase::closed) {
        if (error) {
            close();
        } else if (phase_ == phase::lingering) {
            channel_->shutdown_send();
        }
        return;
    }
    if (error) {
        flush_ends_answer_ ? break_off() : on_caller_gone();
        return;
    }
    if (std::exchange(flush_ends_answer_, false)) {
        end_call();
        after_answer();
        return;
    }
    pump();
}

void call_session::perform(const refuse_call& order)
{
    const auto body = error_json(order.code, order.message);
    std::string head =
        "HTTP/1.1 " + std::to_string(order.status) + " " + reason_of(order.status) + "\r\n";
    add_field(head, "Content-Type", "application/json");
    if (order.not_run) {
        add_field(head, header_name::not_run, "true");
    }
    if (order.retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(order.retry_after);
        add_field(head, "Retry-After", std::to_string(seconds.count()));
    }
    add_field(head, "Content-Length", std::to_string(body.size()));
    write_message(head, body, keep_alive_ && (!streaming_ || parser_->is_done()));
}

void call_session::perform(const replay_answer& order)
{
    const auto end_of_head = order.kept_answer.find("\r\n\r\n");
    std::string head = order.kept_answer.substr(0, end_of_head + 2);
    add_field(head, header_name::replayed, "true");
    write_message(head, order.kept_answer.substr(end_of_head + 4), keep_alive_);
}

void call_session::write_message(const std::string& head, const std::string& body, bool keep_alive)
{
    if (attempt_) {
        attempt_->abandon();
        attempt_.reset();
    }
    if (call_) {
        host_.remove_call(*std::exchange(call_, std::nullopt));
    }
    if (caller_gone_) {
        close();
        return;
    }
    keep_alive_ = keep_alive;
    auto& out = channel_->output();
    out = head + connection_field() + "\r\n";
    if (!is_head_request()) {
        out += body;
    }
    phase_ = phase::relaying;
    const auto result = channel_->flush();
    if (result == http_channel::flush_result::pending) {
        flush_ends_answer_ = true;
    } else if (result == http_channel::flush_result::failed) {
        close();
    } else {
        after_answer();
    }
}

void call_session::after_answer()
{
    if (phase_ == phase::closed) {
        return;
    }
    if (caller_gone_ || !channel_->is_open()) {
        close();
        return;
    }
    if (keep_alive_ && !host_.is_stopping()) {
        next_request();
        return;
    }
    linger();
}

/// Closing with unread input would reset the connection before the caller has read the answer.
void call_session::linger()
{
    phase_ = phase::lingering;
    channel_->shutdown_send();
    if (!channel_->reading()) {
        channel_->input().clear();
        channel_->read();
    }
}

bool call_session::is_head_request() const
{
    return parser_ && parser_->is_header_done() && parser_->get().method() == http::verb::head;
}

std::string call_session::connection_field() const
{
    const bool stays = keep_alive_ && !host_.is_stopping();
    if (!stays) {
        return "Connection: close\r\n";
    }
    return parser_->get().version() == 10 ? "Connection: keep-alive\r\n" : "";
}

} // namespace camphor::shell
