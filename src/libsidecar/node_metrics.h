// Metrics of a node's decisions, in Prometheus' text format.
#pragma once

#include "libmesh/node.h"

#include <string>

namespace camphor::sidecar {

/// Counters, gauges and latency histograms of `node`.
std::string render_counters(const mesh::node& node);

} // namespace camphor::sidecar
