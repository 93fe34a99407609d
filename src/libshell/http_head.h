// Heads of HTTP/1.1 messages: what is refused, and what is passed on.
#pragma once

#include <utility>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <camphortally/event_call.h>

#include <optional>
#include <string>
#include <string_view>

namespace camphor::shell {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
using request_message = request_parser::value_type;
using response_message = response_parser::value_type;
using request_fields = boost::beast::http::request_header<>;
using response_fields = boost::beast::http::response_header<>;

namespace header_name {
inline constexpr const char* not_run = "Camphor-Not-Run";
/// Marks a call that another node forwarded.
inline constexpr const char* hop = "Camphor-Hop";
inline constexpr const char* service = "Camphor-Service";
inline constexpr const char* release = "Camphor-Release";
inline constexpr const char* caller = "Camphor-Caller";
/// Milliseconds that the sender will still wait.
inline constexpr const char* deadline = "Camphor-Deadline-Ms";
inline constexpr const char* replayed = "Camphor-Replayed";
inline constexpr const char* request_id = "X-Request-Id";
inline constexpr const char* idempotency_key = "Idempotency-Key";
} // namespace header_name

/// Why a request is refused before the reducer sees it.
struct head_fault {
    std::int32_t status = 0;
    std::string reason;
};

/// Status for a parser's error.
head_fault fault_of(boost::system::error_code error);

/// Rules beyond the parser's own that keep two readers of one connection in step: one Host, no
/// transfer coding but chunked, no second length.
std::optional<head_fault> check_request(const request_fields& request);
/// The same for answers; false when the answer cannot be passed on.
bool is_sound(const response_fields& response);

/// What the reducer sees. Absolute targets are reduced to their path.
call_head to_call_head(const request_message& request);

/// Request line and end-to-end fields, without the last empty line.
std::string forwarded_head(const request_message& request, const std::string& target,
                           const std::string& via);
/// Status line and end-to-end fields, without the last empty line.
std::string relayed_head(const response_message& response, const std::string& via);

/// Target in origin form: an absolute target is reduced to its path and query.
std::string origin_form(boost::beast::string_view target);
/// Host without its port, in lower case.
std::string host_name(boost::beast::string_view host);
/// Fields that are passed on end to end, one `Name: value` line each; those for which `drop` is
/// true are left out too.
std::string end_to_end_fields(const boost::beast::http::fields& fields,
                              bool (*drop)(std::string_view name));

/// Field names are the same but for case.
bool is_same_name(std::string_view left, std::string_view right);
void add_field(std::string& head, std::string_view name, std::string_view value);
/// `{"error":{"code","message"}}`
std::string error_json(const std::string& code, const std::string& message);
/// Standard phrase of a status.
std::string reason_of(std::int32_t status);

} // namespace camphor::shell
