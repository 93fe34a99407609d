// Metrics of one node, in Prometheus' text format.
#pragma once

#include "libshell/peer_link.h"
#include "libshell/platform_http.h"

#include <camphortally/node.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphor::shell {

/// Quantiles of a stream of durations, by Boost.Accumulators (P-square estimates).
class duration_metric {
public:
    duration_metric();
    ~duration_metric();
    duration_metric(const duration_metric&) = delete;
    duration_metric& operator=(const duration_metric&) = delete;

    void add(duration value);
    /// Summary lines of the metric called `name`, in seconds.
    std::string render(const std::string& name) const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> values_;
};

/// One line `name value`.
std::string metric_line(const std::string& name, double value);

/// Lines about configuration, membership, traffic between nodes and with the platform (for control
/// and for claims on keys apart), and the process itself.
std::string render_node_metrics(const node_state& node, const peer_traffic& peers,
                                const platform_traffic& control, const platform_traffic& claims);

} // namespace camphor::shell
