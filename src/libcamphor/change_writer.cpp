// Accepts changes by conditional transactions on the platform's table.
#include <camphortally/change_writer.h>
#include <camphortally/node.h>
#include <camphortally/schema.h>

#include "change_check.h"
#include "operator_orders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

enum request_kind : std::int32_t { transaction, operation_read, catch_up_scan, head_read };
enum timer_kind : std::int32_t { retry_attempt, retry_operation_read, retry_catch_up };

/// An operator gets an answer within this time.
constexpr duration order_patience = 3s;
constexpr duration retry_low = 20ms;
constexpr duration retry_high = 120ms;
constexpr std::int32_t catch_up_rows = 500;
/// Orders waiting on this node; one more is refused.
constexpr std::size_t queue_limit = 256;

std::string operation_key(const operation_id& operation)
{
    return "op/" + operation.value();
}

json resource_or_null(const resource_ptr& item)
{
    return item ? json::parse(to_json(*item)) : json(nullptr);
}

std::string audit_record(const change_order& order, const change& item, const snapshot& base)
{
    const json document{{"version", item.version.value()},
                        {"at", format_time(item.accepted_at)},
                        {"who", order.from.who},
                        {"address", order.from.address},
                        {"operation", order.operation.value()},
                        {"kind", to_string(item.key.kind)},
                        {"name", item.key.name},
                        {"before", resource_or_null(base.find(item.key))},
                        {"after", resource_or_null(item.item)},
                        {"outcome", "accepted"}};
    return document.dump();
}

std::string audit_key(config_version version)
{
    return "audit/" + change_key(version).substr(change_prefix.size());
}

table_condition head_condition(config_version base)
{
    if (base.value() == 0) {
        return {"head", std::nullopt};
    }
    return {"head", std::to_string(base.value())};
}

table_transact transaction_of(const change_order& order, const std::vector<change>& changes,
                              const snapshot& base)
{
    table_transact out;
    out.conditions = order.conditions;
    out.conditions.push_back(head_condition(base.version()));
    out.conditions.push_back({operation_key(order.operation), std::nullopt});
    const auto last = std::to_string(changes.back().version.value());
    for (const auto& item : changes) {
        out.writes.push_back({change_key(item.version), to_record(item)});
        out.writes.push_back({audit_key(item.version), audit_record(order, item, base)});
    }
    out.writes.push_back({operation_key(order.operation), last});
    out.writes.push_back({"head", last});
    return out;
}

bool same_spec(const resource& left, const resource& right)
{
    auto copy = left;
    copy.revision = right.revision;
    copy.status = right.status;
    return to_json(copy) == to_json(right);
}

/// True for an operator's PUT of what stands already.
bool changes_nothing(const change_order& order, const snapshot& base)
{
    const auto& part = order.parts.front();
    const auto held = base.find(part.key);
    return order.request && held && part.item && same_spec(*held, *part.item) &&
           !is_final(part.item->status.value_or(move_status{}).phase);
}

bool contains(const std::vector<std::string>& keys, const std::string& key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

} // namespace

void change_writer::on_event(step_context& context, const operator_event& event)
{
    std::visit([&](const auto& item) { take(context, item); }, event);
}

void change_writer::take(step_context& context, const put_requested& event)
{
    try {
        enqueue(context, order_of(event));
    } catch (const invalid_input& error) {
        context.out.emplace_back(answer_operator{
            event.request, 400, error_body("invalid_resource", error.faults()), config_version{}});
    }
}

void change_writer::take(step_context& context, const delete_requested& event)
{
    enqueue(context, order_of(event));
}

void change_writer::place(step_context& context, change_order order)
{
    enqueue(context, std::move(order));
}

