// The queue before the slots of one backend server. All requests for it pass its own node, so slots
// in use are counted, not estimated. Answers these load patterns: a steep burst, sustained
// overload, urgent requests beside less urgent ones, clients that leave while they wait.
#pragma once

#include "libmesh/hold_time.h"
#include "libmesh/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphor::mesh {

/// A request that wants a slot.
struct slot_request {
    run_id run;
    route_id route;
    /// 0 is served first.
    int rank = 0;
    /// No answer is wanted after this.
    time_point deadline;
    /// An answer loses most of its value after this.
    time_point objective;
    bool may_wait = false;
};

class slot_queue {
public:
    enum class verdict : std::uint8_t { run, wait, refuse };
    struct decision {
        verdict what{};
        /// Time until a slot is expected, for a refusal.
        duration wait{};
    };

    /// Slots of the backend server; zero takes nothing.
    void set_slots(int slots) { slots_ = slots; }
    int slots() const { return slots_; }
    /// Requests at the backend server that this queue did not send, as far as it reported them;
    /// below zero when it runs fewer than were sent.
    void set_foreign(int running) { foreign_ = running; }

    /// Takes a slot, a place in the queue, or nothing.
    decision offer(const slot_request& item, time_point now);
    /// Ends a request wherever it stands; `answered` ones are learned from.
    void finish(run_id run, bool answered, time_point now);
    /// Gives a free slot to the first request that waits, if both are there.
    std::optional<run_id> start_next(time_point now);
    /// Removes and returns waiting requests that could not be served in time any more.
    std::vector<run_id> expire(time_point now);
    /// Removes and returns all waiting requests.
    std::vector<run_id> clear_waiting();

    int running() const { return static_cast<int>(running_.size()); }
    int waiting() const { return static_cast<int>(waiting_.size()); }
    std::map<int, int> waiting_by_rank() const;
    /// Time that a request of the route holds a slot.
    duration hold(const route_id& name, duration prior) const { return holds_.of(name, prior); }
    duration mean_hold() const { return holds_.mean(first_hold); }
    /// Forgets what was learned: another backend server has the address.
    void forget() { holds_.clear(); }

private:
    /// Within a rank the earliest objective goes first: short calls that a running request makes go
    /// before long requests of clients, and their caller's slot is free again sooner.
    /// Those that are late already come behind those that can still be in time.
    struct waiting_key {
        int rank = 0;
        bool late = false;
        time_point objective;
        std::uint64_t arrival = 0;
        friend auto operator<=>(const waiting_key&, const waiting_key&) = default;
    };
    struct started {
        route_id route;
        time_point at;
    };

    /// Assumed until a first answer tells more.
    static constexpr duration first_hold = std::chrono::milliseconds(100);

    int free_slots() const;
    /// Time until a request gets a slot that those up to `last` go before, while none is free.
    duration wait_behind(std::map<waiting_key, slot_request>::const_iterator last) const;
    waiting_key key_of(const slot_request& item, time_point now) const;
    decision decide_wait(const slot_request& item, time_point now) const;

    int slots_ = 0;
    int foreign_ = 0;
    std::uint64_t arrivals_ = 0;
    /// In the order of service.
    std::map<waiting_key, slot_request> waiting_;
    std::map<run_id, started> running_;
    hold_times holds_;
};

} // namespace camphor::mesh
