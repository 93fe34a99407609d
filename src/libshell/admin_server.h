// HTTP server of the admin listener: connections, limits and streams. What is served is up to the
// handler.
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphor::shell {

struct api_request {
    std::string method;
    /// Decoded path, without the query.
    std::string path;
    /// Decoded query parameters.
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    std::string remote_address;

    /// The header's value, or empty.
    std::string header(const std::string& name) const;
};

struct api_reply {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Sent as ETag when not empty.
    std::string etag{};
};

/// Answers one request, once, now or later. Copies share the request.
class responder {
public:
    virtual ~responder() = default;
    virtual void send(const api_reply& reply) = 0;
    /// Starts a chunked answer of JSON lines.
    virtual void start_stream() = 0;
    /// False once the reader is gone or reads too slowly; the stream is then over.
    virtual bool send_line(const std::string& line) = 0;
};
using responder_ptr = std::shared_ptr<responder>;

struct admin_settings {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t connection_limit = 256;
    std::uint64_t body_limit_bytes = 1ULL * 1024 * 1024;
    std::uint32_t header_limit_bytes = 16U * 1024;
};

/// Listens on the configured address only. Oversized, malformed and slow requests are answered with
/// an error or closed; they hold up nobody else.
class admin_server {
public:
    using handler = std::function<void(const api_request&, const responder_ptr&)>;

    admin_server(boost::asio::io_context& io, admin_settings settings, handler handle);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// @throws boost::system::system_error when it cannot listen
    void start();
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::shell
