// Sends requests to the backend server beside the node and reads its answers.
#pragma once

#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace camphor::sidecar {

/// Connections and answers since the start, for metrics.
struct app_counters {
    std::uint64_t connections = 0;
    std::uint64_t failed_connections = 0;
    std::uint64_t requests = 0;
    /// Answers to other requests, and bytes behind an answer.
    std::uint64_t stray_answers = 0;
};

/// Keeps connections for reuse, newest first. One request at a time on a connection; a connection
/// whose request was dropped, or that carried bytes nobody asked for, is closed.
class app_client {
public:
    using event_function = std::function<void(mesh::event)>;

    /// `on_event` hears app_answered, app_failed and app_gone, never from within send() or drop().
    app_client(boost::asio::io_context& io, mesh::listen_address address, event_function on_event);
    ~app_client();
    app_client(const app_client&) = delete;
    app_client& operator=(const app_client&) = delete;

    void send(const mesh::send_to_app& order);
    /// Closes the connection of a request whose answer nobody wants.
    void drop(mesh::run_id run);
    const app_counters& counters() const;
    /// Bytes of answers that are not whole yet, over all connections.
    std::size_t bytes_held() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::sidecar
