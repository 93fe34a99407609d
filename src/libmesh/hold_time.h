// Estimates per route how long requests hold a slot of one backend server.
#pragma once

#include "libmesh/aging_weight.h"

#include <camphortally/ids.h>

#include <chrono>
#include <map>

namespace camphor::mesh {

/// Exponentially weighted moving averages of the time from sending a request to its answer, per
/// route and over all routes.
class hold_times {
public:
    void add(const route_id& route, duration hold_time, time_point now)
    {
        overall_mean_.add(hold_time, now);
        mean_by_route_[route].add(hold_time, now);
    }

    /// Mean of the route; the mean over all routes before the first value of the route, and `prior`
    /// before any value.
    duration mean_of(const route_id& route, duration prior) const
    {
        const auto found = mean_by_route_.find(route);
        return found != mean_by_route_.end() ? found->second.value : mean(prior);
    }

    /// Mean over all routes; `prior` before any value.
    duration mean(duration prior) const
    {
        return overall_mean_.value.count() > 0 ? overall_mean_.value : prior;
    }
    bool has_values_of(const route_id& route) const { return mean_by_route_.contains(route); }
    void clear()
    {
        overall_mean_ = {};
        mean_by_route_.clear();
    }

private:
    /// The newest value has a weight of one part in this many, so the mean follows a change within
    /// about twenty requests.
    static constexpr double newest_weight = 0.1;

    struct aging_mean {
        duration value{};
        time_point updated_at{};

        void add(duration sample, time_point now)
        {
            const double weight = sample < value
                                      ? weight_of_better_value(newest_weight, now - updated_at)
                                      : newest_weight;
            updated_at = now;
            value = value.count() == 0
                        ? sample
                        : value + std::chrono::duration_cast<duration>((sample - value) * weight);
        }
    };

    aging_mean overall_mean_;
    std::map<route_id, aging_mean> mean_by_route_;
};

} // namespace camphor::mesh
