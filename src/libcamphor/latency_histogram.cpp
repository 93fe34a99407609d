// Geometric latency buckets.
#include <camphortally/latency_histogram.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace camphor {

namespace {

constexpr double first_bound_ns = 250e3;
constexpr double buckets_per_octave = 4;

} // namespace

duration latency_histogram::upper_bound(std::size_t bucket)
{
    const double octaves = static_cast<double>(bucket) / buckets_per_octave;
    return duration(std::llround(first_bound_ns * std::exp2(octaves)));
}

std::size_t latency_histogram::bucket_of(duration latency)
{
    if (latency < upper_bound(0)) {
        return 0;
    }
    const double ratio = static_cast<double>(latency.count()) / first_bound_ns;
    // The nudge puts a latency that equals a rounded bound above it.
    constexpr double nudge = 1e-6;
    const double steps = std::floor(std::log2(ratio) * buckets_per_octave + nudge);
    return std::min(static_cast<std::size_t>(steps) + 1, bucket_count - 1);
}

void latency_histogram::add(duration latency, double count)
{
    counts_.at(bucket_of(latency)) += count;
}

void latency_histogram::add(const latency_histogram& other)
{
    std::transform(counts_.begin(), counts_.end(), other.counts_.begin(), counts_.begin(),
                   std::plus<>());
}

void latency_histogram::decay(double factor)
{
    for (auto& count : counts_) {
        count *= factor;
    }
}

double latency_histogram::total() const
{
    return std::accumulate(counts_.begin(), counts_.end(), 0.0);
}

double latency_histogram::count_above(duration limit) const
{
    double sum = 0;
    for (std::size_t i = 1; i < bucket_count; ++i) {
        if (upper_bound(i - 1) >= limit) {
            sum += counts_.at(i);
        }
    }
    return sum;
}

duration latency_histogram::quantile(double q) const
{
    const double wanted = q * total();
    if (wanted <= 0) {
        return duration{};
    }
    double seen = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        seen += counts_.at(i);
        if (seen >= wanted) {
            return upper_bound(i);
        }
    }
    return upper_bound(bucket_count - 1);
}

std::vector<std::int32_t> latency_histogram::to_counts() const
{
    std::vector<std::int32_t> out;
    for (const auto count : counts_) {
        out.push_back(static_cast<std::int32_t>(std::lround(count)));
    }
    while (!out.empty() && out.back() == 0) {
        out.pop_back();
    }
    return out;
}

latency_histogram latency_histogram::from_counts(const std::vector<std::int32_t>& counts)
{
    latency_histogram out;
    for (std::size_t i = 0; i < std::min(counts.size(), bucket_count); ++i) {
        out.counts_.at(i) = std::max(counts.at(i), 0);
    }
    return out;
}

} // namespace camphor
