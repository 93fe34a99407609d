// Learns how long requests hold a slot of one backend server, by route.
#pragma once

#include <camphortally/ids.h>

#include <map>

namespace camphor::mesh {

/// Exponentially weighted means of the time from sending a request to its answer.
class hold_times {
public:
    void add(const route_id& name, duration held)
    {
        blend(all_, held);
        blend(by_route_[name], held);
    }

    /// Mean over the requests of a route, or over all while it has none; `prior` before any.
    duration of(const route_id& name, duration prior) const
    {
        const auto found = by_route_.find(name);
        return found != by_route_.end() ? found->second : mean(prior);
    }

    duration mean(duration prior) const { return all_.count() > 0 ? all_ : prior; }
    void clear()
    {
        all_ = {};
        by_route_.clear();
    }

private:
    /// Weight of the newest value: the mean follows a change within some twenty requests.
    static constexpr int newest_part = 10;

    static void blend(duration& mean, duration held)
    {
        mean = mean.count() == 0 ? held : mean + (held - mean) / newest_part;
    }

    duration all_{};
    std::map<route_id, duration> by_route_;
};

} // namespace camphor::mesh