void change_writer::enqueue(step_context& context, change_order order)
{
    if (order.operation.value().empty()) {
        order.operation = operation_id{context.node.settings.node.value() + "-" +
                                       std::to_string(context.node.life.value()) + "-" +
                                       std::to_string(++next_operation_)};
    }
    if (orders_.size() >= queue_limit && order.request) {
        context.out.emplace_back(answer_operator{
            *order.request, 503,
            error_body("busy", {{"", "too many changes wait on this node; not run"}}),
            config_version{}});
        return;
    }
    orders_.push_back({std::move(order), context.now + order_patience, false, std::nullopt});
    start_next(context);
}

void change_writer::start_next(step_context& context)
{
    if (!busy_ && !orders_.empty()) {
        busy_ = true;
        attempt_front(context);
    }
}

void change_writer::attempt_front(step_context& context)
{
    const auto& base = *context.node.config.current();
    auto& front = orders_.front();
    // While an earlier attempt may have taken effect, only the table can tell.
    if (!front.outcome_unknown) {
        bring_up_to_date(front.order, base, context.wall_now());
        if (answer_locally(context)) {
            return;
        }
    }
    attempted_ = changes_of(front.order, base, context.wall_now());
    request(context, transaction, transaction_of(front.order, attempted_, base));
}

bool change_writer::answer_locally(step_context& context)
{
    const auto& base = *context.node.config.current();
    const auto& front = orders_.front();
    const auto refused = check_order(base, front.order, context.wall_now());
    if (!refused && !changes_nothing(front.order, base)) {
        return false;
    }
    if (front.confirmed != base.version()) {
        request(context, head_read, table_read{"head"});
        return true;
    }
    if (refused) {
        reject_front(context, refused->status, refused->code, refused->faults);
        return true;
    }
    const auto held = base.find(front.order.parts.front().key);
    finish_front(context, order_result::accepted, 200, to_json(*held), held->revision);
    return true;
}

void change_writer::after_head_read(step_context& context, const platform_reply& reply)
{
    if (reply.status != platform_status::ok) {
        retry_later(context, retry_attempt);
        return;
    }
    const auto held = context.node.config.current()->version();
    const auto newest =
        config_version{reply.rows.empty() ? 0 : std::stoll(reply.rows.front().value)};
    if (newest > held) {
        catch_up(context);
        return;
    }
    orders_.front().confirmed = held;
    attempt_front(context);
}

void change_writer::request(step_context& context, std::int32_t kind, platform_request request)
{
    context.call_platform({module_id::operators, kind, ++sequence_}, std::move(request));
}

void change_writer::on_platform(step_context& context, const platform_ticket& ticket,
                                const platform_reply& reply)
{
    if (ticket.sequence != sequence_ || !busy_) {
        return;
    }
    switch (ticket.kind) {
    case transaction:
        after_transaction(context, reply);
        break;
    case operation_read:
        after_operation_read(context, reply);
        break;
    case head_read:
        after_head_read(context, reply);
        break;
    default:
        after_catch_up(context, reply);
        break;
    }
}

void change_writer::after_transaction(step_context& context, const platform_reply& reply)
{
    switch (reply.status) {
    case platform_status::ok:
        accept_front(context, attempted_.back().version);
        break;
    case platform_status::conflict:
        after_conflict(context, reply);
        break;
    case platform_status::outcome_unknown:
        orders_.front().outcome_unknown = true;
        read_operation(context);
        break;
    default:
        retry_later(context, retry_attempt);
        break;
    }
}

void change_writer::after_conflict(step_context& context, const platform_reply& reply)
{
    const auto& order = orders_.front().order;
    if (contains(reply.failed_keys, operation_key(order.operation))) {
        read_operation(context);
        return;
    }
    // The transaction surely had no effect, and no earlier one had: its operation id is absent.
    orders_.front().outcome_unknown = false;
    const bool fenced =
        std::any_of(order.conditions.begin(), order.conditions.end(), [&](const auto& condition) {
            return contains(reply.failed_keys, condition.key);
        });
    if (fenced) {
        finish_front(context, order_result::fenced, 409,
                     error_body("fenced", {{"", "the control duty has another holder"}}),
                     config_version{});
        return;
    }
    catch_up(context);
}

