// The life of each call: arrival, outcome of attempts, end. Choosing a target is in
// calls_attempt.cpp.
#include <camphortally/calls.h>
#include <camphortally/node.h>

#include "calls_timer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphor {

namespace {

/// For a call from another node without a deadline of its own.
constexpr duration longest_forwarded_call = std::chrono::seconds(60);

constexpr std::int32_t bad_request = 400;
constexpr std::int32_t not_found = 404;
constexpr std::int32_t conflict = 409;
constexpr std::int32_t unprocessable = 422;
constexpr std::int32_t server_error = 500;
constexpr std::int32_t bad_gateway = 502;
constexpr std::int32_t unavailable = 503;
constexpr std::int32_t gateway_timeout = 504;

const std::string* header(const call_head& head, const char* name)
{
    const auto found = head.headers.find(name);
    return found == head.headers.end() ? nullptr : &found->second;
}

bool is_safe(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool is_overload(std::int32_t status)
{
    return status == unavailable || status == 429;
}

bool is_worth_retry(std::int32_t status)
{
    return status == bad_gateway || status == unavailable;
}

} // namespace

void calls::start(step_context& /*context*/) {}
void calls::on_platform(step_context& /*context*/, const platform_ticket& /*ticket*/,
                        const platform_reply& /*reply*/)
{
}
void calls::on_frame(step_context& /*context*/, const wire::frame& /*frame*/) {}

void calls::on_applied(step_context& context)
{
    current_table(context);
}

const route_table_ptr& calls::current_table(step_context& context)
{
    const auto& applied = context.node.config.current();
    if (!table_ || table_source_ != applied) {
        table_ = std::make_shared<const route_table>(*applied);
        table_source_ = applied;
    }
    return table_;
}

void calls::on_event(step_context& context, const call_event& event)
{
    std::visit([&](const auto& item) { take(context, item); }, event);
    serve_queues(context);
}

void calls::take(step_context& context, const call_arrived& event)
{
    auto& state = calls_[event.call];
    state.call = event.call;
    if (draining_) {
        refuse(context, state, {unavailable, "draining", "the node is leaving"});
        return;
    }
    retries_.on_call();
    if (const auto refused = place_call(context, state, event)) {
        refuse(context, state, *refused);
        return;
    }
    run(context, state);
}

bool calls::comes_from_node(const step_context& context, const call_arrived& event) const
{
    if (!event.from_node) {
        return false;
    }
    const auto& members = context.node.members.members();
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& item) { return item.second.peer.host == event.caller; });
}

std::optional<calls::refusal> calls::place_call(step_context& context, call_state& state,
                                                const call_arrived& event)
{
    const auto& head = event.head;
    state.table = current_table(context);
    state.caller = event.caller;
    state.safe = is_safe(head.method);
    if (const auto* key = header(head, "idempotency-key"); key != nullptr && !state.safe) {
        state.key = *key;
        state.body_digest = head.body_digest;
    }
    state.from_node = comes_from_node(context, event);
    auto refused = state.from_node ? place_forwarded(state, event) : place_routed(state, event);
    if (refused) {
        return refused;
    }
    if (event.time_left > duration::zero()) {
        state.limit = std::min(state.limit, event.time_left);
    }
    state.deadline = context.now + state.limit;
    return std::nullopt;
}

std::optional<calls::refusal> calls::place_routed(call_state& state,
                                                  const call_arrived& event) const
{
    const auto* rule = state.table->match(event.head);
    if (rule == nullptr) {
        return refusal{not_found, "no_route", "no route matches the call"};
    }
    if (rule->require_key && !state.safe && state.key.empty()) {
        return refusal{bad_request, "key_required", "the route requires an Idempotency-Key"};
    }
    state.plan = rule->plan;
    state.route = rule->route;
    state.limit = rule->timeout;
    return std::nullopt;
}

std::optional<calls::refusal> calls::place_forwarded(call_state& state,
                                                     const call_arrived& event) const
{
    const auto* service = header(event.head, "camphor-service");
    const auto* release = header(event.head, "camphor-release");
    const auto* plan = service == nullptr ? nullptr : state.table->plan(service_id{*service});
    if (plan == nullptr || release == nullptr) {
        return refusal{unavailable, "unknown_service", "this node does not know the service"};
    }
    if (const auto* caller = header(event.head, "camphor-caller")) {
        state.caller = *caller;
    }
    state.plan = plan;
    state.fixed_release = release_id{*release};
    state.limit = longest_forwarded_call;
    return std::nullopt;
}

calls::call_state* calls::current(const call_id& call, std::int32_t attempt)
{
    const auto found = calls_.find(call);
    const bool is_current = found != calls_.end() && found->second.target &&
                            found->second.attempt == attempt && !found->second.relaying &&
                            !found->second.claiming;
    return is_current ? &found->second : nullptr;
}

void calls::take(step_context& context, const attempt_answered& event)
{
    auto* state = current(event.call, event.attempt);
    if (state == nullptr) {
        return;
    }
    const auto target = *state->target;
    const bool not_run = event.not_run && target.to_node;
    const bool overloaded = not_run || is_overload(event.status);
    const bool success = event.status < server_error;
    state->may_have_run = state->may_have_run || !not_run;
    report(context, *state, target, success, overloaded);
    if (is_worth_retry(event.status) && may_retry(context, *state, not_run)) {
        context.out.emplace_back(call_effect{abandon_attempt{event.call, event.attempt}});
        close_attempt(context, *state,
                      overloaded ? instance_outcome::overloaded : instance_outcome::failure);
        state->failed_releases.insert(target.release);
        state->last_failure = refusal{event.status, "failed", "the backend servers failed"};
        run(context, *state);
        return;
    }
    state->relaying = true;
    context.out.emplace_back(
        call_effect{relay_answer{event.call, event.attempt, not_run && !state->may_have_run}});
    if (target.to_node) {
        const auto outcome = overloaded ? instance_outcome::overloaded
                             : success  ? instance_outcome::success
                                        : instance_outcome::failure;
        balancer_.finished(state->plan->service, target.release, target.who, outcome,
                           context.now - target.started, context.now);
    }
}

