// HTTP server of the admin listener, by Boost.Beast.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "libshell/admin_server.h"
#include "libshell/url.h"

#include <camphortally/error.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <sstream>

namespace camphor::shell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// A request must be whole, and an answer taken, within this time.
constexpr auto transfer_limit = 10s;
/// Lines waiting for a slow reader of a stream; its stream then ends.
constexpr std::size_t stream_queue_lines = 4'096;
/// An empty line tells a silent stream's reader that it is alive.
constexpr auto stream_heartbeat = 5s;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// @throws invalid_input on a broken percent escape in the target
api_request read_request(const http::request<http::string_body>& message, std::string address)
{
    api_request out;
    out.method = std::string(message.method_string());
    auto target = split_target(std::string(message.target()));
    out.path = percent_decode(target.path);
    out.query = std::move(target.query);
    for (const auto& field : message) {
        out.headers[lower(std::string(field.name_string()))] = std::string(field.value());
    }
    out.body = message.body();
    out.remote_address = std::move(address);
    return out;
}

api_reply parse_failure(error_code error)
{
    const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
    api_reply out;
    out.status = too_large ? 413 : 400;
    out.body = too_large ? R"({"error":{"code":"too_large","message":"the request is too large"}})"
                         : R"({"error":{"code":"malformed","message":"not an HTTP request"}})";
    return out;
}

} // namespace

std::string api_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

class admin_server::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, admin_settings given, handler function)
        : io(context), settings(std::move(given)), handle(std::move(function)), acceptor(context)
    {
    }

    class connection;

    void start();
    void accept_next();

    asio::io_context& io;
    admin_settings settings;
    handler handle;
    tcp::acceptor acceptor;
    std::set<connection*> connections;
    bool closed = false;
};

/// One connection; serves requests one after another.
class admin_server::implementation::connection : public std::enable_shared_from_this<connection>,
                                                 public responder {
public:
    connection(std::shared_ptr<implementation> server, tcp::socket socket)
        : server_(std::move(server)), stream_(std::move(socket)), heartbeat_(server_->io)
    {
        server_->connections.insert(this);
        error_code ignored;
        address_ = stream_.socket().remote_endpoint(ignored).address().to_string();
    }
    ~connection() override { server_->connections.erase(this); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void read()
    {
        parser_.emplace();
        parser_->body_limit(server_->settings.body_limit_bytes);
        parser_->header_limit(server_->settings.header_limit_bytes);
        stream_.expires_after(transfer_limit);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code error, std::size_t) { self->on_read(error); });
    }

    void send(const api_reply& reply) override
    {
        response_ = {static_cast<http::status>(reply.status), 11};
        response_.set(http::field::content_type, reply.content_type);
        if (!reply.etag.empty()) {
            response_.set(http::field::etag, reply.etag);
        }
        response_.keep_alive(keep_alive_);
        response_.body() = reply.body;
        response_.prepare_payload();
        stream_.expires_after(transfer_limit);
        http::async_write(stream_, response_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              self->on_written(error);
                          });
    }

    void start_stream() override
    {
        lines_.emplace_back("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
        stream_.expires_never();
        watch_reader();
        beat();
        write_next();
    }

    bool send_line(const std::string& line) override
    {
        if (gone_ || lines_.size() >= stream_queue_lines) {
            close();
            return false;
        }
        std::ostringstream chunk;
        chunk << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
        lines_.push_back(chunk.str());
        if (lines_.size() == 1) {
            write_next();
        }
        return true;
    }

    void close()
    {
        gone_ = true;
        heartbeat_.cancel();
        error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
    }

private:
    void on_read(error_code error)
    {
        if (error == http::error::end_of_stream || server_->closed) {
            close();
            return;
        }
        const bool is_parse_error =
            error && error.category() == make_error_code(http::error::bad_method).category();
        if (is_parse_error) {
            keep_alive_ = false;
            send(parse_failure(error));
            return;
        }
        if (error) {
            close();
            return;
        }
        const auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        // The handler may answer later than the transfer limit.
        stream_.expires_never();
        try {
            server_->handle(read_request(message, address_), shared_from_this());
        } catch (const invalid_input&) {
            keep_alive_ = false;
            send(parse_failure({}));
        }
    }

    void on_written(error_code error)
    {
        if (error || !keep_alive_ || server_->closed) {
            close();
            return;
        }
        read();
    }

    /// A stream's reader sends nothing: a read ends when it goes away.
    void watch_reader()
    {
        stream_.socket().async_read_some(
            asio::buffer(unused_),
            [self = shared_from_this()](error_code, std::size_t) { self->close(); });
    }

    void beat()
    {
        heartbeat_.expires_after(stream_heartbeat);
        heartbeat_.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->send_line("")) {
                self->beat();
            }
        });
    }

    void write_next()
    {
        if (lines_.empty() || gone_) {
            return;
        }
        asio::async_write(stream_.socket(), asio::buffer(lines_.front()),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->lines_.pop_front();
                              self->write_next();
                          });
    }

    std::shared_ptr<implementation> server_;
    beast::tcp_stream stream_;
    asio::steady_timer heartbeat_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::string address_;
    bool keep_alive_ = false;
    bool gone_ = false;
    /// Chunks of a stream; the front one is being written.
    std::deque<std::string> lines_;
    std::array<char, 1> unused_{};
};

void admin_server::implementation::start()
{
    const tcp::endpoint endpoint(asio::ip::make_address(settings.host), settings.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    accept_next();
}

void admin_server::implementation::accept_next()
{
    acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        if (self->closed || error == asio::error::operation_aborted) {
            return;
        }
        if (!error && self->connections.size() < self->settings.connection_limit) {
            std::make_shared<connection>(self, std::move(socket))->read();
        }
        self->accept_next();
    });
}

admin_server::admin_server(asio::io_context& io, admin_settings settings, handler handle)
    : self_(std::make_shared<implementation>(io, std::move(settings), std::move(handle)))
{
}

admin_server::~admin_server()
{
    stop();
}

void admin_server::start()
{
    self_->start();
}

void admin_server::stop()
{
    self_->closed = true;
    error_code ignored;
    self_->acceptor.close(ignored);
    const auto open = self_->connections;
    for (auto* item : open) {
        item->close();
    }
}

} // namespace camphor::shell
