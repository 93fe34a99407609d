// HTTP exchange, timeout and response validation of one attempt.
#include "call_attempt.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace camphor::load {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t max_response_bytes = 64ULL * 1'024 * 1'024;

http::request<http::string_body> make_request(const call_kind& kind, const call_record& record)
{
    constexpr int http_1_1 = 11;
    http::request<http::string_body> request;
    request.version(http_1_1);
    request.method_string(kind.method);
    request.target(kind.path);
    request.set(http::field::host, record.target);
    for (const auto& [name, value] : kind.headers) {
        request.set(name, value);
    }
    request.set("X-Request-Id", record.request_id);
    if (!record.key.empty()) {
        request.set("Idempotency-Key", record.key);
    }
    // The body depends on the call id only, so that every attempt with one key has the same body.
    request.body() = pattern_body(record.call_id, kind.body_bytes);
    request.prepare_payload();
    return request;
}

template <class Message>
std::string header(const Message& message, const char* name)
{
    const auto value = message[name];
    return {value.data(), value.size()};
}

std::uint64_t hash_body(const std::string& body)
{
    return std::hash<std::string>{}(body);
}

} // namespace

epoch_clock::epoch_clock()
    : steady_origin_(std::chrono::steady_clock::now()),
      epoch_origin_ms_(std::chrono::duration<double, std::milli>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count())
{
}

double epoch_clock::now_ms() const
{
    return to_ms(std::chrono::steady_clock::now());
}

double epoch_clock::to_ms(std::chrono::steady_clock::time_point time) const
{
    return epoch_origin_ms_ +
           std::chrono::duration<double, std::milli>(time - steady_origin_).count();
}

call_result classify_status(std::int32_t status, bool not_run)
{
    constexpr std::int32_t first_client_error = 400;
    constexpr std::int32_t first_server_error = 500;
    constexpr std::int32_t service_unavailable = 503;
    if (not_run) {
        return call_result::refused_not_run;
    }
    if (status < first_client_error) {
        return call_result::ok;
    }
    return status < first_server_error || status == service_unavailable ? call_result::refused
                                                                        : call_result::failed;
}

call_attempt::call_attempt(boost::asio::io_context& io, connection_pool& pool,
                           const epoch_clock& clock, const call_kind& kind, call_record record,
                           std::vector<std::string> attempt_ids, completion_handler on_complete)
    : pool_(pool), clock_(clock), kind_(kind), record_(std::move(record)),
      attempt_ids_(std::move(attempt_ids)), on_complete_(std::move(on_complete)), timer_(io)
{
    record_.target = pool_.target_name();
    record_.expected_bytes = static_cast<std::int64_t>(kind_.expected_bytes.value_or(0));
    parser_.body_limit(max_response_bytes);
}

void call_attempt::start()
{
    timer_.expires_after(kind_.timeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error) {
            self->on_timeout();
        }
    });
    pool_.acquire(
        [self = shared_from_this()](connection_ptr conn) { self->on_connection(std::move(conn)); });
}

void call_attempt::on_connection(connection_ptr conn)
{
    if (finished_) {
        pool_.release(conn, conn->connected);
        return;
    }
    connection_ = std::move(conn);
    if (connection_->connected) {
        send();
        return;
    }
    // Each handler captures a reference to the connection, since a timeout releases the attempt's
    // own reference while the operation is still pending.
    connection_->stream.async_connect(
        pool_.endpoint(),
        [self = shared_from_this(), connection_ref = connection_](const error_code& error) {
            if (error) {
                self->fail("connect", error);
                return;
            }
            if (self->finished_) {
                return;
            }
            error_code ignored;
            self->connection_->connected = true;
            self->connection_->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                                          ignored);
            self->send();
        });
}

void call_attempt::send()
{
    request_ = make_request(kind_, record_);
    record_.sent_ms = clock_.now_ms();
    http::async_write(connection_->stream, request_,
                      [self = shared_from_this(),
                       connection_ref = connection_](const error_code& error, std::size_t) {
                          if (error) {
                              self->fail("send", error);
                          } else if (!self->finished_) {
                              self->receive();
                          }
                      });
}

void call_attempt::receive()
{
    http::async_read(connection_->stream, connection_->buffer, parser_,
                     [self = shared_from_this(),
                      connection_ref = connection_](const error_code& error, std::size_t) {
                         if (error) {
                             self->fail("receive", error);
                             return;
                         }
                         self->on_response();
                     });
}

void call_attempt::on_response()
{
    if (finished_) {
        return;
    }
    const auto& response = parser_.get();
    record_.status = static_cast<std::int32_t>(response.result_int());
    record_.answer_request_id = header(response, "X-Request-Id");
    record_.backend = header(response, "Backend-Name");
    record_.release = header(response, "Backend-Release");
    record_.run_id = header(response, "Backend-Run");
    record_.body_bytes = static_cast<std::int64_t>(response.body().size());
    record_.body_hash = hash_body(response.body());
    auto result = classify_status(record_.status, header(response, "Camphor-Not-Run") == "true");
    if (result == call_result::ok) {
        validate_body();
        const bool is_whole =
            record_.body == body_status::whole || record_.body == body_status::unchecked;
        result = is_whole ? result : call_result::failed;
    } else {
        record_.error = "status " + std::to_string(record_.status);
    }
    finish(result, response.keep_alive());
}

void call_attempt::validate_body()
{
    const auto& response_id = record_.answer_request_id;
    const bool is_own_id =
        std::find(attempt_ids_.begin(), attempt_ids_.end(), response_id) != attempt_ids_.end();
    if (!response_id.empty() && !is_own_id) {
        record_.body = body_status::crossed;
    } else if (kind_.expected_bytes) {
        const auto compare_with = [this](const std::string& attempt_id) {
            return check_body(attempt_id, parser_.get().body(), *kind_.expected_bytes);
        };
        // A replayed response may carry the request id of this attempt with the body that was
        // generated for an earlier attempt.
        const bool is_whole =
            std::any_of(attempt_ids_.begin(), attempt_ids_.end(), [&](const auto& attempt_id) {
                return compare_with(attempt_id) == body_status::whole;
            });
        record_.body = is_whole ? body_status::whole
                                : compare_with(is_own_id ? response_id : record_.request_id);
    }
    if (record_.body == body_status::crossed || record_.body == body_status::truncated) {
        record_.error = "answer " + to_string(record_.body);
    }
}

void call_attempt::on_timeout()
{
    record_.error = "timed out";
    finish(call_result::timed_out, false);
}

void call_attempt::fail(const std::string& stage, const error_code& error)
{
    if (finished_) {
        return;
    }
    // Headers received before the connection broke identify the request that was answered.
    if (parser_.is_header_done()) {
        record_.status = static_cast<std::int32_t>(parser_.get().result_int());
        record_.answer_request_id = header(parser_.get(), "X-Request-Id");
        record_.body_bytes = static_cast<std::int64_t>(parser_.get().body().size());
    }
    record_.error = stage + ": " + error.message();
    finish(call_result::failed, false);
}

void call_attempt::finish(call_result result, bool reusable)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    timer_.cancel();
    record_.result = result;
    record_.ended_ms = clock_.now_ms();
    if (record_.sent_ms == 0) {
        record_.sent_ms = record_.ended_ms;
    }
    if (connection_) {
        pool_.release(std::exchange(connection_, nullptr), reusable);
    }
    on_complete_(record_);
}

} // namespace camphor::load
