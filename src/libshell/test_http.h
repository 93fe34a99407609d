// Loopback callers and backend servers for tests of the shell.
#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "libshell/call_server.h"

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace camphor::shell::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using response = http::response<http::string_body>;
using request = http::request<http::string_body>;

inline tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

/// A blocking caller.
class blocking_client {
public:
    explicit blocking_client(std::uint16_t port) : socket_(io_) { socket_.connect(loopback(port)); }

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }

    /// The next answer; `error` tells when it broke off.
    response receive(boost::system::error_code& error)
    {
        http::response_parser<response::body_type> parser;
        http::read(socket_, buffer_, parser, error);
        return parser.release();
    }

    response receive()
    {
        boost::system::error_code error;
        auto out = receive(error);
        if (error) {
            throw boost::system::system_error(error);
        }
        return out;
    }

    response get(const std::string& target)
    {
        send("GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n");
        return receive();
    }

    /// True when the server closed the connection and sent nothing more.
    bool is_closed()
    {
        char byte = 0;
        boost::system::error_code error;
        socket_.read_some(asio::buffer(&byte, 1), error);
        return error.failed();
    }

    void close() { socket_.close(); }

private:
    asio::io_context io_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

/// A backend server with a thread a connection. `handler` writes the whole answer; the connection
/// closes when it returns false.
class raw_backend {
public:
    using handler = std::function<bool(tcp::socket&, const request&)>;

    explicit raw_backend(handler handle)
        : handle_(std::move(handle)), acceptor_(io_, loopback(0)),
          acceptor_thread_([this] { accept(); })
    {
    }
    raw_backend(const raw_backend&) = delete;
    raw_backend& operator=(const raw_backend&) = delete;
    raw_backend(raw_backend&&) = delete;
    raw_backend& operator=(raw_backend&&) = delete;

    ~raw_backend()
    {
        stopping_ = true;
        wake();
        acceptor_thread_.join();
        const std::lock_guard lock(mutex_);
        for (auto& socket : sockets_) {
            boost::system::error_code ignored;
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
        for (auto& thread : threads_) {
            thread.join();
        }
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int connections() const { return connections_; }
    int requests() const { return requests_; }

private:
    void wake() const
    {
        asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
    }

    void accept()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(io_);
            acceptor_.accept(*socket);
            if (stopping_) {
                return;
            }
            ++connections_;
            const std::lock_guard lock(mutex_);
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket& socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        bool open = true;
        while (open) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::numeric_limits<std::uint64_t>::max());
            http::read(socket, buffer, parser, error);
            if (error) {
                return;
            }
            ++requests_;
            open = handle_(socket, parser.get());
        }
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    handler handle_;
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::atomic<int> requests_ = 0;
    std::mutex mutex_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_thread_;
};

inline void write_text(tcp::socket& socket, const std::string& text)
{
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

inline std::string answer_text(const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
           "\r\n" + body;
}

/// A backend server that answers with the request's target and body.
inline raw_backend::handler echo()
{
    return [](tcp::socket& socket, const request& received) {
        write_text(socket, answer_text(std::string(received.target()) + " " + received.body()));
        return true;
    };
}

/// A call server on its own thread, driven by a scripted decision in place of the reducer.
class served : public event_sink {
public:
    using decision = std::function<void(call_server&, const call_event&)>;

    explicit served(decision decide, call_server_settings settings = {})
        : decide_(std::move(decide)), server_(io_, at_loopback(std::move(settings)), *this)
    {
        server_.start();
        port_ = server_.port();
        thread_ = std::thread([this] { io_.run(); });
    }
    served(const served&) = delete;
    served& operator=(const served&) = delete;
    served(served&&) = delete;
    served& operator=(served&&) = delete;

    ~served() override
    {
        asio::post(io_, [this] {
            server_.shut_down();
            asio::post(io_, [this] { io_.stop(); });
        });
        thread_.join();
    }

    std::uint16_t port() const { return port_; }
    call_server& server() { return server_; }
    asio::io_context& io() { return io_; }

    void post(event happened) override
    {
        const auto& item = std::get<call_event>(happened);
        {
            const std::lock_guard lock(mutex_);
            events_.push_back(item);
        }
        decide_(server_, item);
    }

    /// Waits until an event of that type was posted; gives the first one.
    template <class Event>
    Event wait_for()
    {
        while (true) {
            {
                const std::lock_guard lock(mutex_);
                for (const auto& item : events_) {
                    if (const auto* found = std::get_if<Event>(&item)) {
                        return *found;
                    }
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    static call_server_settings at_loopback(call_server_settings settings)
    {
        settings.host = "127.0.0.1";
        settings.node = "node-a";
        return settings;
    }

    decision decide_;
    asio::io_context io_{1};
    call_server server_;
    std::mutex mutex_;
    std::vector<call_event> events_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

/// Deadline of an attempt, from now.
inline time_point after(duration span)
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch()) + span;
}

inline forward_call forward_to(const call_id& call, std::int32_t attempt, std::uint16_t port,
                               duration patience = std::chrono::seconds(30))
{
    forward_call out;
    out.call = call;
    out.attempt = attempt;
    out.host = "127.0.0.1";
    out.port = port;
    out.deadline = after(patience);
    return out;
}

/// Sends attempt N to the N-th port, relays the first answer, refuses when the ports run out. Only
/// the first attempt has to end within `patience`.
inline served::decision try_in_turn(const std::vector<std::uint16_t>& ports,
                                    duration patience = std::chrono::seconds(30),
                                    bool keep_answer = false)
{
    const auto forward = [=](call_server& server, const call_id& call, std::int32_t attempt) {
        auto order = forward_to(call, attempt, ports.at(attempt - 1),
                                attempt == 1 ? patience : std::chrono::seconds(30));
        order.keep_answer = keep_answer;
        server.perform(call_effect{order});
    };
    return [=](call_server& server, const call_event& event) {
        if (const auto* arrived = std::get_if<call_arrived>(&event)) {
            forward(server, arrived->call, 1);
        } else if (const auto* answered = std::get_if<attempt_answered>(&event)) {
            server.perform(call_effect{relay_answer{answered->call, answered->attempt}});
        } else if (const auto* failed = std::get_if<attempt_failed>(&event)) {
            const auto next = failed->attempt + 1;
            if (next <= static_cast<std::int32_t>(ports.size())) {
                forward(server, failed->call, next);
                return;
            }
            refuse_call refusal{failed->call, 503, "broken", "no backend server"};
            refusal.not_run = failed->failure == attempt_failure::not_sent;
            server.perform(call_effect{refusal});
        } else if (const auto* cancelled = std::get_if<call_cancelled>(&event)) {
            server.perform(call_effect{abandon_attempt{cancelled->call, 1}});
        }
    };
}

} // namespace camphor::shell::test