void calls::take(step_context& context, const attempt_failed& event)
{
    auto* state = current(event.call, event.attempt);
    if (state == nullptr) {
        return;
    }
    const auto target = *state->target;
    const bool nothing_ran = event.failure == attempt_failure::not_sent;
    const bool timed_out = event.failure == attempt_failure::timed_out;
    state->may_have_run = state->may_have_run || !nothing_ran;
    // A node that cannot be reached says nothing about the release behind it.
    if (timed_out || !target.to_node) {
        report(context, *state, target, false, false);
    }
    close_attempt(context, *state, instance_outcome::failure);
    state->failed_releases.insert(target.release);
    state->last_failure = timed_out
                              ? refusal{gateway_timeout, "timeout", "no answer before the deadline"}
                              : refusal{nothing_ran ? unavailable : bad_gateway, "broken",
                                        "the connection to the backend server failed"};
    if (may_retry(context, *state, nothing_ran)) {
        run(context, *state);
        return;
    }
    refuse(context, *state, refusal(*state->last_failure));
}

void calls::take(step_context& context, const call_finished& event)
{
    context.node.claims.finish(context, event.call, event.complete || !event.kept_answer.empty(),
                               event.kept_answer);
    end(context, event.call);
}

void calls::take(step_context& context, const call_cancelled& event)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end()) {
        return;
    }
    if (found->second.has_claim) {
        return; // its outcome is kept for a repeated call
    }
    context.out.emplace_back(call_effect{abandon_attempt{event.call, found->second.attempt}});
    end(context, event.call);
}

void calls::on_claim(step_context& context, const call_id& call, claim_result result,
                     const std::string& answer)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || !found->second.claiming) {
        return;
    }
    auto& state = found->second;
    state.claiming = false;
    // Slots that become free here are given away by the next step of any call.
    context.start_timer(queue_timer, duration::zero());
    const bool too_late = context.now >= state.deadline;
    switch (result) {
    case claim_result::granted:
        state.has_claim = true;
        too_late ? refuse(context, state, {gateway_timeout, "timeout", "no time was left to run"})
                 : send_attempt(context, state);
        return;
    case claim_result::replay:
        context.out.emplace_back(call_effect{replay_answer{call, answer}});
        end(context, call);
        return;
    case claim_result::taken:
        // The operation itself may have run, so "not run" would mislead.
        state.may_have_run = true;
        refuse(context, state,
               {conflict, "in_progress", "the key is in use, or its outcome is unknown"});
        return;
    case claim_result::finished:
        state.may_have_run = true;
        refuse(context, state, {conflict, "already_ran", "the key ran; its answer was not kept"});
        return;
    case claim_result::mismatch:
        refuse(context, state, {unprocessable, "key_reused", "the key came with another body"});
        return;
    case claim_result::unavailable:
        refuse(context, state, {unavailable, "no_claim", "the key cannot be claimed now"});
        return;
    }
}

bool calls::may_retry(step_context& context, const call_state& state, bool nothing_ran)
{
    constexpr std::int32_t most_attempts = 3;
    // A call that another node forwarded is tried elsewhere by that node.
    // A claimed call is not tried elsewhere: its claim is given back by the same node.
    const bool allowed = !state.from_node && !state.has_claim && (nothing_ran || state.safe) &&
                         state.attempt < most_attempts && context.now < state.deadline;
    return allowed && retries_.try_spend();
}

void calls::report(step_context& context, const call_state& state, const attempt_target& target,
                   bool success, bool overloaded) const
{
    // Only the node that the call came to counts it, or evidence would count twice.
    if (state.from_node) {
        return;
    }
    attempt_outcome outcome;
    outcome.service = state.plan->service;
    outcome.release = target.release;
    outcome.route = state.route;
    outcome.success = success;
    outcome.overloaded = overloaded;
    outcome.latency = context.now - target.started;
    context.node.duties.observe(context, outcome);
}

void calls::refuse(step_context& context, call_state& state, const refusal& why)
{
    refuse_call out;
    out.call = state.call;
    out.status = why.status;
    out.code = why.code;
    out.message = why.message;
    out.not_run = !state.may_have_run;
    if (why.status == unavailable) {
        out.retry_after = std::chrono::seconds(1);
    }
    context.log(log_level::debug, "call.refused", why.code + ": " + why.message, state.call);
    context.out.emplace_back(call_effect{std::move(out)});
    end(context, state.call);
}

void calls::end(step_context& context, const call_id& call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto& state = found->second;
    close_attempt(context, state, instance_outcome::abandoned);
    if (state.queued_at) {
        queues_[*state.queued_at].remove(call);
    }
    if (state.claiming || (state.has_claim && !state.may_have_run)) {
        context.node.claims.release(context, call);
    } else if (state.has_claim) {
        context.node.claims.finish(context, call, false, "");
    }
    calls_.erase(found);
    tell_when_stopped(context);
}

void calls::drain(step_context& context)
{
    draining_ = true;
    tell_when_stopped(context);
}

void calls::tell_when_stopped(step_context& context)
{
    if (draining_ && calls_.empty() && !std::exchange(told_stopped_, true)) {
        context.out.emplace_back(stopped{});
    }
}

} // namespace camphor
