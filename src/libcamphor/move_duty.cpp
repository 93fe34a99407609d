// Evidence, local stop and control duty of one move on one node.
#include <camphortally/move_duty.h>
#include <camphortally/node.h>
#include <camphortally/rendezvous.h>

#include "control_keys.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

/// A report with a failure of the new release leaves after this time instead of the next tick.
constexpr duration urgent_report_delay = 50ms;
/// Nodes that may contend for the lease; each waits this much longer than the one before.
constexpr std::size_t contender_count = 3;
constexpr duration contender_delay = 1s;

wire::evidence_cell to_wire(const evidence_key& key, const call_evidence& seen,
                            const move_spec& spec)
{
    wire::evidence_cell out;
    const bool is_new = key.side == release_side::new_release;
    out.route = key.route.value();
    out.release = (is_new ? spec.to_release : spec.from_release).value();
    out.successes = static_cast<std::int64_t>(seen.successes);
    out.failures = static_cast<std::int64_t>(seen.failures);
    out.overloaded = static_cast<std::int64_t>(seen.overloaded);
    out.latency_buckets = seen.latency.to_counts();
    return out;
}

call_evidence from_wire(const wire::evidence_cell& cell)
{
    call_evidence out;
    out.successes = static_cast<double>(std::max<std::int64_t>(cell.successes, 0));
    out.failures = static_cast<double>(std::max<std::int64_t>(cell.failures, 0));
    out.overloaded = static_cast<double>(std::max<std::int64_t>(cell.overloaded, 0));
    out.latency = latency_histogram::from_counts(cell.latency_buckets);
    return out;
}

std::string owner_of(const step_context& context)
{
    const auto& node = context.node;
    return node.settings.node.value() + "/" + std::to_string(node.life.value());
}

duration cold_start_of(const snapshot& view, const move_spec& spec)
{
    for (const auto& [key, item] : view.resources()) {
        if (key.kind != resource_kind::upstream) {
            continue;
        }
        const auto& upstream = std::get<upstream_spec>(item->spec);
        if (upstream.service == spec.service && upstream.release == spec.to_release) {
            return upstream.cold_start;
        }
    }
    return duration{};
}

} // namespace

move_duty::move_duty(const step_context& context, resource_ptr move, std::uint64_t number)
    : move_(std::move(move)), number_(number), since_(context.now),
      lease_(spec().service.value(), context.node.settings.node.value(), owner_of(context))
{
    context.start_timer({module_id::control, control_timer::tick, number_}, move_policy::window);
}

void move_duty::set_move(const step_context& context, resource_ptr move)
{
    move_ = std::move(move);
    if (stop_ && status().stage > stop_->stage) {
        stop_.reset();
    }
    std::erase_if(stops_of_others_,
                  [this](const auto& entry) { return status().stage > entry.second.stage; });
    if (policy_) {
        policy_->set_move(spec(), status(), context.wall_now());
    }
}

bool move_duty::is_stopped(const step_context& context, const release_id& release) const
{
    return release == spec().to_release && (stop_ || context.wall_now() >= spec().deadline);
}

void move_duty::observe(const step_context& context, const attempt_outcome& outcome)
{
    const bool is_new = outcome.release == spec().to_release;
    if (!is_new && outcome.release != spec().from_release) {
        return;
    }
    call_evidence seen;
    if (outcome.overloaded) {
        seen.overloaded = 1;
    } else if (outcome.success) {
        seen.successes = 1;
        seen.latency.add(outcome.latency);
    } else {
        seen.failures = 1;
    }
    const auto side = is_new ? release_side::new_release : release_side::old_release;
    unreported_[{context.node.settings.zone, outcome.route, side}].add(seen);
    local_.observe(side, seen);
    if (is_new && seen.failures > 0 && !report_soon_) {
        report_soon_ = true;
        context.start_timer({module_id::control, control_timer::report, number_},
                            urgent_report_delay);
    }
}

