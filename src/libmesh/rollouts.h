// Roll-outs of a service's next release: what share of the traffic it gets, and how it ends. The
// judgement is move_policy's; this part feeds it with the owners' evidence and spreads its
// decisions.
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

/// What a node knows of one service's roll-out.
struct rollout_view {
    rollout_order order;
    /// The order itself was read. Else service, target and row version are from another node's
    /// word.
    bool order_known = false;
    rollout_phase phase = rollout_phase::running;
    /// Part of the service's traffic that goes to the target while it runs.
    permille share{0};
    std::int32_t stage = 0;
    std::int64_t sequence = 0;
    /// When the order was first seen by a node.
    time_point started_at{};
    /// Last word of the holder.
    time_point heard_at{};
    /// Version of the status row as last read or written.
    std::int64_t status_version = 0;
    /// The status that the store holds answers this order.
    bool running_written = false;
    bool final_written = false;
    bool write_pending = false;
    time_point next_write{};
};

class rollouts {
public:
    /// Takes a new order. True when it is news.
    bool on_order(const rollout_order& order, time_point now);
    void on_status(const rollout_status_read& happened);
    void on_written(const rollout_status_written& happened, time_point now);
    /// Takes the word of the holder. True when the share or the phase changed by it.
    bool on_share(const mesh_wire::rollout_share& frame, time_point now);
    /// Evidence of this node or another; counts only at the holder.
    void on_evidence(const mesh_wire::evidence& report, const zone_id& from);
    /// Notes the outcome of a run on the backend server beside this node.
    void note_run(const service_id& service, const release_id& release, const route_id& way,
                  bool good, duration held);

    /// Whether a new request of the service goes to the target; `part` is random in [0, 1).
    std::optional<release_id> choose(const service_id& service, double part, time_point now) const;
    /// Whether a backend server of the release may get a request that was given `chosen`.
    bool allows(const service_id& service, const release_id& release,
                const std::optional<release_id>& chosen) const;

    /// Target of the service's roll-out while it runs with some share.
    std::optional<release_id> running_target(const service_id& service) const;

    struct decisions {
        std::vector<mesh_wire::rollout_share> shares;
        std::vector<write_rollout_status> writes;
        std::vector<log_line> lines;
    };
    /// What the operators allow: the part of a service's requests that a bad release may get, and
    /// the time that the slowest request of a service may take.
    struct limits {
        double exposure = 0;
        /// False while the decider has just taken over: what the others know is on its way.
        bool may_raise = true;
        std::function<duration(const service_id&)> longest_request;
    };
    /// Decides on every roll-out; for the holder only.
    decisions decide(time_point now, const limits& allowed);
    /// Outcomes that were noted here since the last call; empty when there are none.
    std::optional<mesh_wire::evidence> take_evidence();
    /// Frames that tell a node how all roll-outs stand.
    std::vector<mesh_wire::rollout_share> shares(time_point now) const;
    /// Some roll-out is not over.
    bool any_running() const;

private:
    struct judged {
        std::int64_t order = 0;
        /// When this node began to collect what it judges by.
        time_point since{};
        /// Counts by route and release that came in.
        std::int64_t reports = 0;
        std::unique_ptr<move_policy> policy;
        recent_outcomes old_side;
        recent_outcomes new_side;
        /// Since the order, without decay.
        recent_outcomes old_total;
        recent_outcomes new_total;
        /// By route: a fault may show on one only.
        std::map<std::string, std::pair<recent_outcomes, recent_outcomes>> by_route;
    };
    struct note_key {
        service_id service;
        route_id way;
        release_id release;
        friend auto operator<=>(const note_key&, const note_key&) = default;
    };
    struct note {
        std::int32_t good = 0;
        std::int32_t bad = 0;
        latency_histogram latency;
    };

    /// A fault of the new release that needs no further proof.
    std::optional<std::string> gross_fault(const rollout_view& view);
    void judge(rollout_view& view, time_point now, const limits& allowed, decisions& out);
    /// Brings the policy of the view's order, made anew for a new order, to the view's stage.
    void sync_policy(const rollout_view& view, time_point now, const limits& allowed);
    void write_status(rollout_view& view, time_point now, decisions& out);
    static mesh_wire::rollout_share frame_of(const rollout_view& view, time_point now);
    /// Forgets an earlier order of the service.
    static void start_anew(rollout_view& view, const rollout_order& order, time_point now);

    std::map<service_id, rollout_view> views_;
    std::map<service_id, judged> policies_;
    std::map<note_key, note> notes_;
};

} // namespace camphor::mesh
