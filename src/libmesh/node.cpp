// Entry points of the node: event dispatch, timers, configuration and shutdown.
#include "libmesh/node.h"
#include "libmesh/log_text.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Longest time between two steps while requests wait in the queue.
constexpr auto queue_poll_interval = 25ms;
/// Longest time between two steps otherwise: peers, dials and periodic reports.
constexpr auto idle_poll_interval = 200ms;
/// A gap between two steps that shows that the process stood still. Other nodes take over the
/// duties of a silent node after 1.2 s at the earliest (zone_reader_timeout).
constexpr auto pause_threshold = 1s;
/// One in this many periodic reports also goes to the other zones. This suffices, because changes
/// are sent to all nodes at once and answers carry the node's load.
constexpr std::uint64_t reports_per_cross_zone_report = 4;
/// A stopping node keeps running for at least this time, or half of the grace period if that is
/// shorter: clients notice that it accepts nothing new after two failed readiness checks, one
/// second apart.
constexpr duration min_drain_time = 2500ms;
/// Nearly all requests end within this multiple of the usual time that a request holds a slot.
constexpr int typical_hold_factor = 2;
/// Part of the grace period that is reserved for closing connections.
constexpr auto close_margin = 700ms;

} // namespace

node::node(mesh_settings settings, std::int64_t boot, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed)
{
    record_.__set_node(settings_.node.value());
    record_.__set_zone(settings_.zone.value());
    record_.__set_host(settings_.peers.host);
    record_.__set_port(settings_.peers.port);
    record_.__set_boot(boot);
}

effect_list node::step(const event& input, time_point now)
{
    const bool is_first = now_ == time_point{};
    const auto gap = is_first ? duration{} : now - now_;
    if (is_first) {
        allowances_ = allowance_gate(now);
    }
    now_ = std::max(now, now_);
    if (gap > pause_threshold) {
        resume_after_pause(gap);
    }
    std::visit([this](const auto& data) { handle(data); }, input);
    start_queued_runs();
    announce_free_slots();
    if (stopping_ && !exit_allowed_) {
        const bool idle = calls_.empty() && runs_.empty() && now_ >= earliest_exit_at();
        if (idle || now_ >= latest_exit_at()) {
            exit_allowed_ = true;
            log(idle ? log_level::info : log_level::warning, "node.leaving", "",
                {{"calls", std::to_string(calls_.size())},
                 {"runs", std::to_string(runs_.size())},
                 {"after_ms", format_ms(now_ - stop_requested_at_)}});
            effects_.emplace_back(shutdown_complete{});
        }
    }
    return std::exchange(effects_, {});
}

time_point node::next_step_due(time_point now) const
{
    time_point due =
        now + (queue_.waiting() > 0 ? duration(queue_poll_interval) : duration(idle_poll_interval));
    if (!call_deadlines_.empty()) {
        due = std::min(due, call_deadlines_.begin()->first);
    }
    return due;
}

time_point node::earliest_exit_at() const
{
    return stop_requested_at_ +
           std::min(min_drain_time, duration(settings_.bounds.grace_period) / 2);
}

time_point node::latest_exit_at() const
{
    return stop_requested_at_ + settings_.bounds.grace_period - close_margin;
}

bool node::usually_ends_by(duration mean_hold, time_point end) const
{
    return now_ + mean_hold * typical_hold_factor <= end;
}

bool node::lends_backend(duration mean_hold) const
{
    return !stopping_ || usually_ends_by(mean_hold, earliest_exit_at());
}

double node::random_fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void node::log(log_level level, std::string name, const std::string& request, log_fields fields)
{
    effects_.emplace_back(log_line{level, std::move(name), request, std::move(fields)});
}

void node::handle(const config_read& input)
{
    if (config_ && input.config->version() <= config_->version()) {
        return;
    }
    const auto before = config_ ? config_->version().value() : 0;
    config_ = input.config;
    config_applied_at_ = now_;
    limit_cold_start();
    log(log_level::info, "config.applied", "",
        {{"version", std::to_string(config_->version().value())},
         {"before", std::to_string(before)},
         {"routes", std::to_string(config_->routes().size())}});
}

void node::handle(const rollout_order_read& input)
{
    const auto& order = input.order;
    if (rollouts_.on_order(order, now_)) {
        log(log_level::info, "rollout.ordered", "",
            {{"service", order.service.value()},
             {"release", order.target.value()},
             {"duration_ms", std::to_string(order.duration.count())}});
    }
}

void node::handle(const rollout_status_read& input)
{
    rollouts_.on_status(input);
}

void node::handle(const rollout_status_written& input)
{
    rollouts_.on_written(input, now_);
    broadcast_rollout_shares(rollouts_.shares(now_));
}

void node::handle(const shutdown_requested&)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_requested_at_ = now_;
    log(log_level::info, "node.stopping", "",
        {{"calls", std::to_string(calls_.size())}, {"runs", std::to_string(runs_.size())}});
    broadcast_state();
}

void node::handle(const machine_resumed& input)
{
    resume_after_pause(input.gap);
}

void node::resume_after_pause(duration gap)
{
    log(log_level::warning, "node.resumed", "",
        {{"paused_ms", format_ms(gap)}, {"in_contact", store_fresh_ ? "true" : "false"}});
    leader_since_ = now_;
    allowances_.expire();
    if (std::exchange(store_fresh_, false)) {
        broadcast_state();
    }
}

void node::handle(const exit_imminent&)
{
    // The other nodes can place these runs elsewhere.
    refuse_queued_runs("stopping");
    while (!calls_.empty()) {
        give_up_call(calls_.begin()->first, "stopping");
    }
}

void node::handle(const bounds_changed& input)
{
    if (input.bounds.budget_window != settings_.bounds.budget_window) {
        // Windows of a different length start empty; a window's `extra` allowance limits the
        // additional retries that this permits.
        retry_budgets_.clear();
    }
    settings_.bounds = input.bounds;
}

void node::handle(const timer_tick&)
{
    while (!call_deadlines_.empty() && call_deadlines_.begin()->first <= now_) {
        give_up_call(call_deadlines_.begin()->second, "deadline");
    }
    for (const auto run : queue_.expire(now_)) {
        finish_run(run, {mesh_wire::run_outcome::refused, nullptr, "deadline", {}}, false);
    }
    acknowledge_overdue_departures();
    dial_disconnected_peers();
    detect_late_reads();
    elect_zone_reader();
    send_zone_keepalive();
    ping_unresponsive_peers();
    detect_silent_zones();
    hedge_overdue_calls();
    pull_config_if_behind();
    answer_pulls();
    evaluate_rollouts();
    exchange_allowances();
    update_quarantine();
    sync_quarantine_with_store();
    if (now_ >= next_state_report_) {
        next_state_report_ = now_ + settings_.bounds.heartbeat_interval;
        broadcast_state(state_reports_sent_ % reports_per_cross_zone_report == 0
                            ? audience::all
                            : audience::own_zone);
        ++state_reports_sent_;
        broadcast_running_rollouts();
    }
}

} // namespace camphor::mesh
