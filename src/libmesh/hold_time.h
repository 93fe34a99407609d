// Estimates per route how long requests hold a slot of one backend server.
#pragma once

#include <camphortally/ids.h>

#include <map>

namespace camphor::mesh {

/// Exponentially weighted moving averages of the time from sending a request to its answer, per
/// route and over all routes.
class hold_times {
public:
    void add(const route_id& route, duration hold_time)
    {
        update_mean(overall_mean_, hold_time);
        update_mean(mean_by_route_[route], hold_time);
    }

    /// Mean of the route; the mean over all routes before the first value of the route, and `prior`
    /// before any value.
    duration mean_of(const route_id& route, duration prior) const
    {
        const auto found = mean_by_route_.find(route);
        return found != mean_by_route_.end() ? found->second : mean(prior);
    }

    /// Mean over all routes; `prior` before any value.
    duration mean(duration prior) const
    {
        return overall_mean_.count() > 0 ? overall_mean_ : prior;
    }
    void clear()
    {
        overall_mean_ = {};
        mean_by_route_.clear();
    }

private:
    /// The newest value has a weight of one part in this many, so the mean follows a change within
    /// about twenty requests.
    static constexpr int newest_weight_divisor = 10;

    static void update_mean(duration& mean, duration hold_time)
    {
        mean = mean.count() == 0 ? hold_time : mean + (hold_time - mean) / newest_weight_divisor;
    }

    duration overall_mean_{};
    std::map<route_id, duration> mean_by_route_;
};

} // namespace camphor::mesh
