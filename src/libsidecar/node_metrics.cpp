// Renders a node's counters.
#include "libsidecar/node_metrics.h"

#include "libshell/metrics.h"

#include <algorithm>
#include <sstream>

namespace camphor::sidecar {

namespace {

/// Every so many of the histogram's buckets become one of the rendered ones: an octave each.
constexpr std::size_t buckets_in_octave = 4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Cumulative buckets, as the format wants them.
std::string render_histogram(const std::string& name, const std::string& labels,
                             const latency_histogram& values)
{
    std::string out;
    const double total = values.total();
    for (std::size_t i = buckets_in_octave - 1; i + 1 < latency_histogram::bucket_count;
         i += buckets_in_octave) {
        const auto bound = latency_histogram::upper_bound(i);
        std::ostringstream label;
        label << name << "_bucket{" << labels << ",le=\"" << seconds(bound) << "\"}";
        out += shell::metric_line(label.str(), total - values.count_above(bound));
    }
    out += shell::metric_line(name + "_bucket{" + labels + ",le=\"+Inf\"}", total);
    return out + shell::metric_line(name + "_count{" + labels + "}", total);
}

} // namespace

std::string render_counters(const mesh::node& node)
{
    const auto& counts = node.counters();
    std::string out;
    const auto line = [&](const char* name, double value) {
        out += shell::metric_line(name, value);
    };
    line("camphor_requests_total", static_cast<double>(counts.requests));
    line("camphor_requests_delivered_total", static_cast<double>(counts.delivered));
    line("camphor_requests_failed_total", static_cast<double>(counts.failed));
    line("camphor_retries_total", static_cast<double>(counts.retries));
    line("camphor_runs_total", static_cast<double>(counts.runs));
    line("camphor_owner_refusals_total", static_cast<double>(counts.owner_refusals));
    line("camphor_membership_changes_total", static_cast<double>(counts.membership_changes));
    line("camphor_backend_ends_total", static_cast<double>(counts.backend_ends));
    line("camphor_requests_quarantined", static_cast<double>(node.quarantined()));
    line("camphor_store_late_reads_total", static_cast<double>(counts.late_reads));
    for (const auto& [reason, count] : counts.refusals_by_reason) {
        out += shell::metric_line("camphor_not_served_total{reason=\"" + reason + "\"}",
                                  static_cast<double>(count));
    }
    for (const auto& [key, values] : counts.latencies) {
        out += render_histogram("camphor_request_seconds",
                                "service=\"" + key.service.value() + "\",route=\"" +
                                    key.route.value() + "\",outcome=\"" + key.outcome + "\"",
                                values);
    }
    const auto& queue = node.queue();
    line("camphor_queue_running", queue.running());
    for (const auto& [rank, waiting] : queue.waiting_by_rank()) {
        out += shell::metric_line(
            "camphor_queue_waiting{priority=\"" + std::to_string(rank) + "\"}", waiting);
    }
    line("camphor_queue_slots", queue.slots());
    line("camphor_ready", node.is_ready() ? 1 : 0);
    line("camphor_config_version",
         node.config() ? static_cast<double>(node.config()->version().value()) : 0);
    line("camphor_config_age_seconds", seconds(node.config_age()));
    const auto& peers = node.peers().all();
    line("camphor_peers_known", static_cast<double>(peers.size()));
    line("camphor_peers_connected",
         static_cast<double>(std::count_if(peers.begin(), peers.end(), [](const auto& entry) {
             return entry.second.link.has_value();
         })));
    return out;
}

} // namespace camphor::sidecar
