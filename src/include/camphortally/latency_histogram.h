// Latency counts in geometric buckets, small enough to travel in a report.
#pragma once

#include <camphortally/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphor {

/// Counts calls by latency. Bucket i holds latencies below upper_bound(i) and not below
/// upper_bound(i - 1); bounds grow by a quarter of an octave (19%).
class latency_histogram {
public:
    static constexpr std::size_t bucket_count = 72;

    /// Upper bound of a bucket; the last one has none and answers its lower bound's successor.
    static duration upper_bound(std::size_t bucket);
    static std::size_t bucket_of(duration latency);

    void add(duration latency, double count = 1);
    void add(const latency_histogram& other);
    /// Multiplies every count by `factor`, in [0, 1].
    void decay(double factor);

    double total() const;
    /// Counts in buckets whose lower bound is `limit` or more.
    double count_above(duration limit) const;
    /// Upper bound of the bucket that holds the quantile `q` in (0, 1); zero when empty.
    duration quantile(double q) const;

    /// Counts without trailing zeros, rounded.
    std::vector<std::int32_t> to_counts() const;
    /// Inverse of to_counts(); surplus buckets and negative counts are ignored.
    static latency_histogram from_counts(const std::vector<std::int32_t>& counts);

private:
    std::array<double, bucket_count> counts_{};
};

} // namespace camphor