void move_duty::on_tick(const step_context& context)
{
    context.start_timer({module_id::control, control_timer::tick, number_}, move_policy::window);
    judge_locally(context);
    report(context);
    poll_lease(context);
    if (lease_.is_held(context.now)) {
        hold_duty(context);
    } else {
        policy_.reset();
    }
}

void move_duty::judge_locally(const step_context& context)
{
    const auto kind = local_.close_window(status().stage);
    if (stop_ || !kind) {
        return;
    }
    stop_ = local_stop{status().stage,
                       to_string(*kind) + " seen by " + context.node.settings.node.value()};
    context.log(log_level::warning, "move.stopped", name() + ": " + stop_->reason);
}

std::vector<node_id> move_duty::candidates(const step_context& context) const
{
    std::vector<node_id> out{context.node.settings.node};
    for (const auto& [id, item] : context.node.members.members()) {
        if (context.node.members.is_live(id) && id != out.front()) {
            out.push_back(id);
        }
    }
    const auto& key = spec().service.value();
    std::sort(out.begin(), out.end(), [&key](const node_id& left, const node_id& right) {
        return rendezvous_weight(key, left) > rendezvous_weight(key, right);
    });
    out.resize(std::min(out.size(), contender_count));
    return out;
}

std::size_t move_duty::rank(const step_context& context) const
{
    const auto nodes = candidates(context);
    const auto found = std::find(nodes.begin(), nodes.end(), context.node.settings.node);
    return static_cast<std::size_t>(found - nodes.begin());
}

wire::evidence_report_message move_duty::take_report(const step_context& context)
{
    wire::evidence_report_message out;
    out.move = name();
    out.config_version = context.node.config.current()->version().value();
    out.zone = context.node.settings.zone.value();
    out.stopped = stop_.has_value();
    out.stop_reason = stop_ ? stop_->reason : "";
    for (const auto& [key, seen] : unreported_) {
        out.cells.push_back(to_wire(key, seen, spec()));
    }
    unreported_.clear();
    report_soon_ = false;
    return out;
}

void move_duty::report(const step_context& context)
{
    if (unreported_.empty() && !stop_) {
        return;
    }
    const auto message = take_report(context);
    if (lease_.is_held(context.now)) {
        take_evidence(context, context.node.settings.node.value(), message);
        return;
    }
    const auto nodes = candidates(context);
    const auto& members = context.node.members;
    const auto holder = members.is_live(status().holder) ? status().holder : nodes.front();
    // A stop goes to every candidate, so that it outlasts the holder and this node.
    auto receivers = stop_ ? nodes : std::vector<node_id>{};
    if (std::find(receivers.begin(), receivers.end(), holder) == receivers.end()) {
        receivers.push_back(holder);
    }
    wire::frame frame;
    frame.__set_evidence_report(message);
    for (const auto& receiver : receivers) {
        const auto found = members.members().find(receiver);
        if (found != members.members().end() && receiver != context.node.settings.node) {
            context.send(found->second.peer, frame);
        }
    }
}

void move_duty::on_report(const step_context& context, const wire::frame& frame)
{
    take_evidence(context, frame.sender, frame.evidence_report);
}

void move_duty::take_evidence(const step_context& context, const std::string& sender,
                              const wire::evidence_report_message& message)
{
    if (message.stopped) {
        stops_of_others_[sender] = {status().stage, message.stop_reason};
    }
    if (!policy_ || !lease_.is_held(context.now)) {
        return;
    }
    for (const auto& cell : message.cells) {
        const bool is_new = cell.release == spec().to_release.value();
        if (!is_new && cell.release != spec().from_release.value()) {
            continue;
        }
        const auto side = is_new ? release_side::new_release : release_side::old_release;
        policy_->observe({zone_id{message.zone}, route_id{cell.route}, side}, from_wire(cell));
    }
}

void move_duty::call_platform(const step_context& context, platform_request request)
{
    context.call_platform({module_id::control, ++request_, number_}, std::move(request));
}

