// State of the roll-outs of new releases: the share of a service's traffic that the new release
// gets, and how each roll-out ends. One node of the mesh, the leader, decides on all of them: it
// feeds move_policy with the outcomes that the nodes report and distributes the decisions.
#pragma once

#include "libmesh/gross_fault.h"
#include "libmesh/messages.h"

#include <camphortally/move_policy.h>
#include <mesh_types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace camphor::mesh {

/// What a node knows about the roll-out of one service.
struct rollout_view {
    rollout_order order;
    /// The order was read from the operators' rows. Otherwise only its service, target and row
    /// version are known, from another node's message.
    bool order_read = false;
    rollout_phase phase = rollout_phase::running;
    /// Share of the service's traffic that goes to the target release while the roll-out is
    /// running.
    permille share{0};
    /// Stage of move_policy; 0 before the first.
    std::int32_t stage = 0;
    /// Raised by the leader with each change; orders the messages about one roll-out.
    std::int64_t sequence = 0;
    /// When the first node saw the order.
    time_point started_at{};
    /// When the leader's last message arrived.
    time_point leader_heard_at{};
    /// Packed store_position of the status row as last read or written.
    std::int64_t status_version = 0;
    /// The store holds a status that refers to this order.
    bool running_status_written = false;
    /// The store holds the final status of this order.
    bool final_status_written = false;
    bool status_write_pending = false;
    /// Earlier orders of the service, oldest first. A store that came back from a copy may hold one
    /// of them again.
    std::vector<rollout_order> superseded;
    /// Earliest time of the next attempt to write the status.
    time_point next_status_write{};
};

/// All roll-outs that a node knows, by service. The newest order of a service replaces earlier
/// ones.
class rollouts {
public:
    /// Processes an order read from the operators' rows. Returns true when it was not known yet.
    bool on_order(const rollout_order& order, time_point now);
    /// The store came back from a copy: orders and statuses may be gone from it.
    void on_store_restored(std::int64_t era);
    /// Processes a status row read from the store.
    void on_status(const rollout_status_read& read);
    /// Processes the result of a write requested by decide().
    void on_written(const rollout_status_written& written, time_point now);
    /// Processes the leader's message. Returns true when it changed the share or the phase.
    bool on_share(const mesh_wire::rollout_share& frame, time_point now);
    /// Adds the outcomes reported by a node of availability zone `from`. Only the leader evaluates
    /// them.
    void on_evidence(const mesh_wire::evidence& report, const zone_id& from);
    /// Records the outcome of a run on the backend server beside this node, for take_evidence().
    /// `held` is the time from sending the request to its answer.
    void record_outcome(const service_id& service, const release_id& release, const route_id& route,
                        run_verdict verdict, duration held);

    /// Returns the target release when a new request of the service is to go to it.
    /// `random_fraction` is a random number in [0, 1).
    std::optional<release_id> choose(const service_id& service, double random_fraction,
                                     time_point now) const;
    /// Returns whether a backend server of `release` may run a request for which choose() returned
    /// `chosen`.
    bool allows(const service_id& service, const release_id& release,
                const std::optional<release_id>& chosen) const;

    /// Target of the service's roll-out while it is running with a share above zero.
    std::optional<release_id> running_target(const service_id& service) const;

