// TCP connections between the nodes of a mesh. Each carries length-prefixed Thrift frames in both
// directions.
#pragma once

#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"
#include "libsidecar/memory_budget.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace camphor::sidecar {

/// Frames and bytes on all connections since the process started, for metrics.
struct peer_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    /// Frames that could not be decoded.
    std::uint64_t invalid_frames = 0;
    /// Frames over the limit, which were not sent.
    std::uint64_t oversized_frames = 0;
    /// Bodies that were not taken for lack of memory.
    std::uint64_t refused_bodies = 0;
};

/// Limits of the long bodies under way between nodes.
struct body_budgets {
    std::shared_ptr<memory_budget> requests =
        std::make_shared<memory_budget>(request_capacity_for(0));
    std::shared_ptr<memory_budget> answers =
        std::make_shared<memory_budget>(answer_capacity_for(0));
};

/// Accepts and opens connections to the other nodes. An undecodable frame closes its connection.
/// The send queue of each connection is bounded: a connection that exceeds the bound, because its
/// peer reads too slowly, is closed, and the requests on it fail at once.
class peer_links {
public:
    using event_handler = std::function<void(mesh::event)>;

    /// Listens at `address`. Reports link_opened, link_closed and frame_arrived to `on_event`,
    /// never from within a call to a member function. A run request whose body does not fit into
    /// its budget is refused; an answer counts as failed.
    /// @throws boost::system::system_error if the address cannot be listened on
    peer_links(boost::asio::io_context& io, const mesh::listen_address& address,
               event_handler on_event, body_budgets budgets = {});
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    /// Connects to `peer`; the result is reported as link_opened or link_closed.
    void dial(const mesh_wire::node_record& peer);
    /// Queues a frame; a long body follows it in parts, between which other frames are sent. Does
    /// nothing if the link is closed. A frame that cannot be encoded closes its link.
    void send(const mesh::send_to_peer& message);
    void close(mesh::link_id link);
    /// Closes the listener and all connections, and reports no further events.
    void close_all();
    const peer_counters& counters() const;
    /// Bytes queued for sending or being written, over all connections.
    std::size_t queued_bytes() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace camphor::sidecar
