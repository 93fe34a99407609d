// Reuse, opening and closing of keep-alive connections.
#include "connection_pool.h"

#include <sys/socket.h>

namespace camphor::load {

namespace {

/// False when the peer closed the idle connection or sent unsolicited bytes on it.
bool is_usable(connection& conn)
{
    char first_byte = 0;
    const auto received =
        recv(conn.stream.socket().native_handle(), &first_byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

connection_pool::connection_pool(boost::asio::io_context& io, const target_address& target,
                                 std::size_t max_open)
    : io_(io), endpoint_(boost::asio::ip::make_address(target.host), target.port),
      target_name_(target.host + ":" + std::to_string(target.port)), max_open_(max_open)
{
}

connection_ptr connection_pool::pop_idle()
{
    while (!idle_connections_.empty()) {
        auto conn = std::move(idle_connections_.back());
        idle_connections_.pop_back();
        if (is_usable(*conn)) {
            return conn;
        }
        --open_count_;
    }
    return nullptr;
}

void connection_pool::acquire(connection_handler handler)
{
    if (auto conn = pop_idle()) {
        handler(std::move(conn));
        return;
    }
    if (open_count_ >= max_open_) {
        waiting_handlers_.push_back(std::move(handler));
        return;
    }
    ++open_count_;
    handler(std::make_shared<connection>(io_));
}

void connection_pool::release(const connection_ptr& conn, bool reusable)
{
    if (reusable) {
        idle_connections_.push_back(conn);
    } else {
        conn->stream.close();
        --open_count_;
    }
    if (!waiting_handlers_.empty()) {
        auto next_handler = std::move(waiting_handlers_.front());
        waiting_handlers_.pop_front();
        acquire(std::move(next_handler));
    }
}

} // namespace camphor::load
