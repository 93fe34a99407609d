// Helpers of the shell's tests: raw sockets on loopback and a bounded event loop.
#pragma once

#include <utility>

#include <boost/asio.hpp>

#include "libshell/event_sink.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace camphor::shell::test {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Turns the loop until `done` holds; false when it does not within the limit.
inline bool run_until(asio::io_context& io, const std::function<bool()>& done)
{
    constexpr int limit_turns = 2'000;
    for (int i = 0; i < limit_turns && !done(); ++i) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
    }
    return done();
}

/// A port that is free now.
inline std::uint16_t free_port()
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

/// Listens with a full queue of new connections, so that the system drops the opening packet of the
/// next one and sends it again about a second later.
class full_listener {
public:
    full_listener() : acceptor_(io_), filler_(io_)
    {
        const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any_port.protocol());
        acceptor_.bind(any_port);
        acceptor_.listen(0);
        filler_.connect(acceptor_.local_endpoint());
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Stalls the caller, and the event loop that it runs, until the connection that `io` has begun
    /// is open and a time limit of one second has expired; neither has been handled then.
    tcp::socket accept_during_pause(asio::io_context& io)
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(50));
        acceptor_.accept();
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        return acceptor_.accept();
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    tcp::socket filler_;
};

/// Runs the loop while handlers are due; returns what has arrived at the socket.
inline std::string read_available(asio::io_context& io, tcp::socket& socket)
{
    std::string received;
    for (int i = 0; i < 20; ++i) {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
        std::array<char, 4'096> part{};
        if (socket.available() > 0) {
            received.append(part.data(), socket.read_some(asio::buffer(part)));
        }
    }
    return received;
}

/// A client that writes bytes and collects what comes back.
class raw_client {
public:
    raw_client(asio::io_context& io, std::uint16_t port) : socket_(io)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        read();
    }

    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }
    void half_close()
    {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    const std::string& received() const { return received_; }
    bool is_closed() const { return closed_; }

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(chunk_),
                                [this](boost::system::error_code error, std::size_t bytes) {
                                    received_.append(chunk_.data(), bytes);
                                    closed_ = static_cast<bool>(error);
                                    if (!closed_) {
                                        read();
                                    }
                                });
    }

    tcp::socket socket_;
    std::array<char, 4'096> chunk_{};
    std::string received_;
    bool closed_ = false;
};

/// Keeps the events it is given.
class recording_sink : public event_sink {
public:
    void post(event happened) override { events.push_back(std::move(happened)); }

    std::vector<event> events;
};

} // namespace camphor::shell::test
