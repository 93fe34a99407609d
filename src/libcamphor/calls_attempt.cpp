// Where the next attempt of a call goes: a backend server beside this node, or another node.
#include <camphortally/calls.h>
#include <camphortally/node.h>

#include "calls_timer.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

constexpr std::int32_t whole_share = 1000;
/// A call waits no longer for a slot.
constexpr duration longest_wait = std::chrono::milliseconds(200);
constexpr duration queue_check_period = std::chrono::milliseconds(10);
constexpr std::size_t queued_per_slot = 2;

} // namespace

/// The drawn release first, then the others that may take calls, larger share first. Releases that
/// failed this call come last.
std::vector<release_id> calls::release_order(step_context& context, const call_state& state) const
{
    if (state.fixed_release) {
        return {*state.fixed_release};
    }
    const auto& service = state.plan->service;
    std::vector<release_share> open;
    for (const auto& share : state.plan->shares) {
        const bool stopped = context.node.duties.is_stopped(context, service, share.release);
        if (share.share.value() > 0 && !stopped) {
            open.push_back(share);
        }
    }
    std::sort(open.begin(), open.end(),
              [](const auto& left, const auto& right) { return left.share > right.share; });
    const auto draw = state.key.empty() ? context.node.random() : stable_hash(state.key);
    auto point = static_cast<std::int32_t>(draw % whole_share);
    std::vector<release_id> out;
    for (const auto& share : open) {
        const bool drawn = point >= 0 && point < share.share.value();
        point -= share.share.value();
        out.insert(drawn ? out.begin() : out.end(), share.release);
    }
    std::stable_partition(out.begin(), out.end(), [&](const release_id& release) {
        return !state.failed_releases.contains(release);
    });
    return out;
}

void calls::run(step_context& context, call_state& state)
{
    if (context.now >= state.deadline) {
        refuse(context, state, {504, "timeout", "no answer before the deadline"});
        return;
    }
    for (const auto& release : release_order(context, state)) {
        if (run_on(context, state, release)) {
            return;
        }
    }
    if (enqueue(context, state)) {
        return;
    }
    const refusal none{503, "no_instance", "no backend server can take the call"};
    refuse(context, state, refusal(state.last_failure.value_or(none)));
}

/// Waits beside a full backend server that fits. Only there are its slots known exactly.
bool calls::enqueue(step_context& context, call_state& state)
{
    for (const auto& [id, local] : context.node.members.local_backends()) {
        const instance_key who{context.node.settings.node, id};
        const bool fits =
            local.view.service == state.plan->service &&
            local.view.state != backend_state::draining &&
            (!state.fixed_release || local.view.release == *state.fixed_release) &&
            !context.node.duties.is_stopped(context, state.plan->service, local.view.release) &&
            std::find(state.tried.begin(), state.tried.end(), who) == state.tried.end();
        if (!fits) {
            continue;
        }
        auto& queue = queues_[id];
        queue.set_limit(queued_per_slot * static_cast<std::size_t>(local.view.slots));
        const auto give_up = std::min(state.deadline, context.now + longest_wait);
        state.queued_at = id;
        const auto loser = queue.add({state.call, state.caller, state.plan->priority, give_up});
        context.start_timer(queue_timer, queue_check_period);
        if (loser) {
            refuse_overloaded(context, *loser);
        }
        return true;
    }
    return false;
}

void calls::refuse_overloaded(step_context& context, const call_id& call)
{
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        refuse(context, found->second, {503, "overloaded", "no slot became free in time"});
    }
}

void calls::on_timer(step_context& context, const timer_key& /*key*/)
{
    bool waiting = false;
    for (auto& [id, queue] : queues_) {
        for (const auto& call : queue.expire(context.now)) {
            refuse_overloaded(context, call);
        }
        waiting = waiting || queue.size() > 0;
    }
    serve_queues(context);
    if (waiting) {
        context.start_timer(queue_timer, queue_check_period);
    }
}

void calls::serve_queues(step_context& context)
{
    while (!freed_.empty()) {
        const auto id = *freed_.begin();
        freed_.erase(freed_.begin());
        const auto local = context.node.members.local_backends().find(id);
        const auto next = queues_[id].next();
        if (!next || local == context.node.members.local_backends().end() ||
            local->second.view.state == backend_state::draining ||
            busy_[id] >= local->second.view.slots) {
            continue;
        }
        queues_[id].remove(*next);
        auto& state = calls_.at(*next);
        state.queued_at.reset();
        freed_.insert(id); // perhaps there is room for one more
        if (!run_local(context, state, local->second.view.release)) {
            refuse_overloaded(context, *next);
        }
    }
}

