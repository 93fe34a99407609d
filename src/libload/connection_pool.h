// Pool of keep-alive connections to one target, with an upper limit.
#pragma once

#include "load_run.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace camphor::load {

/// One connection and the bytes received beyond the last response.
struct connection {
    explicit connection(boost::asio::io_context& io) : stream(io) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool connected = false;
};
using connection_ptr = std::shared_ptr<connection>;

/// Lends connections to call attempts. Invariant: open_count_ is the number of lent and idle
/// connections and is at most max_open_.
class connection_pool {
public:
    /// Receives a connection; the caller must connect it when `connected` is false.
    using connection_handler = std::function<void(connection_ptr)>;

    connection_pool(boost::asio::io_context& io, const target_address& target,
                    std::size_t max_open);

    /// Calls `handler` immediately when a connection is idle or may be opened, otherwise as soon as
    /// one is released. Waiting handlers are served in FIFO order.
    void acquire(connection_handler handler);
    /// Returns a connection to the pool; closes it when it is not reusable.
    void release(const connection_ptr& conn, bool reusable);

    const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
    const std::string& target_name() const { return target_name_; }

private:
    connection_ptr pop_idle();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint endpoint_;
    std::string target_name_;
    std::size_t max_open_;
    std::size_t open_count_ = 0;
    std::vector<connection_ptr> idle_connections_;
    std::deque<connection_handler> waiting_handlers_;
};

} // namespace camphor::load
