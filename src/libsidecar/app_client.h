// HTTP/1.1 client for the backend server beside the node.
#pragma once

#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <memory>

namespace camphor::sidecar {

/// Counts since the process started, for metrics.
struct app_counters {
    /// Connection attempts, failed ones included.
    std::uint64_t connections = 0;
    std::uint64_t failed_connections = 0;
    std::uint64_t requests = 0;
    /// Answers that do not belong to the current request, and answers followed by surplus bytes.
    std::uint64_t stray_answers = 0;
};

/// Pool of persistent connections; the most recently used one is reused first. A connection carries
/// one request at a time. It is closed when its request is cancelled or when it receives bytes that
/// belong to no request.
class app_client {
public:
    using event_handler = std::function<void(mesh::event)>;

    /// Reports app_answered, app_failed and app_gone to `on_event`, never from within send() or
    /// cancel(). `max_buffered_bytes` limits all incomplete answers together; it is at most 16 MiB.
    app_client(boost::asio::io_context& io, mesh::listen_address address, event_handler on_event,
               std::size_t max_buffered_bytes = std::numeric_limits<std::size_t>::max());
    ~app_client();
    app_client(const app_client&) = delete;
    app_client& operator=(const app_client&) = delete;

    /// Sends a request on an idle connection, or on a new one.
    void send(const mesh::send_to_backend& request);
    /// Closes the connection of a request whose answer is no longer needed.
    void cancel(mesh::run_id run);
    const app_counters& counters() const;
    /// Bytes buffered for incomplete answers, over all connections.
    std::size_t buffered_bytes() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace camphor::sidecar
