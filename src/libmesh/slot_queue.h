// Admission queue in front of one backend server. Every request for the backend server passes
// through the node beside it, so the slots in use are counted, not estimated. Designed for steep
// bursts, sustained overload, requests of different priority, clients that disconnect while their
// request is queued, a backend server that goes on with requests which were given up, and one that
// is cold and would crash under its usual load.
#pragma once

#include "libmesh/hold_time.h"
#include "libmesh/messages.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphor::mesh {

/// Reason of a refusal by an owner whose slots are taken.
inline constexpr const char* overload_reason = "overload";

/// A request to be admitted to the backend server.
struct slot_request {
    run_id run;
    route_id route;
    /// Priority; 0 is served first.
    int rank = 0;
    /// An answer after this time is useless.
    time_point deadline;
    /// An answer after this time has lost most of its value.
    time_point objective;
    /// Whether the request may be queued; otherwise it is admitted at once or refused.
    bool may_wait = false;
};

/// Admits requests to the slots of one backend server, or queues or refuses them. A slot is the
/// capacity for one request at a time.
class slot_queue {
public:
    enum class admission : std::uint8_t { run, wait, refuse };
    struct decision {
        admission result{};
        /// Expected time until a slot is free; set when the request is queued or refused.
        duration wait{};
    };

    /// Sets the number of slots of the backend server; with zero every request is refused.
    void set_slots(int slots) { slots_ = slots; }
    int slots() const { return slots_; }
    /// Sets the number of requests that the backend server reports to have beyond those that this
    /// queue admitted; negative when it has fewer than were admitted.
    void set_untracked_running(int running, time_point now)
    {
        untracked_running_ = std::max(running, -this->running());
        untracked_reported_at_ = now;
        failed_probes_ = untracked_running_ < slots_ ? 0 : failed_probes_;
    }

    /// Until `until` the backend server is cold: it gets at most `per_second` requests in any
    /// second; 0: no limit.
    void set_cold(time_point until, double per_second);
    /// Admits, queues or refuses the request.
    decision offer(const slot_request& request, time_point now);
    /// Removes a running or waiting request. When it was `answered`, the time for which it held its
    /// slot updates the mean of its route.
    void finish(run_id run, bool answered, time_point now);
    /// Starts the first waiting request and returns its id; none without a free slot or a waiting
    /// request.
    std::optional<run_id> start_next(time_point now);
    /// Removes and returns the waiting requests that can no longer be answered by their deadline.
    std::vector<run_id> expire(time_point now);
    /// Removes and returns all waiting requests.
    std::vector<run_id> clear_waiting();

    /// True when a request would be admitted at once.
    bool has_free_slot(time_point now) const
    {
        return slots_ > 0 && free_slots(now) > 0 && waiting_.empty();
    }
    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    std::map<int, int> waiting_by_rank() const;
    /// Mean time for which a request of the route holds a slot; `prior` before the first answer.
    duration hold(const route_id& route, duration prior) const
    {
        return holds_.mean_of(route, prior);
    }
    bool knows_hold(const route_id& route) const { return holds_.has_values_of(route); }
    duration mean_hold() const { return holds_.mean(initial_mean_hold); }
    /// Discards the learned hold times, for use when another backend server takes over the address.
    void reset_hold_times() { holds_.clear(); }

private:
    /// Order of service. Within a rank, requests that can still meet their objective come first,
    /// ordered by earliest objective. Short nested calls thus precede long client requests, which
    /// frees the slot of the calling request sooner.
    struct waiting_key {
        int rank = 0;
        bool late = false;
        time_point objective;
        std::uint64_t arrival = 0;
        friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
    };
    struct running_request {
        route_id route;
        time_point started_at;
    };

    /// Mean hold time assumed before the first answer.
    static constexpr duration initial_mean_hold = std::chrono::milliseconds(100);

    int free_slots(time_point now) const;
    bool is_cold(time_point now) const { return now < cold_until_ && max_cold_starts_ > 0; }
    /// Requests that were started within the last second.
    std::size_t recent_starts(time_point now) const;
    /// Time until the limit of a cold backend server lets the request start that waits behind
    /// `before` others.
    duration cold_wait(std::size_t before, time_point now) const;
    /// True when the reported untracked requests take all slots, but should have ended since.
    bool needs_probe(time_point now) const;
    void run_request(const slot_request& request, time_point now);
    /// Expected time until a slot is free for a request that is queued behind the entries before
    /// `last`, assuming that no slot is free now.
    duration expected_wait(std::map<waiting_key, slot_request>::const_iterator last,
                           time_point now) const;
    waiting_key make_key(const slot_request& request, time_point now) const;
    /// Decides on a request that cannot run at once.
    decision wait_or_refuse(const slot_request& request, time_point now) const;

    int slots_ = 0;
    /// Invariant: not below -running(): lost answers free the slots of running requests only.
    int untracked_running_ = 0;
    /// When they were reported, or when a probe last failed to get a newer report.
    time_point untracked_reported_at_{};
    /// The running request that was admitted though all slots are reported as taken.
    std::optional<run_id> probe_;
    /// Number of probes in a row that were not served.
    int failed_probes_ = 0;
    time_point cold_until_{};
    /// Requests in any second while the backend server is cold; 0: no limit.
    std::size_t max_cold_starts_ = 0;
    /// When requests were started while it was cold, oldest first. Invariant: at most
    /// max_cold_starts_ of them lie within one second.
    std::deque<time_point> cold_starts_;
    std::uint64_t arrival_count_ = 0;
    std::map<waiting_key, slot_request> waiting_;
    std::map<run_id, running_request> running_;
    hold_times holds_;
};

} // namespace camphor::mesh
