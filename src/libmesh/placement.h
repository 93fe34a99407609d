// Chooses the node whose backend server runs a request. Answers a slow backend server among fast
// ones, a failing one, a full zone beside an idle one, a newcomer among idle ones, and knowledge
// that is some answers old.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphor::mesh {

/// One backend server that could run the request.
struct candidate {
    node_id node;
    backend_id backend;
    release_id release;
    bool same_zone = false;
    /// It stands beside the node that chooses.
    bool is_own = false;
    /// Running and waiting there: as last reported, and what this node has sent since.
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Age of the report.
    duration age{};
    /// It had the request already and did not serve it.
    bool tried = false;
    /// Time for which a request of the route holds a slot there.
    duration hold{};
    /// Part of its recent answers that were failures, 0 to 1.
    double failing = 0;
};

struct placement_request {
    duration objective_left{};
    /// Cost of crossing to another zone, as part of the request's value.
    double crossing_cost = 0;
    /// In [0, 1), different for each request: breaks ties, so that nodes with the same knowledge do
    /// not choose alike.
    double jitter = 0;
};

/// Requests that are expected there now: some of those reported have ended since.
int expected_load(const candidate& item);

/// Expected loss of sending the request to `item`, as part of its value.
double placement_cost(const candidate& item, const placement_request& wanted);

/// Index of the cheapest candidate, any of those that cost the same; none when there are none.
std::optional<std::size_t> choose(const std::vector<candidate>& items,
                                  const placement_request& wanted);

} // namespace camphor::mesh