    /// What the leader has to send, write and log.
    struct decisions {
        std::vector<mesh_wire::rollout_share> shares;
        std::vector<write_rollout_status> writes;
        std::vector<log_line> lines;
    };
    /// Limits of decide().
    struct limits {
        /// Fraction of a service's requests that a bad release may get, set by the operators.
        double max_exposure = 0;
        /// False while a new leader has not yet received what the other nodes know.
        bool may_raise_share = true;
        /// Longest time that a request of the service may take.
        std::function<duration(const service_id&)> longest_request;
        /// Whether a backend server of the service with this release is in use.
        std::function<bool(const service_id&, const release_id&)> has_backend;
    };
    /// Decides on every roll-out. Called by the leader only.
    decisions decide(time_point now, const limits& allowed);
    /// Returns the outcomes recorded since the last call; none without any.
    std::optional<mesh_wire::evidence> take_evidence();
    /// Messages with the state of all roll-outs, for a node that may not know it.
    std::vector<mesh_wire::rollout_share> shares(time_point now) const;
    /// Returns whether some roll-out with a known order has not ended.
    bool any_running() const;

private:
    /// Evidence of one roll-out, and the policy that evaluates it.
    struct evaluation {
        /// Packed store_position of the order.
        std::int64_t order = 0;
        /// When this node began to collect evidence.
        time_point collecting_since{};
        /// Number of counts received, each for one route and one release.
        std::int64_t received_counts = 0;
        std::unique_ptr<move_policy> policy;
        /// Outcomes with exponential decay.
        release_outcomes recent;
        /// All outcomes since the order, without decay.
        release_outcomes total;
        /// Outcomes by route, with exponential decay. A fault may show on a single route only.
        std::map<std::string, release_outcomes> recent_by_route;
        /// Outcomes since the last decision.
        release_outcomes window;
        shed_comparison shedding;
        /// When the new release was first seen to fail often with many failures; none while it does
        /// not.
        std::optional<time_point> failing_since;
        /// The last decision would have raised the share, but the new release is in doubt.
        bool held = false;
        /// The new release has had a backend server in use.
        bool has_started = false;
        /// Since when the new release has no backend server in use any more; none while it has one.
        /// Its share is not raised then, since nothing is learned about it.
        std::optional<time_point> down_since;
    };
    /// What the leader decides on one roll-out. `held`: see evaluation::held.
    struct judgement {
        move_decision decided;
        bool held = false;
    };
    struct outcome_key {
        service_id service;
        route_id route;
        release_id release;
        friend auto operator<=>(const outcome_key&, const outcome_key&) = default;
    };
    /// Outcomes of runs on the backend server beside this node.
    struct outcome_counts {
        std::int32_t good = 0;
        std::int32_t bad = 0;
        std::int32_t shed = 0;
        latency_histogram latency;
    };

    /// Describes a fault of the new release that is large enough to roll back at once; none without
    /// one. Decays the outcomes.
    std::optional<std::string> check_gross_fault(const rollout_view& view);
    /// Returns whether the new release fails often, on all requests or on one route, whatever the
    /// old one does.
    static bool new_release_fails_often(const evaluation& evidence);
    /// Returns whether a release that fails often has done so for too long to wait for the old
    /// release to recover.
    static bool fails_for_too_long(evaluation& evidence, bool fails_often, time_point now);
    /// Judges the evidence of one roll-out. Closes a window of it, so it is called once for each
    /// decision.
    judgement judge(const rollout_view& view, time_point now, const limits& allowed);
    /// A log line with the state of a roll-out and what is known of both releases.
    static log_line make_line(const std::string& event, const rollout_view& view,
                              const evaluation& evidence, time_point now);
    /// Decides on one roll-out.
    void decide_one(rollout_view& view, time_point now, const limits& allowed, decisions& out);
    /// Notes whether the new release has backend servers, and tells the policy of an outage.
    static void watch_outage(const rollout_view& view, evaluation& evidence, time_point now,
                             const limits& allowed, decisions& out);
    /// Sets the policy to the share and stage of `view`. Creates it for a new order.
    void sync_policy(const rollout_view& view, time_point now, const limits& allowed);
    /// Requests a write of the status when the store does not hold it.
    void request_status_write(rollout_view& view, time_point now, decisions& out);
    static mesh_wire::rollout_share make_share_frame(const rollout_view& view, time_point now);
    /// Whether `order` is the known order, found again after the store came back from a copy.
    static bool is_written_again(const rollout_view& view, const rollout_order& order);
    /// Whether `order` is one that the known order has replaced.
    static bool is_superseded(const rollout_view& view, const rollout_order& order);
    /// The row was written before the store last came back from a copy, as far as is known.
    bool is_of_earlier_era(std::int64_t row_version) const;
    /// Keeps the state of the roll-out, whose order has another row version now.
    void follow_order(rollout_view& view, std::int64_t row_version);
    /// Replaces an earlier order of the service and resets the state of its roll-out.
    static void reset_for_order(rollout_view& view, const rollout_order& order, time_point now);

    std::map<service_id, rollout_view> views_;
    /// Era of the store; 0 until it has come back from a copy. An order of an earlier era may be
    /// gone from the store; its status is written once the order is there again.
    std::int64_t store_era_ = 0;
    std::map<service_id, evaluation> evaluations_;
    std::map<outcome_key, outcome_counts> local_outcomes_;
};

} // namespace camphor::mesh
