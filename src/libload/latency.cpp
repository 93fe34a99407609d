// Latency histogram with logarithmic bins.
#include "latency.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>

namespace camphor::load {

namespace {

namespace acc = boost::accumulators;
namespace hist = boost::histogram;

constexpr double min_ms = 0.001;
constexpr double max_ms = 1e6;
constexpr double bin_growth = 1.01;

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;

auto make_bins()
{
    const auto bins =
        static_cast<unsigned>(std::ceil(std::log(max_ms / min_ms) / std::log(bin_growth)));
    return hist::make_histogram(log_axis(bins, min_ms, max_ms));
}

} // namespace

struct latency_histogram::statistics {
    decltype(make_bins()) bins = make_bins();
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>
        moments;
};

latency_histogram::latency_histogram() : statistics_(std::make_unique<statistics>()) {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(double latency_ms)
{
    statistics_->bins(std::clamp(latency_ms, min_ms, max_ms / bin_growth));
    statistics_->moments(latency_ms);
}

std::size_t latency_histogram::count() const
{
    return acc::count(statistics_->moments);
}

double latency_histogram::mean() const
{
    return count() == 0 ? 0 : acc::mean(statistics_->moments);
}

double latency_histogram::max() const
{
    return count() == 0 ? 0 : acc::max(statistics_->moments);
}

double latency_histogram::quantile(double q) const
{
    const auto rank = std::ceil(q * static_cast<double>(count()));
    const auto& axis = statistics_->bins.axis(0);
    double cumulative_count = 0;
    for (int i = 0; i < axis.size() && rank > 0; ++i) {
        cumulative_count += statistics_->bins.at(i);
        if (cumulative_count >= rank) {
            return std::min(axis.bin(i).upper(), max());
        }
    }
    return max();
}

} // namespace camphor::load
