// Asynchronous HTTP server of the stand-ins, based on Boost.Beast.
#include "http_server.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <optional>

namespace camphor::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 64U * 1024;

std::string to_lower(boost::beast::string_view text)
{
    std::string out(text);
    for (auto& c : out) {
        c = boost::beast::detail::ascii_tolower(c);
    }
    return out;
}

http_request to_request(http::request<http::string_body>&& message)
{
    http_request out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const auto& field : message) {
        out.headers[to_lower(field.name_string())] = std::string(field.value());
    }
    out.body = std::move(message.body());
    return out;
}

/// Serves one connection without pipelining. Invariant: the next request is read only after the
/// response to the previous request was written.
class connection final : public http_exchange, public std::enable_shared_from_this<connection> {
public:
    connection(asio::ip::tcp::socket socket, const http_handler& handler)
        : socket_(std::move(socket)), handler_(handler)
    {
        error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        parser_->header_limit(max_header_bytes);
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](error_code error, std::size_t) { self->on_read(error); });
    }

    void answer(http_response response) override
    {
        if (!pending_) {
            return;
        }
        pending_ = false;
        close_handler_ = nullptr;
        http::response<http::string_body> message;
        message.version(11);
        message.result(static_cast<unsigned>(response.status));
        message.set(http::field::content_type, response.content_type);
        for (const auto& [name, value] : response.headers) {
            message.set(name, value);
        }
        message.body() = std::move(response.body);
        message.keep_alive(keep_alive_ && !response.close);
        message.prepare_payload();
        response_ = std::move(message);
        http::async_write(
            socket_, response_,
            [self = shared_from_this()](error_code error, std::size_t) { self->on_write(error); });
    }

    void drop() override
    {
        if (pending_) {
            pending_ = false;
            close_handler_ = nullptr;
            close();
        }
    }

    void set_close_handler(std::function<void()> handler) override
    {
        close_handler_ = std::move(handler);
    }

private:
    void on_read(error_code error)
    {
        if (error == http::error::end_of_stream || error == asio::error::connection_reset ||
            error == asio::error::eof || error == asio::error::operation_aborted) {
            close();
            return;
        }
        pending_ = true;
        if (error) {
            keep_alive_ = false;
            const int status = error == http::error::body_limit ? 413 : 400;
            answer({status, error.message() + "\n", "text/plain", {}, true});
            return;
        }
        keep_alive_ = parser_->keep_alive();
        ++request_number_;
        watch_for_disconnect();
        handler_(to_request(parser_->release()), shared_from_this());
    }

    /// Detects a client that disconnects while its request is being handled.
    void watch_for_disconnect()
    {
        socket_.async_wait(
            asio::socket_base::wait_read,
            [self = shared_from_this(), request = request_number_](error_code error) {
                if (!error && self->pending_ && self->request_number_ == request &&
                    self->has_peer_closed()) {
                    self->on_disconnect();
                }
            });
    }

    bool has_peer_closed()
    {
        char byte = 0;
        error_code error;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error && error != asio::error::would_block;
    }

    void on_disconnect()
    {
        pending_ = false;
        const auto handler = std::exchange(close_handler_, nullptr);
        close();
        if (handler) {
            handler();
        }
    }

    void on_write(error_code error)
    {
        if (error || !response_.keep_alive()) {
            close();
            return;
        }
        read();
    }

    void close()
    {
        error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    asio::ip::tcp::socket socket_;
    const http_handler& handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::function<void()> close_handler_;
    std::uint64_t request_number_ = 0;
    bool pending_ = false;
    bool keep_alive_ = true;
};

} // namespace

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_server::http_server(asio::io_context& io, const std::string& host, std::uint16_t port,
                         http_handler handler)
    : acceptor_(io, {asio::ip::make_address(host), port}), handler_(std::move(handler))
{
    accept();
}

void http_server::accept()
{
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<connection>(std::move(socket), handler_)->read();
        }
        accept();
    });
}

} // namespace camphor::standin
