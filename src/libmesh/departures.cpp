// Starts of backend servers that have announced that they leave.
#include "libmesh/departures.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// A check-in arrives at most this long after it was sent: connections that carry nothing for some
/// seconds are closed.
constexpr auto departure_memory = 60s;
/// Limit of the remembered departures; beyond it the oldest is forgotten. A machine has one backend
/// server at a time.
constexpr std::size_t max_departures = 64;

} // namespace

bool departures::add(const backend_id& id, const departure& left)
{
    auto& known = by_id_.try_emplace(id, departure{-1, {}}).first->second;
    if (known.born >= left.born) {
        return false;
    }
    known = left;
    if (by_id_.size() > max_departures) {
        by_id_.erase(std::min_element(by_id_.begin(), by_id_.end(),
                                      [](const auto& first, const auto& second) {
                                          return first.second.at < second.second.at;
                                      }));
    }
    return true;
}

bool departures::covers(const backend_id& id, std::int64_t born) const
{
    const auto known = by_id_.find(id);
    return known != by_id_.end() && born <= known->second.born;
}

void departures::forget_old(time_point now, duration unknown_start_memory)
{
    std::erase_if(by_id_, [&](const auto& entry) {
        const auto& left = entry.second;
        return now - left.at >
               (left.born == unknown_start ? unknown_start_memory : duration(departure_memory));
    });
}

std::vector<backend_start> departures::stored_starts() const
{
    std::vector<backend_start> out;
    for (const auto& [id, left] : by_id_) {
        if (left.born != unknown_start) {
            out.push_back({id, left.born});
        }
    }
    return out;
}

} // namespace camphor::mesh
