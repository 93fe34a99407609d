// Requests during which backend servers ended, as the whole mesh saw it. Answers this load pattern:
// one request that ends every backend server which runs it and is sent again and again, at any
// node, while others are cut off at the same servers.
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

/// Reason of refusals that keep a request from backend servers since others ended under it.
inline constexpr const char* quarantine_reason = "quarantined";

/// One start of a backend server.
struct backend_life {
    backend_id id;
    std::int64_t born = 0;

    friend auto operator<=>(const backend_life&, const backend_life&) = default;
};

class crash_suspects {
public:
    /// A request is quarantined after so many ends of backend servers: fewer happen to requests
    /// that are sent again after they were cut off beside the one that ends them.
    static constexpr std::size_t most_ends = 3;
    /// Ends count for so long, and a quarantine lasts as long after the last one.
    static constexpr duration memory = std::chrono::minutes(10);
    /// A request that was answered here so lately, at least, did not end a backend server.
    static constexpr duration answered_memory = std::chrono::seconds(10);

    /// The backend server beside this node ended while it ran the requests. Returns what other
    /// nodes need to hear.
    mesh_wire::crash_report note_end(const backend_life& life,
                                     const std::vector<request_print>& running, time_point now);
    /// The request was answered here. Returns what others need to hear: the ends so far were not
    /// its doing.
    mesh_wire::crash_report note_answered(const request_print& print, time_point now);
    /// The backend server was believed to have ended and has not.
    mesh_wire::crash_report note_alive(const backend_life& life, time_point now);
    struct merged {
        /// Ends of requests that were answered here lately: for the node that told of them.
        mesh_wire::crash_report contradicted;
        /// Ends that this node saw, and of which another one has cleared the request: for all
        /// nodes.
        mesh_wire::crash_report cleared;
    };
    /// Takes over what another node saw.
    merged merge(const mesh_wire::crash_report& report, time_point now);
    /// Forgets what is too old.
    void expire(time_point now);

    /// Time for which the request is still kept from backend servers; none when it is not.
    std::optional<duration> quarantined_for(const request_print& print, time_point now) const;
    /// Backend servers that ended while they ran the request, apart from those that it is cleared
    /// of.
    std::size_t ends(const request_print& print) const;
    /// Some request needs one more end to be quarantined.
    bool is_near_quarantine() const;
    bool empty() const { return seen_.empty(); }
    /// Requests in quarantine.
    std::vector<request_print> quarantined(time_point now) const;
    /// All that is known, for a node that may not know it.
    mesh_wire::crash_report report(time_point now) const;
    /// The same of the requests in quarantine only.
    mesh_wire::crash_report quarantine_report(time_point now) const;

private:
    struct observed_end {
        time_point at;
        /// The request was answered later, or the backend server had not ended. Never turns back.
        bool is_cleared = false;
        /// The backend server is the one beside this node.
        bool is_own = false;
    };
    using ends_by_life = std::map<backend_life, observed_end>;
    using ends_by_caller = std::map<service_id, ends_by_life>;

    /// Bounds what many ends at once leave behind, and the frame with all of it to some 20 KB.
    static constexpr std::size_t most_contents = 64;
    /// More ends of one request tell nothing new.
    static constexpr std::size_t most_lives = 4;
    /// Bounds the memory of answered requests, in each of its two halves.
    static constexpr std::size_t most_answered = 8'192;

    struct standing {
        std::size_t ends = 0;
        time_point last{};
    };
    static standing standing_of(const ends_by_life& lives);
    /// What counts against the request: its own caller's ends, or those of several callers if the
    /// content was never answered to any.
    static standing standing_of(const ends_by_caller& callers, const service_id& caller);
    bool was_answered(const request_print& print) const;
    void rotate_answered(time_point now);
    /// True when an end that this node saw is cleared by it.
    bool add(const request_print& print, const backend_life& life, const observed_end& end);
    static mesh_wire::backend_end to_wire(const request_print& print, const backend_life& life,
                                          const observed_end& end, time_point now);

    std::map<std::uint64_t, ends_by_caller> seen_;
    /// Prints of requests that were answered here lately: of this and of the last period.
    std::array<std::unordered_set<std::uint64_t>, 2> answered_;
    time_point answered_since_{};
};

} // namespace camphor::mesh
