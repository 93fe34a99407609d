// Servers whose answers never end, for the tests of HTTP clients.
#pragma once

#include <utility>

#include "libshell/test_io.h"

#include <array>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace camphor::shell::test {

using boost::system::error_code;

/// Bytes that the two ends of a loopback connection may hold beside what the client reads.
inline constexpr std::size_t kernel_bytes = 16ULL * 1024 * 1024;
/// Written at the most, so that a client that never closes ends the test.
inline constexpr std::size_t most_bytes = 96ULL * 1024 * 1024;

/// Answers every request with `start` and then with `piece` without end, until the client closes.
class endless_server {
public:
    endless_server(asio::io_context& io, std::string start, std::string piece)
        : start_(std::move(start)), piece_(std::move(piece)),
          acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        constexpr std::size_t at_once = 32'768;
        const auto one = piece_;
        while (!one.empty() && piece_.size() < at_once) {
            piece_ += one;
        }
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::size_t written() const { return written_; }
    /// Connections that the client closed.
    int closed() const { return closed_; }

private:
    struct connection {
        explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
        tcp::socket socket;
        std::array<char, 4'096> request{};
    };

    void accept()
    {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            const auto made = std::make_shared<connection>(std::move(socket));
            made->socket.async_read_some(asio::buffer(made->request),
                                         [this, made](error_code, std::size_t) {
                                             send(made, start_.empty() ? piece_ : start_);
                                         });
            accept();
        });
    }

    void send(const std::shared_ptr<connection>& to, const std::string& bytes)
    {
        asio::async_write(to->socket, asio::buffer(bytes),
                          [this, to](error_code error, std::size_t size) {
                              written_ += size;
                              if (error) {
                                  ++closed_;
                              } else if (written_ < most_bytes && !piece_.empty()) {
                                  send(to, piece_);
                              }
                          });
    }

    std::string start_;
    std::string piece_;
    tcp::acceptor acceptor_;
    std::size_t written_ = 0;
    int closed_ = 0;
};

/// Long streams take more turns than other tests of the shell.
inline bool run_long(asio::io_context& io, const std::function<bool()>& done)
{
    constexpr int rounds = 400;
    for (int i = 0; i < rounds && !done(); ++i) {
        run_until(io, done);
    }
    return done();
}

struct endless_case {
    const char* name;
    std::string start;
    std::string piece;
};

inline std::ostream& operator<<(std::ostream& out, const endless_case& item)
{
    return out << item.name;
}

/// Streams that are no whole answer and never end; `good_head` is a status line with fields.
inline std::vector<endless_case> endless_answers(const std::string& good_head)
{
    const std::string text(1'000, 'a');
    const auto chunked_head = good_head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"bytes that are no head", "", std::string(1'000, '\x7f')},
        {"a field without end", "HTTP/1.1 200 OK\r\nA: ", text},
        {"fields without end", "HTTP/1.1 200 OK\r\n", "A: " + text + "\r\n"},
        {"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunks without end", chunked_head, "3e8\r\n" + text + "\r\n"},
        {"a chunk's extension without end", chunked_head + "1;", text},
        {"trailers without end", chunked_head + "0\r\n", "A: " + text + "\r\n"},
        {"a body that ends with the connection", good_head + "\r\n", text},
        {"a body of a terabyte", good_head + "Content-Length: 1000000000000\r\n\r\n", text},
    };
}

} // namespace camphor::shell::test
