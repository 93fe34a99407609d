// Probes within the zone.
#include <camphortally/failure_detector.h>
#include <camphortally/node.h>

#include "membership_timers.h"

#include <algorithm>

namespace camphor {

namespace {

using namespace std::chrono_literals;

/// One direct probe per period.
constexpr duration probe_period = 500ms;
/// Indirect probes start when the direct one is unanswered for this long.
constexpr duration direct_timeout = 150ms;
constexpr duration suspicion_time = 2s;
/// A tick later than this says that this node was paused: what it did not hear counts for nothing.
constexpr duration late_tick = 2 * probe_period;
/// Nodes die in herds: after a failed probe more are probed at once.
constexpr std::size_t probes_in_trouble = 4;
/// Nodes of the own zone that are asked; one of another zone comes on top.
constexpr std::size_t indirect_probes = 3;
/// Without a frame from anybody for this long it is this node that is cut off.
constexpr duration isolation_silence = 1s;

} // namespace

void failure_detector::start(step_context& context)
{
    last_tick_ = context.now;
    context.start_timer(timer_of(membership_timer::probe), context.jitter(0ms, probe_period));
}

void failure_detector::on_timer(step_context& context, const timer_key& key)
{
    if (key == timer_of(membership_timer::indirect_probe)) {
        for (const auto& each : probes_) {
            if (!each.answered) {
                probe_indirectly(context, each);
            }
        }
        return;
    }
    tick(context);
}

void failure_detector::tick(step_context& context)
{
    const bool can_judge_now = can_judge(context);
    last_tick_ = context.now;
    bool trouble = false;
    if (!can_judge_now) {
        for (auto& [node, deadline] : suspects_) {
            deadline = context.now + suspicion_time;
        }
    } else {
        trouble = judge_last_probes(context);
        expire_suspects(context);
    }
    std::erase_if(relayed_, [&](const auto& item) { return item.second.expires < context.now; });
    probes_.clear();
    for (std::size_t i = 0; i < (trouble ? probes_in_trouble : 1); ++i) {
        probe_next(context);
    }
    for (const auto& [node, deadline] : suspects_) {
        send_ping(context, node, ++next_sequence_);
    }
    context.start_timer(timer_of(membership_timer::probe), probe_period);
}

bool failure_detector::can_judge(const step_context& context) const
{
    return context.now - last_tick_ <= late_tick && context.now - heard_at_ <= isolation_silence;
}

bool failure_detector::judge_last_probes(step_context& context)
{
    bool trouble = false;
    for (const auto& each : probes_) {
        if (!each.answered) {
            context.node.members.suspect(context, each.target);
            trouble = true;
        }
    }
    return trouble;
}

void failure_detector::expire_suspects(step_context& context)
{
    std::vector<node_id> expired;
    for (const auto& [node, deadline] : suspects_) {
        if (deadline <= context.now) {
            expired.push_back(node);
        }
    }
    for (const auto& node : expired) {
        suspects_.erase(node);
        context.node.members.declare_dead(context, node);
    }
}

void failure_detector::note_suspect(step_context& context, const node_id& node)
{
    suspects_.emplace(node, context.now + suspicion_time);
}

std::optional<node_id> failure_detector::next_target(step_context& context)
{
    const auto& members = context.node.members;
    const auto& self = context.node.settings.node;
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round_.empty()) {
            auto target = std::move(round_.back());
            round_.pop_back();
            if (target != self && members.is_live(target)) {
                return target;
            }
        }
        round_ = members.live_nodes(context.node.settings.zone);
        std::shuffle(round_.begin(), round_.end(), context.node.random);
    }
    return std::nullopt;
}

void failure_detector::probe_next(step_context& context)
{
    const auto target = next_target(context);
    if (!target) {
        return;
    }
    probes_.push_back({*target, ++next_sequence_, false});
    send_ping(context, *target, next_sequence_);
    context.start_timer(timer_of(membership_timer::indirect_probe), direct_timeout);
}

void failure_detector::probe_indirectly(step_context& context, const probe& unanswered)
{
    wire::ping_request_message message;
    message.sequence = unanswered.sequence;
    message.target = unanswered.target.value();
    wire::frame frame;
    frame.__set_ping_request(message);
    for (const auto& helper : helpers_for(context, unanswered.target)) {
        context.node.members.send_to(context, helper, frame);
    }
}

std::vector<node_id> failure_detector::helpers_for(step_context& context,
                                                   const node_id& target) const
{
    const auto& members = context.node.members;
    auto out = members.live_nodes(context.node.settings.zone);
    std::erase(out, context.node.settings.node);
    std::erase(out, target);
    std::shuffle(out.begin(), out.end(), context.node.random);
    out.resize(std::min(out.size(), indirect_probes));
    const auto abroad = members.opposite_relays(context);
    if (!abroad.empty()) {
        out.push_back(abroad[context.node.random() % abroad.size()]);
    }
    return out;
}

void failure_detector::send_ping(step_context& context, const node_id& target,
                                 std::int64_t sequence)
{
    wire::ping_message message;
    message.sequence = sequence;
    message.updates = context.node.members.updates_for(target);
    message.config_version = context.node.config.current()->version().value();
    wire::frame frame;
    frame.__set_ping(message);
    context.node.members.send_to(context, target, std::move(frame));
}

void failure_detector::ping(step_context& context, const node_id& node)
{
    send_ping(context, node, ++next_sequence_);
}

void failure_detector::on_ping_request(step_context& context, const wire::frame& frame)
{
    const auto sequence = ++next_sequence_;
    relayed_[sequence] = {node_id{frame.sender}, frame.ping_request.sequence,
                          context.now + probe_period};
    send_ping(context, node_id{frame.ping_request.target}, sequence);
    // Tells the asker, whatever comes of the probe, that it is not cut off.
    wire::ping_ack_message message;
    message.subject = context.node.settings.node.value();
    message.config_version = context.node.config.current()->version().value();
    wire::frame answer;
    answer.__set_ping_ack(message);
    context.node.members.send_to(context, node_id{frame.sender}, std::move(answer));
}

void failure_detector::on_ping_ack(step_context& context, const wire::frame& frame)
{
    const auto& ack = frame.ping_ack;
    for (auto& each : probes_) {
        if (ack.sequence == each.sequence && ack.subject == each.target.value()) {
            each.answered = true;
        }
    }
    const auto found = relayed_.find(ack.sequence);
    if (found == relayed_.end() || ack.subject != frame.sender) {
        return;
    }
    wire::ping_ack_message message;
    message.sequence = found->second.asker_sequence;
    message.subject = ack.subject;
    message.config_version = ack.config_version;
    wire::frame answer;
    answer.__set_ping_ack(message);
    context.node.members.send_to(context, found->second.asker, std::move(answer));
    relayed_.erase(found);
}

} // namespace camphor
