// Metrics of mesh::node in the Prometheus text format.
#pragma once

#include "libmesh/node.h"

#include <string>

namespace camphor::sidecar {

/// Counters, gauges and latency histograms of `node`.
std::string render_node_metrics(const mesh::node& node);

} // namespace camphor::sidecar
