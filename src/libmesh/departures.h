// Starts of backend servers that have announced that they leave.
#pragma once

#include "libmesh/messages.h"

#include <limits>
#include <map>
#include <vector>

namespace camphor::mesh {

/// A start of a backend server that announced that it leaves. Only a later start under the same id
/// can be in use again.
struct departure {
    /// Start time of the backend server; unknown_start when it did not state it.
    std::int64_t born = 0;
    time_point at{};
};

/// Stands for every start under the id.
inline constexpr auto unknown_start = std::numeric_limits<std::int64_t>::max();

/// Remembers departures, so that a delayed check-in does not bring a backend server back.
/// Invariant: each departure is forgotten after a while, those with an unknown start soon, since
/// these also keep later starts away.
class departures {
public:
    /// Returns false when the departure was known.
    bool add(const backend_id& id, const departure& left);
    /// Whether a message of this start is older than the departure.
    bool covers(const backend_id& id, std::int64_t born) const;
    /// `unknown_start_memory` holds for departures with an unknown start.
    void forget_old(time_point now, duration unknown_start_memory);

    const std::map<backend_id, departure>& all() const { return by_id_; }
    /// The departures that outlast the node's process in the store.
    std::vector<backend_start> stored_starts() const;

private:
    std::map<backend_id, departure> by_id_;
};

} // namespace camphor::mesh
