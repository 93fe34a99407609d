// One move on one node: its own evidence and local stop, and the control duty when it holds it.
#pragma once

#include <camphortally/change_writer.h>
#include <camphortally/lease.h>
#include <camphortally/move_policy.h>
#include <wire_types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

struct step_context;

/// One finished attempt, as evidence.
struct attempt_outcome {
    service_id service;
    release_id release;
    route_id route;
    bool success = false;
    /// Refused or shed for overload: says nothing about the release.
    bool overloaded = false;
    duration latency{};
};

/// Lives while the move is not final. Ticks once per window of the policy.
class move_duty {
public:
    /// `number` tells this duty's timers and platform requests from others'.
    move_duty(const step_context& context, resource_ptr move, std::uint64_t number);

    const std::string& name() const { return move_->key.name; }
    const service_id& service() const { return spec().service; }

    /// The move as a newer configuration has it.
    void set_move(const step_context& context, resource_ptr move);
    void observe(const step_context& context, const attempt_outcome& outcome);
    void on_tick(const step_context& context);
    /// Sends what was seen since the last report.
    void report(const step_context& context);
    void on_platform(const step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);
    void on_report(const step_context& context, const wire::frame& frame);
    void on_order_result(const step_context& context, order_result result);
    /// Gives the lease back once the move is final.
    void finish(const step_context& context);

    bool is_stopped(const step_context& context, const release_id& release) const;

private:
    struct local_stop {
        /// Stage in force when the node stopped; a later one lifts the stop.
        std::int32_t stage = 0;
        std::string reason;
    };

    const move_spec& spec() const { return std::get<move_spec>(move_->spec); }
    const move_status& status() const { return *move_->status; }
    std::vector<node_id> candidates(const step_context& context) const;
    std::size_t rank(const step_context& context) const;
    void judge_locally(const step_context& context);
    wire::evidence_report_message take_report(const step_context& context);
    void take_evidence(const step_context& context, const std::string& sender,
                       const wire::evidence_report_message& message);
    void poll_lease(const step_context& context);
    void hold_duty(const step_context& context);
    void start_policy(const step_context& context);
    void act(const step_context& context, const move_decision& decision);
    resource_ptr decided(const step_context& context, const move_decision& decision) const;
    change_part completed_service(const step_context& context) const;
    void call_platform(const step_context& context, platform_request request);

    resource_ptr move_;
    std::uint64_t number_;
    time_point since_;
    lease lease_;
    /// Number of the last platform request; answers to earlier ones came too late.
    std::int32_t request_ = 0;
    /// Set while this node holds the duty.
    std::optional<move_policy> policy_;
    bool order_in_flight_ = false;

    /// Not yet reported.
    std::map<evidence_key, call_evidence> unreported_;
    bool report_soon_ = false;
    local_judge local_;
    std::optional<local_stop> stop_;
    /// Stops that other nodes reported, kept for the time when this node holds the duty.
    std::map<std::string, local_stop> stops_of_others_;
};

} // namespace camphor
