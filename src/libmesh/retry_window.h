// One node's share of a mesh-wide retry budget. Limits retries by clients that repeat at once and
// during outages in which every request would be sent again.
#pragma once

#include <camphortally/ids.h>

#include <array>
#include <cstdint>

namespace camphor::mesh {

/// Counts requests and retries of one service over a sliding window.
/// Invariant: retries in any window <= ratio * requests in it + extra, where ratio and extra are
/// this node's share.
class retry_window {
public:
    retry_window() = default;
    explicit retry_window(duration window) : bucket_length_(window / buckets_per_window) {}

    void on_request(time_point now) { bucket(now).requests += 1; }
    /// Returns true and counts the retry if the budget allows one more.
    bool try_spend(double ratio, double extra, time_point now)
    {
        const auto total_counts = total(now);
        if (total_counts.retries + 1 > ratio * total_counts.requests + extra) {
            return false;
        }
        bucket(now).retries += 1;
        return true;
    }

private:
    struct period_counts {
        std::int64_t period_index = -1;
        double requests = 0;
        double retries = 0;
    };
    static constexpr int buckets_per_window = 10;
    /// One bucket more than a window spans, so that a partly elapsed bucket still counts in full.
    static constexpr std::size_t bucket_count = buckets_per_window + 1;

    period_counts& bucket(time_point now)
    {
        const auto period_index = now.time_since_epoch() / bucket_length_;
        auto& entry = buckets_.at(static_cast<std::size_t>(period_index) % bucket_count);
        if (entry.period_index != period_index) {
            entry = {period_index, 0, 0};
        }
        return entry;
    }

    period_counts total(time_point now) const
    {
        const auto period_index = now.time_since_epoch() / bucket_length_;
        period_counts sums;
        for (const auto& entry : buckets_) {
            if (entry.period_index > period_index - static_cast<std::int64_t>(bucket_count)) {
                sums.requests += entry.requests;
                sums.retries += entry.retries;
            }
        }
        return sums;
    }

    duration bucket_length_ = std::chrono::seconds(1);
    std::array<period_counts, bucket_count> buckets_{};
};

} // namespace camphor::mesh
