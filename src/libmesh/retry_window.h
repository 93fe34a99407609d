// The part of a mesh-wide retry budget that one node may spend. Answers clients that repeat at once
// and outages in which every request would be sent again.
#pragma once

#include <camphortally/ids.h>

#include <array>
#include <cstdint>

namespace camphor::mesh {

/// Requests and retries of one service over a sliding window.
/// Invariant: retries in any window <= ratio * requests in it + extra, both the node's own share.
class retry_window {
public:
    retry_window() = default;
    explicit retry_window(duration window) : span_(window / buckets_in_window) {}

    void on_request(time_point now) { bucket(now).requests += 1; }
    /// True, and counted, when the budget has room for one retry.
    bool try_spend(double ratio, double extra, time_point now)
    {
        const auto sums = total(now);
        if (sums.retries + 1 > ratio * sums.requests + extra) {
            return false;
        }
        bucket(now).retries += 1;
        return true;
    }

private:
    struct counts {
        std::int64_t period = -1;
        double requests = 0;
        double retries = 0;
    };
    static constexpr int buckets_in_window = 10;
    /// One more than a window holds, so that a partly passed bucket still counts whole.
    static constexpr std::size_t bucket_count = buckets_in_window + 1;

    counts& bucket(time_point now)
    {
        const auto period = now.time_since_epoch() / span_;
        auto& item = buckets_.at(static_cast<std::size_t>(period) % bucket_count);
        if (item.period != period) {
            item = {period, 0, 0};
        }
        return item;
    }

    counts total(time_point now) const
    {
        const auto period = now.time_since_epoch() / span_;
        counts out;
        for (const auto& item : buckets_) {
            if (item.period > period - static_cast<std::int64_t>(bucket_count)) {
                out.requests += item.requests;
                out.retries += item.retries;
            }
        }
        return out;
    }

    duration span_ = std::chrono::seconds(1);
    std::array<counts, bucket_count> buckets_{};
};

} // namespace camphor::mesh
