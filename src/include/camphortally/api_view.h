// What the resource API shows of a node's state. Pure functions; the shell calls them between
// steps.
#pragma once

#include <camphortally/node.h>

#include <optional>
#include <string>

namespace camphor {

/// The resource's document with its status: phase, observed_config_version, missing_nodes, reason,
/// and for moves share_permille, stage, holder, evidence and time_left_ms.
std::string resource_document(const node_state& node, time_point now, const resource& item);

/// `{"items":[…],"config_version":N}` of one kind, in name order.
std::string list_document(const node_state& node, time_point now, resource_kind kind);

/// `{"items":[{"node","zone","region","state","is_current","backends":[…]}],"config_version"}`.
/// `is_current` tells whether the node is known to hold `config_version`.
std::string nodes_document(const node_state& node, time_point now);

} // namespace camphor
