// A single-threaded HTTP/1.1 server for the stand-ins, with keep-alive and asynchronous responses.
#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphor::standin {

/// A complete request. Header names are in lower case.
struct http_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of the header with this lower-case name, or empty.
    std::string header(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// Close the connection after this response.
    bool close = false;
};

/// A request whose response is pending. Invariant: it is answered or dropped at most once; later
/// calls have no effect.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    virtual ~http_exchange() = default;

    /// Sends the response.
    virtual void answer(http_response response) = 0;
    /// Closes the connection without a response.
    virtual void drop() = 0;
    /// Sets a function that runs when the client disconnects before the response.
    virtual void set_close_handler(std::function<void()> handler) = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(const http_request&, const http_exchange_ptr&)>;

/// Accepts connections until destroyed. Request bodies over 64 MiB are answered with status 413.
class http_server {
public:
    /// @throws boost::system::system_error when the address cannot be bound
    http_server(boost::asio::io_context& io, const std::string& host, std::uint16_t port,
                http_handler handler);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handler handler_;
};

} // namespace camphor::standin
