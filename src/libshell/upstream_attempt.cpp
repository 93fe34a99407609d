// Sends a request upstream and reads the answer.
#include "libshell/upstream_attempt.h"

#include "libshell/body_reader.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <limits>
#include <utility>

namespace camphor::shell {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

} // namespace

upstream_attempt::upstream_attempt(asio::io_context& io, upstream_pool& pool,
                                   attempt_options options, attempt_owner& owner)
    : io_(io), pool_(pool), options_(std::move(options)), owner_(&owner),
      connect_timer_(io.get_executor())
{
    reset_parser();
}

void upstream_attempt::reset_parser()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(options_.head_bytes));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max()); // none fails in Boost 1.74
    parser_->skip(options_.head_request);
}

void upstream_attempt::start(std::string request)
{
    if (auto idle = pool_.take(options_.address)) {
        attach(std::move(idle));
        channel_->output() = std::move(request);
        flush();
        return;
    }
    connect(std::move(request));
}

void upstream_attempt::attach(std::shared_ptr<http_channel> channel)
{
    channel_ = std::move(channel);
    channel_->set_owner(this);
    sent_before_ = channel_->sent_bytes();
}

void upstream_attempt::connect(std::string request)
{
    error_code error;
    const auto address = asio::ip::make_address(options_.address.host, error);
    if (error) {
        // Told later, since the owner is still handling the order.
        asio::post(io_, [self = shared_from_this()] { self->fail(attempt_failure::not_sent); });
        return;
    }
    attach(std::make_shared<http_channel>(asio::ip::tcp::socket(io_), options_.head_bytes));
    channel_->output() = std::move(request);
    connect_timer_.start(options_.connect_timeout,
                         [self = shared_from_this()] { self->fail(attempt_failure::not_sent); });
    const asio::ip::tcp::endpoint endpoint(address, options_.address.port);
    channel_->socket().async_connect(
        endpoint, [self = shared_from_this()](error_code failed) { self->on_connected(failed); });
}

void upstream_attempt::on_connected(error_code error)
{
    connect_timer_.cancel();
    if (owner_ == nullptr) {
        return;
    }
    if (error) {
        fail(attempt_failure::not_sent);
        return;
    }
    channel_->configure();
    flush();
    if (owner_ != nullptr && channel_) {
        channel_->read();
    }
}

void upstream_attempt::flush()
{
    sending_ = true;
    const auto result = channel_->flush();
    if (result == http_channel::flush_result::pending) {
        return;
    }
    sending_ = false;
    if (result == http_channel::flush_result::failed) {
        broken_ = true;
        // The answer may have come before the connection broke; the pending read tells.
        if (channel_->sent_bytes() == sent_before_ && !has_head_) {
            asio::post(io_, [self = shared_from_this()] { self->fail(attempt_failure::not_sent); });
        }
        request_complete_ = false;
        return;
    }
    if (!request_complete_) {
        asio::post(io_, [self = shared_from_this()] {
            if (self->owner_ != nullptr && !self->sending_) {
                self->owner_->on_attempt_sent(*self);
            }
        });
    }
}

void upstream_attempt::send(std::string part, bool last)
{
    if (!channel_ || owner_ == nullptr) {
        return;
    }
    channel_->output() = std::move(part);
    request_complete_ = last;
    flush();
}

void upstream_attempt::on_flushed(http_channel& /*channel*/, error_code error)
{
    sending_ = false;
    broken_ = broken_ || error;
    if (owner_ == nullptr) {
        return;
    }
    if (error) {
        request_complete_ = false;
        return;
    }
    if (!request_complete_) {
        owner_->on_attempt_sent(*this);
    }
}

void upstream_attempt::on_read(http_channel& /*channel*/, error_code error)
{
    input_ended_ = input_ended_ || error;
    broken_ = broken_ || (error && error != asio::error::eof);
    if (owner_ == nullptr) {
        return;
    }
    if (has_head_) {
        owner_->on_attempt_body(*this);
        return;
    }
    parse_head();
}

void upstream_attempt::parse_head()
{
    auto& input = channel_->input();
    error_code error;
    while (input.size() > 0 && !parser_->is_header_done() && !error) {
        const auto used = parser_->put(input.data(), error);
        input.consume(used);
        heads_bytes_ += used;
        const bool interim = parser_->is_header_done() && response().result_int() < 200;
        if (interim && heads_bytes_ > options_.head_bytes) {
            fail(failure_now());
            return;
        }
        if (interim) {
            reset_parser();
        }
    }
    if (parser_->is_header_done() && !error) {
        if (!is_sound(response())) {
            fail(failure_now());
            return;
        }
        has_head_ = true;
        no_body_ = parser_->is_done();
        owner_->on_attempt_head(*this);
        return;
    }
    if ((error && error != http::error::need_more) || input_ended_ || channel_->is_full()) {
        fail(failure_now());
        return;
    }
    channel_->read();
}

upstream_attempt::body_state upstream_attempt::take_body(std::string& out, std::size_t limit)
{
    error_code error;
    auto& input = channel_->input();
    if (!channel_->reading()) {
        take_body_bytes(*parser_, input, out, limit, error);
    }
    if (!error && !parser_->is_done() && input_ended_ && out.size() < limit) {
        if (broken_ || !needs_eof() || input.size() > 0) {
            return body_state::broken;
        }
        parser_->put_eof(error);
    }
    if (error) {
        return body_state::broken;
    }
    if (parser_->is_done()) {
        return body_state::complete;
    }
    if (channel_->is_full() && out.empty()) {
        return body_state::broken; // chunk framing that never ends
    }
    if (out.size() < limit) {
        channel_->read();
    }
    return body_state::more;
}

void upstream_attempt::release()
{
    owner_ = nullptr;
    if (!channel_) {
        return;
    }
    auto channel = std::exchange(channel_, nullptr);
    channel->set_owner(nullptr);
    const bool reusable = request_complete_ && !sending_ && !input_ended_ && parser_->is_done() &&
                          parser_->keep_alive() && channel->input().size() == 0 &&
                          !channel->reading();
    if (reusable) {
        pool_.give_back(options_.address, channel);
    } else {
        channel->close();
    }
}

void upstream_attempt::abandon()
{
    owner_ = nullptr;
    connect_timer_.cancel();
    if (channel_) {
        channel_->set_owner(nullptr);
        channel_->close();
    }
}

void upstream_attempt::expire()
{
    if (has_head_) {
        return;
    }
    const auto failure = failure_now();
    fail(failure == attempt_failure::not_sent ? failure : attempt_failure::timed_out);
}

attempt_failure upstream_attempt::failure_now() const
{
    const bool sent = channel_ && channel_->sent_bytes() > sent_before_;
    return sent ? attempt_failure::broken : attempt_failure::not_sent;
}

void upstream_attempt::fail(attempt_failure failure)
{
    auto* owner = owner_;
    if (owner == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    abandon();
    owner->on_attempt_failed(*this, failure);
}

} // namespace camphor::shell
