// Accumulation and JSON and text output of load run reports.
#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace camphor::load {

namespace {

using nlohmann::json;

constexpr double ms_per_second = 1'000;

struct named_quantile {
    const char* name;
    double q;
};
constexpr std::array quantiles{named_quantile{"p50", 0.5}, named_quantile{"p90", 0.9},
                               named_quantile{"p99", 0.99}, named_quantile{"p99.9", 0.999}};

json results_json(const std::array<std::size_t, call_result_count>& results)
{
    json out = json::object();
    for (std::size_t i = 0; i < call_result_count; ++i) {
        out[to_string(static_cast<call_result>(i))] = results.at(i);
    }
    return out;
}

json latency_json(const latency_histogram& latency)
{
    json out{{"count", latency.count()}, {"mean", latency.mean()}, {"max", latency.max()}};
    for (const auto& [name, q] : quantiles) {
        out[name] = latency.quantile(q);
    }
    return out;
}

json group_json(const call_group& group)
{
    return {{"calls", group.total()},
            {"results", results_json(group.results)},
            {"latency_ms", latency_json(group.latency)}};
}

json groups_json(const std::map<std::string, call_group>& groups)
{
    json out = json::object();
    for (const auto& [name, group] : groups) {
        out[name] = group_json(group);
    }
    return out;
}

void print_group(std::ostream& out, const std::string& name, const call_group& group)
{
    out << std::left << std::setw(24) << name << std::right << std::setw(9) << group.total();
    for (const auto count : group.results) {
        out << std::setw(9) << count;
    }
    for (const auto& quantile : quantiles) {
        out << std::setw(10) << group.latency.quantile(quantile.q);
    }
    out << std::setw(10) << group.latency.max() << '\n';
}

void print_groups(std::ostream& out, const std::map<std::string, call_group>& groups)
{
    for (const auto& [name, group] : groups) {
        print_group(out, "  " + name, group);
    }
}

} // namespace

void call_group::add(const call_record& record)
{
    ++results.at(static_cast<std::size_t>(record.result));
    if (record.result == call_result::ok) {
        latency.add(record.ended_ms - record.intended_ms);
    }
}

std::size_t call_group::count(call_result result) const
{
    return results.at(static_cast<std::size_t>(result));
}

std::size_t call_group::total() const
{
    return std::accumulate(results.begin(), results.end(), std::size_t{0});
}

void report::add(const call_record& record)
{
    if (!record.error.empty()) {
        ++count_by_error_[record.error];
    }
    if (record.attempt > 1) {
        ++resends_;
        return;
    }
    all_.add(record);
    by_kind_[record.kind].add(record);
    by_release_[record.release.empty() ? "(no answer)" : record.release].add(record);
    last_sent_ms_ = std::max(last_sent_ms_, record.sent_ms);
    auto& second =
        by_second_[static_cast<std::int64_t>((record.intended_ms - started_ms_) / ms_per_second)];
    ++second.results.at(static_cast<std::size_t>(record.result));
    second.max_latency_ms = std::max(second.max_latency_ms, record.ended_ms - record.intended_ms);
}

std::string report::to_json() const
{
    const auto send_duration_s = (last_sent_ms_ - started_ms_) / ms_per_second;
    json timeline = json::array();
    for (const auto& [second, summary] : by_second_) {
        timeline.push_back({{"second", second},
                            {"results", results_json(summary.results)},
                            {"max_ms", summary.max_latency_ms}});
    }
    const json document{{"started_ms", started_ms_},
                        {"asked_rate", requested_calls_per_s_},
                        {"achieved_rate", send_duration_s > 0
                                              ? static_cast<double>(calls()) / send_duration_s
                                              : 0.0},
                        {"resends", resends_},
                        {"all", group_json(all_)},
                        {"kinds", groups_json(by_kind_)},
                        {"releases", groups_json(by_release_)},
                        {"errors", count_by_error_},
                        {"timeline", timeline}};
    return document.dump(2);
}

std::string report::to_text() const
{
    const auto send_duration_s = (last_sent_ms_ - started_ms_) / ms_per_second;
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    out << "calls " << calls() << ", resends " << resends_ << ", requested rate "
        << requested_calls_per_s_ << "/s, achieved "
        << (send_duration_s > 0 ? static_cast<double>(calls()) / send_duration_s : 0.0) << "/s\n";
    out << std::left << std::setw(24) << "latency in ms" << std::right << std::setw(9) << "calls"
        << std::setw(9) << "ok" << std::setw(9) << "not-run" << std::setw(9) << "refused"
        << std::setw(9) << "failed" << std::setw(9) << "timeout";
    for (const auto& quantile : quantiles) {
        out << std::setw(10) << quantile.name;
    }
    out << std::setw(10) << "max" << '\n';
    print_group(out, "all", all_);
    out << "by kind\n";
    print_groups(out, by_kind_);
    out << "by release\n";
    print_groups(out, by_release_);
    for (const auto& [error, count] : count_by_error_) {
        out << "error: " << error << ": " << count << '\n';
    }
    return out.str();
}

} // namespace camphor::load