bool calls::run_on(step_context& context, call_state& state, const release_id& release)
{
    if (prefers_remote(context, state, release) && run_remote(context, state, release)) {
        return true;
    }
    return run_local(context, state, release) ||
           (!state.from_node && run_remote(context, state, release));
}

/// A call with a key goes to the instance that ranks highest for it, so that a repeated call finds
/// its owner's memory.
bool calls::prefers_remote(step_context& context, const call_state& state,
                           const release_id& release)
{
    const auto upstream = state.plan->upstreams.find(release);
    if (state.from_node || state.key.empty() || upstream == state.plan->upstreams.end()) {
        return false;
    }
    const auto key = stable_hash(state.key);
    const auto* remote =
        balancer_.pick(context, {state.plan->service, upstream->second, state.tried, key});
    if (remote == nullptr || remote->zone != context.node.settings.zone) {
        return false;
    }
    const auto remote_rank = affinity_rank(remote->node, remote->backend.backend, key);
    const auto& locals = context.node.members.local_backends();
    return std::none_of(locals.begin(), locals.end(), [&](const auto& item) {
        const auto& view = item.second.view;
        return view.service == state.plan->service && view.release == release &&
               view.state != backend_state::draining &&
               affinity_rank(context.node.settings.node, view.backend, key) > remote_rank;
    });
}

bool calls::run_local(step_context& context, call_state& state, const release_id& release)
{
    for (const auto& [id, local] : context.node.members.local_backends()) {
        const instance_key who{context.node.settings.node, id};
        const bool fits = local.view.service == state.plan->service &&
                          local.view.release == release &&
                          local.view.state != backend_state::draining;
        const bool tried =
            std::find(state.tried.begin(), state.tried.end(), who) != state.tried.end();
        if (!fits || tried || busy_[id] >= local.view.slots) {
            continue;
        }
        ++busy_[id];
        forward(context, state, {false, who, release, context.now, local.host, local.port});
        return true;
    }
    return false;
}

bool calls::run_remote(step_context& context, call_state& state, const release_id& release)
{
    const auto upstream = state.plan->upstreams.find(release);
    if (upstream == state.plan->upstreams.end()) {
        return false;
    }
    pick_request request{state.plan->service, upstream->second, state.tried, std::nullopt};
    if (!state.key.empty()) {
        request.affinity = stable_hash(state.key);
    }
    const auto* chosen = balancer_.pick(context, request);
    if (chosen == nullptr) {
        return false;
    }
    balancer_.started(*chosen);
    const instance_key who{chosen->node, chosen->backend.backend};
    forward(context, state, {true, who, release, context.now, chosen->host, chosen->call_port});
    return true;
}

void calls::forward(step_context& context, call_state& state, attempt_target target)
{
    ++state.attempt;
    state.tried.push_back(target.who);
    state.target = std::move(target);
    if (!state.key.empty() && !state.target->to_node) {
        claim(context, state);
        return;
    }
    send_attempt(context, state);
}

/// The node beside the backend server claims, so that only one node writes the claim's outcome.
void calls::claim(step_context& context, call_state& state)
{
    constexpr duration claim_patience = std::chrono::seconds(2);
    state.claiming = true;
    // A refusal must reach the node that waits for this one before that node's own deadline.
    const auto half_of_rest = (state.deadline - context.now) / 2;
    const auto give_up = context.now + std::min(half_of_rest, claim_patience);
    context.node.claims.acquire(
        context, {state.call, state.plan->service, state.key, state.body_digest, give_up});
}

void calls::send_attempt(step_context& context, call_state& state)
{
    auto& target = *state.target;
    target.started = context.now;
    forward_call out;
    out.call = state.call;
    out.attempt = state.attempt;
    out.host = target.host;
    out.port = target.port;
    out.to_node = target.to_node;
    out.deadline = state.deadline;
    out.service = state.plan->service;
    out.release = target.release;
    out.may_retry = !state.from_node;
    out.keep_answer = state.has_claim;
    context.out.emplace_back(call_effect{std::move(out)});
}

void calls::close_attempt(step_context& context, call_state& state, instance_outcome outcome)
{
    if (!state.target) {
        return;
    }
    const auto target = *std::exchange(state.target, std::nullopt);
    if (!target.to_node) {
        auto& busy = busy_[target.who.backend];
        busy = std::max(0, busy - 1);
        freed_.insert(target.who.backend);
    } else if (!state.relaying) {
        balancer_.finished(state.plan->service, target.release, target.who, outcome,
                           context.now - target.started, context.now);
    }
}

} // namespace camphor
