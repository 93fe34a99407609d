// A blocking HTTP client on Beast. Timeouts need asynchronous operations, so each step runs a
// private I/O context until it is done.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "libshell/http_client.h"

#include <camphortally/error.h>

#include <charconv>
#include <optional>

namespace camphor::shell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t answer_limit_bytes = 256ULL * 1024 * 1024;

std::string lower(beast::string_view text)
{
    std::string out(text);
    for (auto& c : out) {
        c = (c >= 'A' && c <= 'Z') ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return out;
}

template <class Message>
http_answer head_of(const Message& message)
{
    http_answer out;
    out.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
        out.headers[lower(field.name_string())] = std::string(field.value());
    }
    return out;
}

/// Hands whole lines of `text` on and removes them. False when the handler ends the stream.
bool take_lines(std::string& text, const http_client::line_handler& handle)
{
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n')) {
        const auto line = text.substr(0, end);
        text.erase(0, end + 1);
        if (!handle(line)) {
            return false;
        }
    }
    return true;
}

} // namespace

class http_client::connection {
public:
    connection(http_endpoint server, std::chrono::milliseconds timeout)
        : server_(std::move(server)), timeout_(timeout), stream_(io_)
    {
    }

    http_answer send(const http_call& call)
    {
        const bool reused = stream_.socket().is_open();
        try {
            return exchange(call);
        } catch (const http_failure& error) {
            // The server may close a kept connection at any time; only reads are safe to repeat.
            if (!reused || (error.was_sent() && call.method != "GET")) {
                throw;
            }
        }
        return exchange(call);
    }

    http_answer stream(const http_call& call, const line_handler& handle,
                       std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        stream_.close();
        stream_.expires_after(timeout_);
        write(call);
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        check(run([&](auto done) { http::async_read_header(stream_, buffer_, parser, done); }));
        auto out = head_of(parser.get());
        auto& text = parser.get().body();
        while (take_lines(text, handle) && !parser.is_done()) {
            stream_.expires_at(end);
            if (run([&](auto done) { http::async_read_some(stream_, buffer_, parser, done); })) {
                break;
            }
        }
        take_lines(text, handle);
        out.body = text;
        stream_.close();
        buffer_.clear();
        return out;
    }

private:
    http_answer exchange(const http_call& call)
    {
        stream_.expires_after(timeout_);
        write(call);
        http::response_parser<http::string_body> parser;
        parser.body_limit(answer_limit_bytes);
        check(run([&](auto done) { http::async_read(stream_, buffer_, parser, done); }));
        auto out = head_of(parser.get());
        out.body = parser.get().body();
        if (!parser.get().keep_alive()) {
            stream_.close();
        }
        return out;
    }

    void write(const http_call& call)
    {
        sent_ = false;
        if (!stream_.socket().is_open()) {
            buffer_.clear();
            const asio::ip::tcp::endpoint to(asio::ip::make_address(server_.host), server_.port);
            check(run([&](auto done) { stream_.async_connect(to, done); }));
            stream_.socket().set_option(asio::ip::tcp::no_delay(true));
        }
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(call.method);
        message.target(call.target);
        message.set(http::field::host, server_.host + ":" + std::to_string(server_.port));
        for (const auto& [name, value] : call.headers) {
            message.set(name, value);
        }
        message.body() = call.body;
        message.prepare_payload();
        sent_ = true;
        check(run([&](auto done) { http::async_write(stream_, message, done); }));
    }

    /// Starts one operation and waits for its end.
    template <class Start>
    error_code run(Start start)
    {
        error_code result = asio::error::would_block;
        start([&result](error_code error, auto&&...) { result = error; });
        io_.restart();
        io_.run();
        return result;
    }

    void check(error_code error)
    {
        if (error) {
            stream_.close();
            buffer_.clear();
            const auto where = server_.host + ":" + std::to_string(server_.port);
            throw http_failure(where + ": " + error.message(), sent_);
        }
    }

    http_endpoint server_;
    std::chrono::milliseconds timeout_;
    asio::io_context io_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    /// Some byte of the last call may have reached the server.
    bool sent_ = false;
};

http_endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    http_endpoint out;
    if (colon != std::string::npos) {
        out.host = text.substr(0, colon);
        if (out.host.starts_with('[') && out.host.ends_with(']')) {
            out.host = out.host.substr(1, out.host.size() - 2);
        }
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), out.port);
    }
    error_code error;
    asio::ip::make_address(out.host, error);
    if (error || out.port == 0) {
        throw invalid_input("", "\"" + text + "\" is not IP-ADDRESS:PORT");
    }
    return out;
}

http_client::http_client(http_endpoint server, std::chrono::milliseconds timeout)
    : self_(std::make_unique<connection>(std::move(server), timeout))
{
}

http_client::~http_client() = default;

http_answer http_client::send(const http_call& call)
{
    return self_->send(call);
}

http_answer http_client::stream(const http_call& call, const line_handler& handle,
                                std::chrono::milliseconds limit)
{
    return self_->stream(call, handle, limit);
}

} // namespace camphor::shell
