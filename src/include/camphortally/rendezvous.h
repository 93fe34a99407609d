// Rendezvous (highest random weight) ranking of the nodes of an availability zone, and the two push
// trees laid over it.
#pragma once

#include <camphortally/ids.h>

#include <cstddef>
#include <vector>

namespace camphor {

/// Weight of `node` for `key`; equal on every node of the mesh.
std::uint64_t rendezvous_weight(const std::string& key, const node_id& node);

/// `nodes` by descending weight for the zone.
std::vector<node_id> rank_nodes(const zone_id& zone, std::vector<node_id> nodes);

/// Two trees over one ranking: the second runs through it backwards, so that a node which relays in
/// one tree is a leaf of the other and no single dead relay cuts anybody off from both.
/// Invariant: every node of the ranking is reached from roots()[0] and from roots().back().
class push_trees {
public:
    push_trees() = default;
    /// @param ranking as rank_nodes gives it
    explicit push_trees(std::vector<node_id> ranking);

    /// The relays of the zone, which also poll the table: two, or one in a zone of one node.
    const std::vector<node_id>& roots() const { return roots_; }
    bool is_root(const node_id& node) const;
    /// Nodes that `node` passes news on to, over both trees, each once.
    std::vector<node_id> children(const node_id& node) const;
    std::size_t size() const { return ranking_.size(); }

private:
    std::vector<node_id> ranking_;
    std::vector<node_id> roots_;
};

} // namespace camphor
