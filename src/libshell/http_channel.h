// A TCP connection that carries HTTP/1.1: bounded input buffer, one write at a time.
#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace camphor::shell {

class http_channel;

/// Hears what becomes of a channel's reads and writes.
class channel_owner {
public:
    virtual ~channel_owner() = default;
    /// Bytes were added to input(), or the connection ended.
    virtual void on_read(http_channel& channel, boost::system::error_code error) = 0;
    /// A flush that had not finished at once did so now.
    virtual void on_flushed(http_channel& channel, boost::system::error_code error) = 0;
};

/// Invariants: at most one read and one write are pending; input() is not consumed while a read is
/// pending, since the read writes behind its end.
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
    enum class flush_result : std::uint8_t { done, pending, failed };

    http_channel(boost::asio::ip::tcp::socket socket, std::size_t input_limit);

    /// Null while nobody wants to hear of it.
    void set_owner(channel_owner* owner) { owner_ = owner; }
    boost::asio::ip::tcp::socket& socket() { return socket_; }
    boost::beast::flat_buffer& input() { return input_; }
    /// What the next flush() sends; append to it while no flush is pending.
    std::string& output() { return output_; }

    /// Asks for more input; does nothing while a read is pending or after close().
    void read();
    bool reading() const { return reading_; }
    /// True when input() holds all that it may.
    bool is_full() const { return input_.size() >= input_limit_; }
    /// Sends output(). `sent_bytes()` tells afterwards whether any byte left.
    flush_result flush();
    bool flushing() const { return flushing_; }
    /// Bytes handed to the system since the channel was opened.
    std::uint64_t sent_bytes() const { return sent_bytes_; }

    /// Prepares a connected socket: no delay, non-blocking.
    void configure();
    void close();
    /// Closes so that the other side sees a broken connection, not an end.
    void reset();
    bool is_open() const { return socket_.is_open(); }
    /// Ends the sending direction only.
    void shutdown_send();
    /// Last time at which bytes moved.
    std::chrono::steady_clock::time_point last_progress() const { return last_progress_; }

private:
    void continue_flush();
    void note_progress() { last_progress_ = std::chrono::steady_clock::now(); }

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer input_;
    std::size_t input_limit_;
    std::string output_;
    std::size_t output_sent_ = 0;
    std::uint64_t sent_bytes_ = 0;
    channel_owner* owner_ = nullptr;
    bool reading_ = false;
    bool flushing_ = false;
    std::chrono::steady_clock::time_point last_progress_ = std::chrono::steady_clock::now();
};

} // namespace camphor::shell
