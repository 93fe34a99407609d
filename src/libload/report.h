// Summary of a load run: results, latencies and rates in total, per call kind, per release and per
// second.
#pragma once

#include "call_record.h"
#include "latency.h"

#include <array>
#include <map>
#include <string>

namespace camphor::load {

/// Calls of one group: the number per result, and the latencies of the calls with result ok.
struct call_group {
    std::array<std::size_t, call_result_count> results{};
    latency_histogram latency;

    void add(const call_record& record);
    std::size_t count(call_result result) const;
    std::size_t total() const;
};

/// Calls whose scheduled send time lies in one second of the run.
struct second_summary {
    std::array<std::size_t, call_result_count> results{};
    /// Greatest latency of any result, milliseconds.
    double max_latency_ms = 0;
};

/// Accumulates the records of ended attempts. An attempt after the first counts as a resend, not as
/// a call.
class report {
public:
    /// `started_ms` is the start of the run in milliseconds since the Unix epoch.
    report(double requested_calls_per_s, double started_ms)
        : requested_calls_per_s_(requested_calls_per_s), started_ms_(started_ms)
    {
    }

    void add(const call_record& record);
    std::size_t calls() const { return all_.total(); }
    const call_group& all() const { return all_; }

    /// The report as indented JSON.
    std::string to_json() const;
    /// The report as text tables for the terminal.
    std::string to_text() const;

private:
    double requested_calls_per_s_;
    double started_ms_;
    double last_sent_ms_ = 0;
    std::size_t resends_ = 0;
    call_group all_;
    std::map<std::string, call_group> by_kind_;
    std::map<std::string, call_group> by_release_;
    std::map<std::string, std::size_t> count_by_error_;
    std::map<std::int64_t, second_summary> by_second_;
};

} // namespace camphor::load
