// Connections between the nodes of a mesh: length-prefixed Thrift frames, both ways on each.
#pragma once

#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace camphor::sidecar {

/// Bytes and frames since the start, for metrics.
struct peer_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t refused_frames = 0;
};

/// A frame that cannot be read closes its connection. What waits for a peer that does not read is
/// bounded: a connection over the bound is closed, and its requests fail at once.
class peer_links {
public:
    using event_function = std::function<void(mesh::event)>;

    /// Listens at `own`. `on_event` hears link_opened, link_closed and frame_arrived, never from
    /// within a call of this class.
    /// @throws boost::system::system_error when it cannot listen
    peer_links(boost::asio::io_context& io, const mesh::listen_address& own,
               event_function on_event);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    void dial(const mesh_wire::node_record& peer);
    void send(mesh::link_id link, const mesh_wire::mesh_frame& frame);
    void close(mesh::link_id link);
    void close_all();
    const peer_counters& counters() const;
    /// Bytes that wait to be written, over all connections.
    std::size_t bytes_waiting() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::sidecar
