// The other nodes of the mesh: who they are, how to reach them, and what runs beside them.
#pragma once

#include "libmesh/hold_time.h"
#include "libmesh/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor::mesh {

enum class backend_state : std::uint8_t { ready, draining, gone, unreachable };

/// The backend server beside a node, as its owner reports it.
struct backend {
    backend_id id;
    /// Start of this life; a restart has a later one.
    std::int64_t born = 0;
    service_id service;
    release_id release;
    int slots = 0;
    backend_state state = backend_state::ready;
    /// It is slow until then.
    time_point cold_until{};

    bool takes_work() const { return state == backend_state::ready; }
};

mesh_wire::backend_report to_wire(const backend& item, time_point now);
backend from_wire(const mesh_wire::backend_report& report, time_point now);

/// What an owner last said of its room, and what this node has sent since.
struct room {
    int running = 0;
    int waiting = 0;
    double failing = 0;
    duration mean_hold{};
    hold_times holds;
    time_point reported_at{};
    /// Requests sent since the report.
    int sent_since = 0;
};

struct peer {
    mesh_wire::node_record record;
    /// Open connection that this node dialled.
    std::optional<link_id> link;
    bool dialling = false;
    int failed_dials = 0;
    time_point next_dial{};
    /// No frame can reach it since then; none while a connection is open.
    std::optional<time_point> lost_at;
    /// Revision of the last report of this life.
    std::int64_t revision = 0;
    bool stopping = false;
    std::optional<backend> app;
    room space;
    std::int64_t config_version = 0;
    /// It reads the operators' rows from the store, and its last read succeeded.
    bool store_fresh = false;
    /// The store has not answered its reads in time.
    bool reads_late = false;
    /// Last frame from it, on any connection.
    time_point heard_at{};
    /// First request or ping since then; none while nothing is owed.
    std::optional<time_point> asked_at;
};

/// All known nodes but the own one.
class directory {
public:
    /// Adds a node or a later life of it. True when that is news.
    bool learn(const mesh_wire::node_record& record);
    /// Null when unknown.
    peer* find(const node_id& node);
    void forget(const node_id& node) { peers_.erase(node); }

    std::map<node_id, peer>& all() { return peers_; }
    const std::map<node_id, peer>& all() const { return peers_; }

private:
    std::map<node_id, peer> peers_;
};

} // namespace camphor::mesh
