// Rendering of the metrics of mesh::node.
#include "libsidecar/node_metrics.h"

#include "libshell/metrics.h"

#include <algorithm>
#include <sstream>

namespace camphor::sidecar {

namespace {

/// Buckets of latency_histogram that are merged into one rendered bucket, which spans an octave.
constexpr std::size_t buckets_per_octave = 4;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Renders cumulative buckets, as the Prometheus format requires.
std::string render_histogram(const std::string& name, const std::string& labels,
                             const latency_histogram& histogram)
{
    std::string out;
    const double total = histogram.total();
    for (std::size_t i = buckets_per_octave - 1; i + 1 < latency_histogram::bucket_count;
         i += buckets_per_octave) {
        const auto upper_bound = latency_histogram::upper_bound(i);
        std::ostringstream label;
        label << name << "_bucket{" << labels << ",le=\"" << to_seconds(upper_bound) << "\"}";
        out += shell::metric_line(label.str(), total - histogram.count_above(upper_bound));
    }
    out += shell::metric_line(name + "_bucket{" + labels + ",le=\"+Inf\"}", total);
    return out + shell::metric_line(name + "_count{" + labels + "}", total);
}

} // namespace

std::string render_node_metrics(const mesh::node& node)
{
    const auto& counts = node.counters();
    std::string out;
    const auto add_metric = [&](const char* name, double value) {
        out += shell::metric_line(name, value);
    };
    add_metric("camphor_requests_total", static_cast<double>(counts.requests));
    add_metric("camphor_requests_delivered_total", static_cast<double>(counts.delivered));
    add_metric("camphor_requests_failed_total", static_cast<double>(counts.failed));
    add_metric("camphor_retries_total", static_cast<double>(counts.retries));
    add_metric("camphor_runs_total", static_cast<double>(counts.runs));
    add_metric("camphor_owner_refusals_total", static_cast<double>(counts.owner_refusals));
    add_metric("camphor_membership_changes_total", static_cast<double>(counts.membership_changes));
    add_metric("camphor_slot_announcements_total", static_cast<double>(counts.slot_announcements));
    add_metric("camphor_backend_ends_total", static_cast<double>(counts.backend_ends));
    add_metric("camphor_requests_quarantined", static_cast<double>(node.quarantined()));
    add_metric("camphor_store_late_reads_total", static_cast<double>(counts.late_reads));
    add_metric("camphor_rows_older_total", static_cast<double>(counts.older_rows));
    for (const auto& [reason, count] : counts.refusals_by_reason) {
        out += shell::metric_line("camphor_not_served_total{reason=\"" + reason + "\"}",
                                  static_cast<double>(count));
    }
    for (const auto& [key, histogram] : counts.latencies) {
        out += render_histogram("camphor_request_seconds",
                                "service=\"" + key.service.value() + "\",route=\"" +
                                    key.route.value() + "\",outcome=\"" + key.outcome + "\"",
                                histogram);
    }
    const auto& queue = node.queue();
    add_metric("camphor_queue_running", queue.running());
    for (const auto& [rank, waiting] : queue.waiting_by_rank()) {
        out += shell::metric_line(
            "camphor_queue_waiting{priority=\"" + std::to_string(rank) + "\"}", waiting);
    }
    add_metric("camphor_queue_slots", queue.slots());
    add_metric("camphor_backend_cold", node.is_backend_cold() ? 1 : 0);
    add_metric("camphor_zones_evacuated", static_cast<double>(node.evacuated_zones()));
    add_metric("camphor_organisations_limited", static_cast<double>(node.limited_organisations()));
    add_metric("camphor_ready", node.is_ready() ? 1 : 0);
    add_metric("camphor_config_version",
               node.config() ? static_cast<double>(node.config()->version().value()) : 0);
    add_metric("camphor_config_age_seconds", to_seconds(node.config_age()));
    const auto& peers = node.peers().all();
    add_metric("camphor_peers_known", static_cast<double>(peers.size()));
    add_metric("camphor_peers_connected",
               static_cast<double>(std::count_if(peers.begin(), peers.end(), [](const auto& entry) {
                   return entry.second.link.has_value();
               })));
    return out;
}

} // namespace camphor::sidecar
