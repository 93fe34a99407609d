// Bodies that travel between two nodes in parts, so that one large body neither delays the small
// frames of its connection nor has to fit into a frame.
#pragma once

#include "libmesh/frame_batch.h"
#include "libmesh/messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <stdexcept>

namespace camphor::mesh {

/// Longer bodies travel in parts of this length.
inline constexpr std::size_t body_part_bytes = 64UL * 1024;
/// Longest body that is sent to another node.
inline constexpr std::size_t max_split_body_bytes = 1024UL * 1024 * 1024;

/// Why a node did not take a body. Its message states no load.
inline constexpr const char* no_memory_reason = "memory";

/// Parts that no split message announced, or that are longer than announced.
class body_part_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Sender's side of one connection. Bodies take turns, one part each.
class body_splitter {
public:
    /// Adds the body, without copying it, and returns the message that announces it. `frame` holds
    /// a run request or an answer.
    mesh_wire::mesh_frame add(mesh_wire::mesh_frame frame, body_ptr body);
    /// Drops the unsent rest of the body of a cancelled run request and returns the notice of it;
    /// none when no such body is being sent.
    std::optional<mesh_wire::mesh_frame> drop_run(std::int64_t call);
    /// The next part; none when no body is left.
    std::optional<mesh_wire::mesh_frame> next_part();
    bool empty() const { return bodies_.empty(); }

private:
    struct outgoing_body {
        std::int64_t id = 0;
        /// Call of a run request; none for an answer.
        std::optional<std::int64_t> run;
        body_ptr content;
        std::size_t sent = 0;
    };

    std::int64_t last_id_ = 0;
    std::deque<outgoing_body> bodies_;
};

/// Receiver's side of one connection.
class body_assembler {
public:
    /// Takes a split message or a part; returns the frame that it completes, with its body.
    /// @throws body_part_error when the message does not fit to earlier ones
    frame_ptr add(const mesh_wire::mesh_frame& frame);
    /// Bytes received of bodies that are not complete.
    std::size_t buffered_bytes() const { return buffered_bytes_; }

private:
    struct incoming_body {
        mesh_wire::mesh_frame frame;
        std::size_t length = 0;
        std::string content;
    };

    frame_ptr add_split(const mesh_wire::split_message& split);
    frame_ptr add_part(const mesh_wire::body_part& part);

    std::map<std::int64_t, incoming_body> bodies_;
    std::size_t buffered_bytes_ = 0;
};

} // namespace camphor::mesh
