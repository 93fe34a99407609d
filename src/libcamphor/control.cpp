// Hands events to the duties of the moves that are in progress.
#include <camphortally/control.h>
#include <camphortally/node.h>

#include "control_keys.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

std::map<service_id, resource_ptr> moves_in_progress(const snapshot& view)
{
    std::map<service_id, resource_ptr> out;
    const auto& all = view.resources();
    for (auto at = all.lower_bound({resource_kind::move, ""}); at != all.end(); ++at) {
        if (!is_final(at->second->status->phase)) {
            out.emplace(std::get<move_spec>(at->second->spec).service, at->second);
        }
    }
    return out;
}

} // namespace

void control::start(step_context& context)
{
    on_applied(context);
}

move_duty* control::find(std::uint64_t number)
{
    const auto found = numbers_.find(number);
    return found == numbers_.end() ? nullptr : &duties_.at(found->second);
}

void control::on_timer(step_context& context, const timer_key& key)
{
    auto* duty = find(key.argument);
    if (duty == nullptr) {
        return;
    }
    if (key.kind == control_timer::tick) {
        duty->on_tick(context);
    } else {
        duty->report(context);
    }
}

void control::on_platform(step_context& context, const platform_ticket& ticket,
                          const platform_reply& reply)
{
    if (auto* duty = find(ticket.sequence)) {
        duty->on_platform(context, ticket, reply);
    }
}

void control::on_frame(step_context& context, const wire::frame& frame)
{
    for (auto& [service, duty] : duties_) {
        if (duty.name() == frame.evidence_report.move) {
            duty.on_report(context, frame);
        }
    }
}

void control::on_applied(step_context& context)
{
    const auto moves = moves_in_progress(*context.node.config.current());
    for (auto& [service, duty] : duties_) {
        const auto found = moves.find(service);
        if (found == moves.end() || found->second->key.name != duty.name()) {
            duty.finish(context);
        }
    }
    std::erase_if(numbers_, [&](const auto& entry) {
        const auto found = moves.find(entry.second);
        return found == moves.end() || found->second->key.name != duties_.at(entry.second).name();
    });
    std::erase_if(duties_, [&](const auto& entry) {
        const auto found = moves.find(entry.first);
        return found == moves.end() || found->second->key.name != entry.second.name();
    });
    for (const auto& [service, move] : moves) {
        if (const auto found = duties_.find(service); found != duties_.end()) {
            found->second.set_move(context, move);
            continue;
        }
        numbers_.emplace(++last_number_, service);
        duties_.emplace(std::piecewise_construct, std::forward_as_tuple(service),
                        std::forward_as_tuple(context, move, last_number_));
    }
}

void control::on_order_result(step_context& context, const change_order& order, order_result result)
{
    for (const auto& part : order.parts) {
        for (auto& [service, duty] : duties_) {
            if (part.key.kind == resource_kind::move && part.key.name == duty.name()) {
                duty.on_order_result(context, result);
            }
        }
    }
}

void control::observe(step_context& context, const attempt_outcome& outcome)
{
    const auto found = duties_.find(outcome.service);
    if (found != duties_.end()) {
        found->second.observe(context, outcome);
    }
}

bool control::is_stopped(const step_context& context, const service_id& service,
                         const release_id& release) const
{
    const auto found = duties_.find(service);
    return found != duties_.end() && found->second.is_stopped(context, release);
}

} // namespace camphor
