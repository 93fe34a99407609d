// Checks and rewriting of message heads.
#include "libshell/http_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace camphor::shell {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

/// Fields that concern one connection only (RFC 9110 7.6.1), and those that nodes set themselves.
constexpr std::array<std::string_view, 16> dropped_fields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "TE",
                                                          "Trailer",
                                                          "Upgrade",
                                                          "Transfer-Encoding",
                                                          "Content-Length",
                                                          "Expect",
                                                          header_name::hop,
                                                          header_name::service,
                                                          header_name::release,
                                                          header_name::caller,
                                                          header_name::deadline,
                                                          header_name::not_run};

bool is_dropped(string_view name)
{
    return std::any_of(dropped_fields.begin(), dropped_fields.end(), [&](std::string_view dropped) {
        return is_same_name({name.data(), name.size()}, dropped);
    });
}

/// True when the Connection field names `name`.
template <class Fields>
bool is_connection_option(const Fields& fields, string_view name)
{
    const auto options = fields.equal_range(http::field::connection);
    return std::any_of(options.first, options.second, [&](const auto& field) {
        return http::token_list{field.value()}.exists(name);
    });
}

template <class Fields>
bool has_sound_framing(const Fields& fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    const auto lengths = fields.count(http::field::content_length);
    if (codings + lengths > 1) {
        return false;
    }
    return codings == 0 || iequals(fields[http::field::transfer_encoding], "chunked");
}

std::string lower(string_view text)
{
    std::string out(text.size(), '\0');
    std::transform(text.begin(), text.end(), out.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return out;
}

} // namespace

/// "Desk.example:8080" gives "desk.example"; a bracketed IPv6 address keeps its colons.
std::string host_name(string_view host)
{
    const auto after_bracket = host.rfind(']');
    const auto colon = host.rfind(':');
    const bool has_port =
        colon != string_view::npos && (after_bracket == string_view::npos || colon > after_bracket);
    return lower(has_port ? host.substr(0, colon) : host);
}

std::string origin_form(string_view target)
{
    const auto scheme = target.find("://");
    if (target.empty() || target.front() == '/' || scheme == string_view::npos) {
        return std::string(target);
    }
    const auto path = target.find('/', scheme + 3);
    return path == string_view::npos ? "/" : std::string(target.substr(path));
}

std::string end_to_end_fields(const http::fields& fields, bool (*drop)(std::string_view name))
{
    std::string head;
    const bool has_options = fields.count(http::field::connection) > 0;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const std::string_view plain(name.data(), name.size());
        if (is_dropped(name) || drop(plain) ||
            (has_options && is_connection_option(fields, name))) {
            continue;
        }
        add_field(head, plain, {field.value().data(), field.value().size()});
    }
    return head;
}

head_fault fault_of(boost::system::error_code error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return {431, "the head is too long"};
    }
    if (error == http::error::body_limit) {
        return {413, "the body is too long"};
    }
    return {400, error.message()};
}

std::optional<head_fault> check_request(const request_fields& request)
{
    if (request.version() != 11 && request.version() != 10) {
        return head_fault{505, "only HTTP/1.1 and HTTP/1.0 are served"};
    }
    const auto hosts = request.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() == 11)) {
        return head_fault{400, "exactly one Host field is required"};
    }
    if (!has_sound_framing(request)) {
        return head_fault{400, "the length of the body is ambiguous"};
    }
    if (request.version() == 10 && request.count(http::field::transfer_encoding) > 0) {
        return head_fault{400, "HTTP/1.0 has no transfer coding"};
    }
    const auto method = request.method();
    if (method == http::verb::connect || method == http::verb::trace) {
        return head_fault{501, "the method is not supported"};
    }
    const auto target = origin_form(request.target());
    if (target.empty() || target.front() != '/') {
        return head_fault{400, "the target is not a path"};
    }
    return std::nullopt;
}

bool is_sound(const response_fields& response)
{
    return has_sound_framing(response) && response.result_int() >= 200;
}

call_head to_call_head(const request_message& request)
{
    call_head out;
    out.method = std::string(request.method_string());
    out.host = host_name(request[http::field::host]);
    out.target = origin_form(request.target());
    for (const auto& field : request) {
        auto& value = out.headers[lower(field.name_string())];
        if (!value.empty()) {
            value += ", ";
        }
        value.append(field.value().data(), field.value().size());
    }
    return out;
}

bool is_same_name(std::string_view left, std::string_view right)
{
    return iequals(string_view(left.data(), left.size()), string_view(right.data(), right.size()));
}

void add_field(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string forwarded_head(const request_message& request, const std::string& target,
                           const std::string& via)
{
    std::string head;
    head.reserve(512);
    const auto method = request.method_string();
    head.append(method.data(), method.size()).append(" ").append(target).append(" HTTP/1.1\r\n");
    head += end_to_end_fields(request, [](std::string_view) { return false; });
    add_field(head, "Via", via);
    return head;
}

std::string relayed_head(const response_message& response, const std::string& via)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.result_int()) + " ";
    head.reserve(512);
    const auto reason = response.reason();
    head.append(reason.data(), reason.size()).append("\r\n");
    head += end_to_end_fields(response, [](std::string_view) { return false; });
    add_field(head, "Via", via);
    return head;
}

std::string error_json(const std::string& code, const std::string& message)
{
    const nlohmann::json body{{"error", {{"code", code}, {"message", message}}}};
    return body.dump();
}

std::string reason_of(std::int32_t status)
{
    const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    return std::string(reason);
}

} // namespace camphor::shell
