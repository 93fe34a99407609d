// The other nodes of the mesh: their addresses, connections, backend servers and load.
#pragma once

#include "libmesh/departures.h"
#include "libmesh/hold_time.h"
#include "libmesh/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor::mesh {

/// State of a backend server. `draining`: it takes no new requests. `gone`: it has left.
/// `unreachable`: it accepts no connections or its address belongs to another instance.
enum class backend_state : std::uint8_t { ready, draining, gone, unreachable };

/// The backend server beside a node, as that node reports it.
struct backend {
    backend_id id;
    /// Start time in milliseconds since the epoch; larger after a restart.
    std::int64_t born = 0;
    service_id service;
    release_id release;
    int slots = 0;
    backend_state state = backend_state::ready;
    /// End of the cold start, during which it is slow.
    time_point cold_until{};

    bool accepts_requests() const { return state == backend_state::ready; }
};

/// Converts to and from the message. Times are relative to `now` in the message; an unknown state
/// is read as `unreachable`.
mesh_wire::backend_report to_wire(const backend& backend_server, time_point now);
backend from_wire(const mesh_wire::backend_report& report, time_point now);

/// Load of a backend server: the last report of the node beside it, and the requests that this node
/// has sent since.
struct load_estimate {
    int running = 0;
    int waiting = 0;
    /// Fraction of its recent answers that were failures, in [0, 1].
    double failure_ratio = 0;
    /// Last reported time for which a request holds a slot.
    duration mean_hold{};
    /// Reported hold times by route.
    hold_times holds;
    time_point reported_at{};
    /// Requests sent since the report.
    int sent_since = 0;
};

/// Another node of the mesh.
struct peer {
    mesh_wire::node_record record;
    /// Open connection that this node dialled.
    std::optional<link_id> link;
    /// A connection attempt is in progress.
    bool dialling = false;
    int failed_dials = 0;
    /// Earliest time of the next connection attempt.
    time_point next_dial{};
    /// Since when no frame can reach the node; none while a connection is open.
    std::optional<time_point> lost_at;
    /// Revision of the last state report since the node started.
    std::int64_t revision = 0;
    bool stopping = false;
    /// Until when the backend server of a stopping node still takes requests of other nodes.
    time_point lends_until{};
    /// Backend server beside the node; none before it is known.
    std::optional<backend> app;
    /// Backend servers that left the node lately. Kept when the node restarts, since its new
    /// process does not know them.
    departures departed;
    load_estimate load;
    /// When this node last sent a request to the node.
    time_point attempted_at{};
    /// Version of the configuration that the node reports; 0 before it has one.
    std::int64_t config_version = 0;
    /// The node announces changes of its free slots to this node.
    bool announces_free_slots = false;
    /// The node reads the operators' rows from the store, and its last read succeeded.
    bool store_fresh = false;
    /// The store has not answered the node's reads in time.
    bool reads_late = false;
    /// When the last frame from the node arrived, on any connection.
    time_point heard_at{};
    /// When the oldest unanswered request or ping was sent; none while no answer is due.
    std::optional<time_point> unanswered_since;
};

/// All known nodes except this one.
class directory {
public:
    /// Adds a node, or replaces its record and resets its state when it has restarted. Returns
    /// false when the record is not newer than the known one.
    bool add_or_update(const mesh_wire::node_record& record);
    /// Null when the node is unknown.
    peer* find(const node_id& node);
    void forget(const node_id& node) { peers_.erase(node); }

    std::map<node_id, peer>& all() { return peers_; }
    const std::map<node_id, peer>& all() const { return peers_; }

private:
    std::map<node_id, peer> peers_;
};

} // namespace camphor::mesh
