// Frames between nodes over TCP.
#pragma once

#include "libshell/event_sink.h"
#include "libshell/worker_arena.h"

#include <camphortally/effect.h>
#include <camphortally/settings.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace camphor::shell {

/// Traffic since the start, for metrics.
struct peer_traffic {
    byte_count sent;
    byte_count received;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    /// Frames given up because a queue was full or its connection failed.
    std::uint64_t frames_dropped = 0;
};

/// Keeps one outgoing connection to each node it sends to, and takes connections from any node.
/// A foreign mesh name, an unknown protocol or an oversized frame closes the connection.
class peer_link {
public:
    using log_function = std::function<void(const log_record&)>;

    peer_link(boost::asio::io_context& io, const node_settings& settings, event_sink& sink,
              log_function log);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Listens on the configured address.
    /// @throws boost::system::system_error when it cannot
    void start(incarnation life);
    /// Queues a frame; may be lost.
    void send(const send_frame& order);
    const peer_traffic& traffic() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::shell
