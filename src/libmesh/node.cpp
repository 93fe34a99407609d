// The reducer: events to the parts that they concern.
#include "libmesh/node.h"
#include "libmesh/log_text.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Waiting requests are looked at this often.
constexpr auto queue_check = 25ms;
/// Longest time between two looks at peers, dials and reports.
constexpr auto idle_check = 200ms;
/// Of so many periodic reports one goes to other zones too: what changed is told to all at once,
/// and answers carry how busy a node is.
constexpr std::uint64_t reports_to_own_zone = 4;
/// A stopping node stays this long at least, or half of a short grace period: clients learn by two
/// missed readiness questions, a second apart, that it takes nothing new.
constexpr duration stop_notice = 2500ms;
/// Kept of the grace period for closing connections.
constexpr auto stop_margin = 700ms;

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

effect_list node::step(const event& happened, time_point now)
{
    now_ = std::max(now, now_);
    std::visit([this](const auto& item) { take(item); }, happened);
    start_waiting();
    if (stopping_ && !told_stopped_) {
        const bool idle = calls_.empty() && runs_.empty() && now_ >= notice_ends_at();
        if (idle || now_ >= stops_at()) {
            told_stopped_ = true;
            log(idle ? log_level::info : log_level::warning, "node.leaving", "",
                {{"calls", std::to_string(calls_.size())},
                 {"runs", std::to_string(runs_.size())},
                 {"after_ms", millis(now_ - stop_asked_at_)}});
            out_.emplace_back(may_stop{});
        }
    }
    return std::exchange(out_, {});
}

time_point node::next_due(time_point now) const
{
    time_point due = now + (queue_.waiting() > 0 ? duration(queue_check) : duration(idle_check));
    if (!timers_.empty()) {
        due = std::min(due, timers_.begin()->first);
    }
    return due;
}

time_point node::notice_ends_at() const
{
    return stop_asked_at_ + std::min(stop_notice, duration(settings_.bounds.grace_period) / 2);
}

time_point node::stops_at() const
{
    return stop_asked_at_ + settings_.bounds.grace_period - stop_margin;
}

double node::random_part()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void node::log(log_level level, std::string name, const std::string& request, log_fields fields)
{
    out_.emplace_back(log_line{level, std::move(name), request, std::move(fields)});
}

void node::take(const config_read& happened)
{
    if (config_ && happened.config->version() <= config_->version()) {
        return;
    }
    const auto before = config_ ? config_->version().value() : 0;
    config_ = happened.config;
    config_at_ = now_;
    log(log_level::info, "config.applied", "",
        {{"version", std::to_string(config_->version().value())},
         {"before", std::to_string(before)},
         {"routes", std::to_string(config_->routes().size())}});
}

void node::take(const order_read& happened)
{
    const auto& order = happened.order;
    if (rollouts_.on_order(order, now_)) {
        log(log_level::info, "rollout.ordered", "",
            {{"service", order.service.value()},
             {"release", order.target.value()},
             {"duration_ms", std::to_string(order.duration.count())}});
    }
}

void node::take(const rollout_status_read& happened)
{
    rollouts_.on_status(happened);
}

void node::take(const rollout_status_written& happened)
{
    rollouts_.on_written(happened, now_);
    send_shares(rollouts_.shares(now_));
}

void node::take(const stop_asked&)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_asked_at_ = now_;
    log(log_level::info, "node.stopping", "",
        {{"calls", std::to_string(calls_.size())}, {"runs", std::to_string(runs_.size())}});
    broadcast_state();
}

void node::take(const bounds_changed& happened)
{
    if (happened.bounds.budget_window != settings_.bounds.budget_window) {
        // Windows of another length start empty; the extra of one window bounds what that allows.
        budgets_.clear();
    }
    settings_.bounds = happened.bounds;
}

void node::take(const time_passed&)
{
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        on_call_due(timers_.begin()->second);
    }
    for (const auto run : queue_.expire(now_)) {
        finish_run(run, {mesh_wire::run_outcome::refused, nullptr, "deadline", {}}, false);
    }
    dial_missing();
    notice_late_reads();
    choose_watcher();
    ping_zone();
    ping_owing();
    hedge_overdue();
    pull_if_behind();
    answer_pullers();
    judge_rollouts();
    review_quarantine();
    sync_crashes_with_store();
    if (now_ >= next_report_) {
        next_report_ = now_ + settings_.bounds.heartbeat_interval;
        broadcast_state(reports_ % reports_to_own_zone == 0 ? audience::all : audience::own_zone);
        ++reports_;
        tell_shares();
    }
}

} // namespace camphor::mesh