void move_duty::poll_lease(const step_context& context)
{
    const auto place = rank(context);
    const auto wait = contender_delay * static_cast<std::int64_t>(place);
    const bool contend = place < contender_count && context.now >= since_ + wait;
    if (auto request = lease_.poll(context.now, contend && !context.node.stopping)) {
        call_platform(context, std::move(*request));
    }
}

void move_duty::on_platform(const step_context& context, const platform_ticket& ticket,
                            const platform_reply& reply)
{
    if (ticket.kind != request_) {
        return;
    }
    lease_.on_reply(context.now, reply);
    if (auto request = lease_.poll(context.now, true)) {
        call_platform(context, std::move(*request));
    }
}

void move_duty::hold_duty(const step_context& context)
{
    if (!policy_) {
        start_policy(context);
    }
    for (const auto& [node, stop] : stops_of_others_) {
        policy_->proxy_stopped(stop.reason);
    }
    const auto decision = policy_->decide(context.wall_now());
    if (order_in_flight_) {
        return;
    }
    if (decision.action != move_action::hold) {
        act(context, decision);
    } else if (status().holder != context.node.settings.node) {
        // Proxies learn where to report; stage and share stay.
        act(context, {move_action::set_share, status().share, status().stage, status().reason,
                      status().evidence});
    }
}

void move_duty::start_policy(const step_context& context)
{
    policy_.emplace(spec(), cold_start_of(*context.node.config.current(), spec()));
    policy_->set_move(spec(), status(), context.wall_now());
    context.log(log_level::info, "move.held", name() + ": this node holds the control duty");
}

resource_ptr move_duty::decided(const step_context& context, const move_decision& decision) const
{
    auto next = *move_;
    auto& status = *next.status;
    const bool same_stage = decision.stage == status.stage && status.stage > 0;
    constexpr std::int32_t full_share = 1000;
    switch (decision.action) {
    case move_action::complete:
        status.phase = move_phase::completed;
        status.share = permille{full_share};
        break;
    case move_action::revert:
        status.phase = move_phase::reverted;
        status.share = permille{0};
        break;
    case move_action::refuse:
        status.phase = move_phase::refused;
        status.share = permille{0};
        break;
    default:
        status.phase = move_phase::progressing;
        status.share = decision.share;
        status.stage = decision.stage;
        break;
    }
    status.holder = context.node.settings.node;
    status.reason = decision.reason;
    status.evidence = decision.evidence;
    // A new holder of the same stage keeps the time at which the stage began.
    if (!same_stage || is_final(status.phase)) {
        status.changed_at = context.wall_now();
    }
    return std::make_shared<const resource>(std::move(next));
}

change_part move_duty::completed_service(const step_context& context) const
{
    const resource_key key{resource_kind::service, spec().service.value()};
    const auto held = context.node.config.current()->find(key);
    auto next = *held;
    std::get<service_spec>(next.spec).release = spec().to_release;
    return {key, std::make_shared<const resource>(std::move(next)), held->revision};
}

void move_duty::act(const step_context& context, const move_decision& decision)
{
    change_order order;
    if (decision.action == move_action::complete) {
        order.parts.push_back(completed_service(context));
    }
    order.parts.push_back({move_->key, decided(context, decision), move_->revision});
    order.from.who = "control/" + context.node.settings.node.value();
    order.conditions.push_back(lease_.fence());
    order_in_flight_ = true;
    context.log(log_level::info, "move.decided", name() + ": " + decision.reason);
    auto writable = context;
    context.node.writer.place(writable, std::move(order));
}

void move_duty::on_order_result(const step_context& context, order_result result)
{
    order_in_flight_ = false;
    if (result == order_result::fenced) {
        lease_.lose();
        policy_.reset();
        context.log(log_level::warning, "move.fenced", name() + ": another node holds the duty");
    }
}

void move_duty::finish(const step_context& context)
{
    context.out.emplace_back(cancel_timer{{module_id::control, control_timer::tick, number_}});
    context.out.emplace_back(cancel_timer{{module_id::control, control_timer::report, number_}});
    if (auto request = lease_.release(context.now)) {
        call_platform(context, std::move(*request));
    }
}

} // namespace camphor
