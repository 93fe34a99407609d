// Metrics of one node.
#include "libshell/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sys/resource.h>

#include <array>
#include <cstddef>
#include <sstream>
#include <utility>

namespace camphor::shell {

namespace accumulators_lib = boost::accumulators;
namespace tag = boost::accumulators::tag;

namespace {

constexpr std::array quantiles{0.5, 0.9, 0.99};

using summary = accumulators_lib::accumulator_set<
    double, accumulators_lib::stats<tag::count, tag::sum, tag::max, tag::extended_p_square>>;

double seconds(const timeval& time)
{
    constexpr double per_microsecond = 1e-6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * per_microsecond;
}

std::string render_platform(const std::string& use, const platform_traffic& traffic)
{
    const auto label = "{use=\"" + use + "\"}";
    return metric_line("camphor_platform_reads_total" + label, static_cast<double>(traffic.reads)) +
           metric_line("camphor_platform_writes_total" + label,
                       static_cast<double>(traffic.writes)) +
           metric_line("camphor_platform_failures_total" + label,
                       static_cast<double>(traffic.failures)) +
           metric_line("camphor_platform_bytes_total" + label,
                       static_cast<double>(traffic.bytes.value()));
}

} // namespace

struct duration_metric::accumulators {
    summary values{tag::extended_p_square::probabilities = quantiles};
};

duration_metric::duration_metric() : values_(std::make_unique<accumulators>()) {}
duration_metric::~duration_metric() = default;

void duration_metric::add(duration value)
{
    values_->values(std::chrono::duration<double>(value).count());
}

std::string duration_metric::render(const std::string& name) const
{
    const auto& values = values_->values;
    std::string out;
    const auto count = accumulators_lib::count(values);
    for (std::size_t i = 0; i < quantiles.size() && count > 0; ++i) {
        std::ostringstream label;
        label << name << "{quantile=\"" << quantiles.at(i) << "\"}";
        out += metric_line(label.str(), accumulators_lib::extended_p_square(
                                            values)[static_cast<std::ptrdiff_t>(i)]);
    }
    if (count > 0) {
        out += metric_line(name + "_max", accumulators_lib::max(values));
    }
    out += metric_line(name + "_sum", accumulators_lib::sum(values));
    return out + metric_line(name + "_count", static_cast<double>(count));
}

std::string metric_line(const std::string& name, double value)
{
    std::ostringstream out;
    out.precision(12);
    out << name << ' ' << value << '\n';
    return out.str();
}

std::string render_node_metrics(const node_state& node, const peer_traffic& peers,
                                const platform_traffic& control, const platform_traffic& claims)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double bytes_per_kib = 1024;
    const std::array<std::pair<const char*, double>, 9> lines{{
        {"camphor_config_version", static_cast<double>(node.config.current()->version().value())},
        {"camphor_members", static_cast<double>(node.members.members().size())},
        {"camphor_local_backends", static_cast<double>(node.members.local_backends().size())},
        {"camphor_calls_in_flight", static_cast<double>(node.calls.in_flight())},
        {"camphor_peer_bytes_sent_total", static_cast<double>(peers.sent.value())},
        {"camphor_peer_bytes_received_total", static_cast<double>(peers.received.value())},
        {"camphor_peer_frames_sent_total", static_cast<double>(peers.frames_sent)},
        {"camphor_peer_frames_dropped_total", static_cast<double>(peers.frames_dropped)},
        {"camphor_resident_peak_bytes", static_cast<double>(usage.ru_maxrss) * bytes_per_kib},
    }};
    std::string out;
    for (const auto& [name, value] : lines) {
        out += metric_line(name, value);
    }
    out += render_platform("control", control) + render_platform("claims", claims);
    return out + metric_line("camphor_processor_seconds_total",
                             seconds(usage.ru_utime) + seconds(usage.ru_stime));
}

} // namespace camphor::shell
