// Settings of one node, already checked. The shell reads them from JSON.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/ids.h>

#include <vector>

namespace camphor {

/// A node known before any membership was learnt.
struct seed_node {
    node_id node;
    zone_id zone;
    peer_address address;
};

/// What the pure core needs to know of the node it runs on.
struct node_settings {
    /// Frames of another mesh are refused.
    std::string mesh;
    node_id node;
    zone_id zone;
    region_id region;
    std::string host;
    std::uint16_t peer_port = 0;
    std::uint16_t call_port = 0;
    std::vector<seed_node> seeds;
};

} // namespace camphor
