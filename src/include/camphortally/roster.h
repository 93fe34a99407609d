// The records of all known nodes, with the indexes that routing and distribution read.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/event_backend.h>
#include <camphortally/ids.h>
#include <camphortally/rendezvous.h>

#include <map>
#include <utility>
#include <vector>

namespace camphor {

enum class member_state : std::uint8_t { alive, suspect, left, dead };

/// A backend server beside some node.
struct backend_view {
    backend_id backend;
    service_id service;
    release_id release;
    std::int32_t slots = 0;
    backend_state state = backend_state::ready;
    std::int32_t in_flight = 0;
};

struct member {
    node_id node;
    zone_id zone;
    region_id region;
    peer_address peer;
    std::uint16_t call_port = 0;
    incarnation life;
    /// Orders announcements within one incarnation.
    std::int64_t revision = 0;
    member_state state = member_state::alive;
    std::vector<backend_view> backends;
};

/// A backend server that calls can be sent to through its node.
struct instance_view {
    node_id node;
    zone_id zone;
    std::string host;
    std::uint16_t call_port = 0;
    backend_view backend;
};

/// True when `left` supersedes `right`: later life, then later revision, then the graver state.
bool is_newer(const member& left, const member& right);

/// Invariants: the record of a node never goes back to an older (incarnation, revision, state);
/// live_ holds alive and suspect records, gone_ the others; the indexes follow live_.
class roster {
public:
    /// Takes `item` when it is newer than what is known.
    bool merge(const member& item);

    /// Alive and suspect members.
    const std::map<node_id, member>& live() const { return live_; }
    /// The record in whatever state, or null.
    const member* find(const node_id& node) const;
    bool is_live(const node_id& node) const { return live_.contains(node); }
    /// In id order; empty for an unknown zone.
    std::vector<node_id> live_nodes(const zone_id& zone) const;
    /// In id order.
    std::vector<zone_id> zones() const;

    /// Over the live records of a zone; a suspect counts as alive, since suspicion is local.
    std::uint64_t digest(const zone_id& zone) const;
    /// Over all zones.
    std::uint64_t digest() const;
    const push_trees& trees(const zone_id& zone) const;

    /// Instances that take new work, in (node, backend) order.
    const std::vector<instance_view>& instances(const service_id& service,
                                                const release_id& release) const;
    /// Changes whenever instances() may answer differently.
    std::uint64_t generation() const { return generation_; }

private:
    struct zone_entry {
        std::vector<node_id> nodes;
        std::uint64_t digest = 0;
        /// Computed on first use after the nodes changed.
        mutable push_trees trees;
        mutable bool trees_valid = false;
    };

    void add_live(const member& item);
    void remove_live(const member& item);
    void index_instances(const member& item);
    void unindex_instances(const member& item);

    std::map<node_id, member> live_;
    std::map<node_id, member> gone_;
    std::map<zone_id, zone_entry> zones_;
    std::map<std::pair<service_id, release_id>, std::vector<instance_view>> instances_;
    std::uint64_t generation_ = 0;
};

} // namespace camphor
