// A blocking HTTP client for the command-line tools.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

namespace camphor::shell {

struct http_endpoint {
    /// An IP address.
    std::string host;
    std::uint16_t port = 0;
};

/// Reads `HOST:PORT`; an IPv6 address stands in brackets.
/// @throws invalid_input when the text is something else
http_endpoint parse_endpoint(const std::string& text);

struct http_call {
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_answer {
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// No answer came.
class http_failure : public std::runtime_error {
public:
    http_failure(const std::string& reason, bool was_sent)
        : std::runtime_error(reason), was_sent_(was_sent)
    {
    }

    /// True when the server may have acted on the request.
    bool was_sent() const { return was_sent_; }

private:
    bool was_sent_;
};

/// Keeps one connection and opens it anew when it broke.
class http_client {
public:
    /// `timeout` bounds each call, connecting included.
    http_client(http_endpoint server, std::chrono::milliseconds timeout);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// @throws http_failure when no whole answer came in time
    http_answer send(const http_call& call);

    /// Takes one line; false ends the stream.
    using line_handler = std::function<bool(const std::string&)>;
    /// Reads an answer of lines until the handler ends it, the server does, or `limit` has passed.
    /// The returned body holds what followed the last whole line.
    /// @throws http_failure when the answer's head does not come in time
    http_answer stream(const http_call& call, const line_handler& handle,
                       std::chrono::milliseconds limit);

private:
    class connection;
    std::unique_ptr<connection> self_;
};

} // namespace camphor::shell