void change_writer::read_operation(step_context& context)
{
    request(context, operation_read, table_read{operation_key(orders_.front().order.operation)});
}

void change_writer::after_operation_read(step_context& context, const platform_reply& reply)
{
    if (reply.status != platform_status::ok) {
        retry_later(context, retry_operation_read);
        return;
    }
    if (reply.rows.empty()) {
        // Not in effect so far; the conditions keep a second try from doubling it.
        retry_later(context, retry_attempt);
        return;
    }
    accept_front(context, config_version{std::stoll(reply.rows.front().value)});
}

void change_writer::catch_up(step_context& context)
{
    const auto version = context.node.config.current()->version();
    request(context, catch_up_scan,
            table_scan{std::string(change_prefix), change_key(version), catch_up_rows});
}

void change_writer::after_catch_up(step_context& context, const platform_reply& reply)
{
    if (reply.status != platform_status::ok) {
        retry_later(context, retry_catch_up);
        return;
    }
    std::vector<change> changes;
    for (const auto& row : reply.rows) {
        changes.push_back(parse_change_record(row.value));
    }
    if (!changes.empty()) {
        const config_version base{changes.front().version.value() - 1};
        context.node.config.apply_changes(context, base, changes, 0);
    }
    retry_later(context, retry_attempt);
}

void change_writer::retry_later(step_context& context, std::int32_t timer_kind)
{
    if (context.now >= orders_.front().give_up) {
        give_up_front(context);
        return;
    }
    ++sequence_;
    context.start_timer({module_id::operators, timer_kind, 0},
                        context.jitter(retry_low, retry_high));
}

void change_writer::on_timer(step_context& context, const timer_key& key)
{
    if (!busy_) {
        return;
    }
    switch (key.kind) {
    case retry_attempt:
        attempt_front(context);
        break;
    case retry_operation_read:
        read_operation(context);
        break;
    default:
        catch_up(context);
        break;
    }
}

void change_writer::accept_front(step_context& context, config_version last)
{
    const auto& order = orders_.front().order;
    const auto first =
        config_version{last.value() - static_cast<std::int64_t>(order.parts.size()) + 1};
    const bool is_attempted = !attempted_.empty() && attempted_.back().version == last;
    if (is_attempted) {
        const config_version base{first.value() - 1};
        context.node.config.apply_changes(context, base, attempted_, 0);
        for (const auto& item : attempted_) {
            context.node.spread.on_accepted(context, item);
        }
    }
    const auto& part = order.parts.front();
    std::string body = R"({"deleted":true})";
    if (part.item) {
        auto accepted = *part.item;
        accepted.revision = first;
        body = to_json(accepted);
    }
    finish_front(context, order_result::accepted, 200, body, first);
}

void change_writer::reject_front(step_context& context, std::int32_t status,
                                 const std::string& code, const std::vector<fault>& faults)
{
    context.log(log_level::info, "change.refused", invalid_input(faults).what());
    finish_front(context, order_result::rejected, status, error_body(code, faults),
                 config_version{});
}

void change_writer::give_up_front(step_context& context)
{
    if (orders_.front().outcome_unknown) {
        finish_front(context, order_result::outcome_unknown, 503,
                     error_body("outcome_unknown",
                                {{"", "the platform's answer was lost; repeat with the same "
                                      "Operation-Id to learn the outcome"}}),
                     config_version{});
        return;
    }
    finish_front(context, order_result::unavailable, 503,
                 error_body("unavailable", {{"", "the platform does not answer; not run"}}),
                 config_version{});
}

void change_writer::finish_front(step_context& context, order_result result, std::int32_t status,
                                 const std::string& body, config_version revision)
{
    const auto order = std::move(orders_.front().order);
    orders_.pop_front();
    attempted_.clear();
    busy_ = false;
    ++sequence_;
    if (order.request) {
        context.out.emplace_back(answer_operator{*order.request, status, body, revision});
    } else {
        context.node.duties.on_order_result(context, order, result);
    }
    start_next(context);
}

} // namespace camphor
