// Quarantine of requests that crash backend servers, from the crashes that all nodes of the mesh
// observed. Guards against a request that crashes every backend server that runs it and is sent
// again and again through any node, while other requests that run on the same backend servers are
// interrupted as well and must not be quarantined. A crash is any end of a backend server without
// draining.
#pragma once

#include "libmesh/request_print.h"

#include <mesh_types.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace camphor::mesh {

/// Reason given when a request is refused because it is in quarantine.
inline constexpr const char* quarantine_reason = "quarantined";

/// One incarnation of a backend server, from its start to its crash or exit.
struct backend_incarnation {
    backend_id id;
    /// Start time in milliseconds since the epoch, as the backend server reports it.
    std::int64_t born = 0;

    friend auto operator<=>(const backend_incarnation&, const backend_incarnation&) = default;
};

/// Records which requests were running when backend servers crashed, and which of these requests
/// are cleared of the suspicion. The state converges on all nodes in whatever order reports arrive.
/// A request is identified by its content and caller.
class crash_suspects {
public:
    /// Number of crashes after which a request is quarantined. A request that is retried after it
    /// was interrupted by another request's crash runs into fewer crashes.
    static constexpr std::size_t quarantine_threshold = 3;
    /// Crashes count for this long, and a quarantine ends this long after the last crash.
    static constexpr duration retention = std::chrono::minutes(10);
    /// A request that was answered on this node within this time is not suspected of a crash.
    /// Answers are remembered for up to twice as long.
    static constexpr duration answered_retention = std::chrono::seconds(10);

    /// Records that the backend server beside this node crashed while it ran the requests. Returns
    /// the report for all other nodes.
    mesh_wire::crash_report record_crash(const backend_incarnation& incarnation,
                                         const std::vector<request_fingerprint>& running,
                                         time_point now);
    /// Records that the request was answered on this node, which clears it of the crashes so far.
    /// Returns the cleared crashes, for all other nodes.
    mesh_wire::crash_report record_answer(const request_fingerprint& fingerprint, time_point now);
    /// Records that a backend server that was reported to have crashed is running. Returns the
    /// cleared crashes, for all other nodes.
    mesh_wire::crash_report record_alive(const backend_incarnation& incarnation, time_point now);
    struct merge_result {
        /// Crashes that this node clears because it recently answered the request; to be sent back
        /// to the node that reported them.
        mesh_wire::crash_report contradicted;
        /// Crashes that this node observed and another node has now cleared; to be sent to all
        /// nodes.
        mesh_wire::crash_report cleared;
    };
    /// Merges the report of another node. Entries without a fingerprint or with an age outside
    /// [0, `retention`) are ignored.
    merge_result merge(const mesh_wire::crash_report& report, time_point now);
    /// Removes crashes older than `retention`.
    void expire(time_point now);

    /// Time left until the request's quarantine ends; none when it is not in quarantine.
    std::optional<duration> remaining_quarantine(const request_fingerprint& fingerprint,
                                                 time_point now) const;
    /// Number of crashes that the request is suspected of.
    std::size_t crash_count(const request_fingerprint& fingerprint) const;
    /// Returns whether one more crash would quarantine some request.
    bool is_near_quarantine() const;
    bool empty() const { return crashes_by_content_.empty(); }
    /// Requests in quarantine.
    std::vector<request_fingerprint> quarantined(time_point now) const;
    /// All known crashes, for a node that may not know them.
    mesh_wire::crash_report report(time_point now) const;
    /// The crashes of the requests in quarantine.
    mesh_wire::crash_report quarantine_report(time_point now) const;

private:
    struct observed_crash {
        time_point at;
        /// The request was answered later, or the backend server had not crashed. Never reset, so
        /// that merging does not depend on the order of reports.
        bool is_cleared = false;
        /// Observed by this node, on the backend server beside it.
        bool is_own = false;
    };
    using crashes_by_incarnation = std::map<backend_incarnation, observed_crash>;
    using crashes_by_caller = std::map<service_id, crashes_by_incarnation>;

    /// Request contents on record. Bounds the memory after many crashes at once, and the message
    /// with all of them to about 20 KB.
    static constexpr std::size_t max_contents = 64;
    /// Crashes on record for one request; more add no information.
    static constexpr std::size_t max_crashes_per_request = 4;
    /// Answered requests remembered in each of the two periods.
    static constexpr std::size_t max_answered_per_period = 8'192;

    /// Crashes that count against a request.
    struct suspicion {
        std::size_t crashes = 0;
        /// Time of the latest crash, cleared ones included.
        time_point last_at{};
    };
    static suspicion suspicion_of(const crashes_by_incarnation& crashes);
    /// Suspicion against a request content when sent by `caller`: the crashes under all callers, or
    /// those under `caller` alone once any crash of the content is cleared.
    static suspicion suspicion_of(const crashes_by_caller& callers, const service_id& caller);
    bool was_answered(const request_fingerprint& fingerprint) const;
    void rotate_answered_periods(time_point now);
    /// Adds or updates a crash. Returns true when this clears a crash that this node observed.
    bool add_crash(const request_fingerprint& fingerprint, const backend_incarnation& incarnation,
                   const observed_crash& crash);
    static mesh_wire::backend_end to_wire(const request_fingerprint& fingerprint,
                                          const backend_incarnation& incarnation,
                                          const observed_crash& crash, time_point now);

    /// Keyed by request_fingerprint::content.
    std::map<std::uint64_t, crashes_by_caller> crashes_by_content_;
    /// Hashes of the requests that were answered on this node, in the current and the previous
    /// period of `answered_retention`.
    std::array<std::unordered_set<std::uint64_t>, 2> answered_;
    time_point answered_period_start_{};
};

} // namespace camphor::mesh
