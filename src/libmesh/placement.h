// Load balancing: chooses the backend server that runs a request. Handles slow and failing backend
// servers, a full availability zone next to an idle one, a backend server that has just joined, one
// that has recovered, and load reports that are a few answers old.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphor::mesh {

/// A backend server that could run the request, with its last reported load.
struct candidate {
    node_id node;
    backend_id backend;
    release_id release;
    bool same_zone = false;
    /// Availability zone of the backend server; empty for the one beside the choosing node.
    zone_id zone;
    /// The backend server beside the choosing node.
    bool is_local = false;
    /// Requests that run and that wait at the backend server: the last report plus the requests
    /// that this node has sent since.
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Age of the load report.
    duration report_age{};
    /// Its node announces free slots, so that a report without one stays valid.
    bool announces_free_slots = false;
    /// An earlier attempt of the same request was not served by this backend server.
    bool tried = false;
    /// Mean time for which a request of the route holds a slot of this backend server.
    duration mean_hold{};
    /// The mean comes from requests of the choosing node; otherwise it may be an assumption.
    bool hold_is_measured = false;
    /// Fraction of its recent answers that were failures, in [0, 1].
    double failure_ratio = 0;
    /// When the choosing node last sent a request to it.
    time_point last_attempt_at{};
};

/// Parameters of one choice.
struct placement_request {
    /// Time left until the answer loses most of its value.
    duration objective_left{};
    /// Cost of sending the request to another availability zone, as a fraction of its value.
    double crossing_cost = 0;
    /// Random tie-break in [0, 1), drawn for each request, so that nodes with the same load reports
    /// do not all choose the same backend server.
    double jitter = 0;
};

/// Estimated number of requests at the backend server now: the reported ones less those that should
/// have ended since the report.
int expected_load(const candidate& target);

/// True when the backend server is likely to have a free slot.
bool seems_free(const candidate& target);

/// True when placement keeps requests away from the backend server because it was slow or failing.
/// A failing one is left out for requests that may not be repeated: they would fail as probes.
bool is_avoided(const candidate& target, const std::vector<candidate>& options, duration objective,
                bool safe);

/// Expected loss of sending the request to the backend server, as a fraction of the request's
/// value.
double placement_cost(const candidate& target, const placement_request& request);

/// Index of the candidate with the lowest cost, with ties broken by `jitter`; none when there are
/// no candidates.
std::optional<std::size_t> choose_candidate(const std::vector<candidate>& candidates,
                                            const placement_request& request);

} // namespace camphor::mesh
