// Latency statistics: percentiles from a Boost.Histogram with logarithmic bins; count, mean and
// maximum from Boost.Accumulators.
#pragma once

#include <memory>

namespace camphor::load {

/// Histogram of latencies in milliseconds. The relative bin width is one per cent, so a percentile
/// is at most one per cent too high. The quantile estimators of Boost.Accumulators have no such
/// error bound in the tail of the distribution.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    void add(double latency_ms);
    std::size_t count() const;
    /// Mean and maximum in milliseconds; 0 when empty.
    double mean() const;
    double max() const;
    /// Upper edge in milliseconds of the bin that holds quantile `q` in [0, 1], at most max(); 0
    /// when empty.
    double quantile(double q) const;

private:
    struct statistics;
    std::unique_ptr<statistics> statistics_;
};

} // namespace camphor::load
