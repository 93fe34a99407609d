// Claims on idempotency keys: group commit, and what a conflict or a lost answer means.
#include <camphortally/claims.h>
#include <camphortally/node.h>

#include "claim_record.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

enum request_kind : std::int32_t { transaction, row_read };
enum timer_kind : std::int32_t { next_batch, give_up_check };

/// Rows written by one transaction; the platform takes 100 entries, a condition and a write a row.
constexpr std::size_t batch_rows = 50;
/// Transactions of all nodes together leave the table room for others.
constexpr duration fleet_spacing = 4ms;
constexpr duration longest_spacing = 250ms;
constexpr duration retry_low = 20ms;
constexpr duration retry_high = 100ms;
constexpr duration give_up_period = 20ms;
constexpr std::chrono::milliseconds claim_lifetime = 24h;
constexpr std::size_t ended_limit = 20'000;

std::string row_of(const claim_request& request)
{
    return "claim/" + request.service.value() + "/" + request.key;
}

std::int64_t wall_ms(const step_context& context)
{
    return context.wall_now().time_since_epoch().count();
}

} // namespace

void claims::acquire(step_context& context, const claim_request& request)
{
    const auto row = row_of(request);
    const auto known = entries_.find(row);
    if (known != entries_.end()) {
        answer_known(context, known->second, request);
        return;
    }
    entry item;
    item.token = context.node.settings.node.value() + "/" +
                 std::to_string(context.node.life.value()) + "/" + std::to_string(++next_token_);
    item.digest = request.body_digest;
    item.expires_ms = wall_ms(context) + claim_lifetime.count();
    item.holder = request.call;
    item.give_up = request.give_up;
    entries_.emplace(row, std::move(item));
    holders_[request.call] = row;
    context.start_timer({module_id::claims, give_up_check, 0}, give_up_period);
    enqueue(context, row);
}

void claims::answer_known(step_context& context, entry& known, const claim_request& request)
{
    auto result = claim_result::taken;
    if (known.digest != request.body_digest) {
        result = claim_result::mismatch;
    } else if (known.state == claim_state::done) {
        result = known.answer.empty() ? claim_result::finished : claim_result::replay;
    } else if (known.state == claim_state::releasing) {
        result = claim_result::unavailable;
    }
    context.node.calls.on_claim(context, request.call, result, known.answer);
}

void claims::release(step_context& context, const call_id& call)
{
    const auto holder = holders_.find(call);
    if (holder == holders_.end()) {
        return;
    }
    const auto row = holder->second;
    holders_.erase(holder);
    auto& item = entries_.at(row);
    const bool unsent = item.state == claim_state::claiming && !item.in_batch && !item.uncertain;
    if (unsent) {
        entries_.erase(row);
        return;
    }
    item.state = claim_state::releasing;
    if (item.uncertain) {
        item.expected = claim_text(item);
    }
    // A write under way is followed by the delete, see written().
    if (!item.in_batch) {
        enqueue(context, row);
    }
}

void claims::finish(step_context& context, const call_id& call, bool answered,
                    const std::string& answer)
{
    const auto holder = holders_.find(call);
    if (holder == holders_.end()) {
        return;
    }
    const auto row = holder->second;
    holders_.erase(holder);
    auto& item = entries_.at(row);
    ended_.push_back(row);
    if (!answered) {
        item.state = claim_state::unknown;
        return;
    }
    item.state = claim_state::done;
    item.answer = answer;
    enqueue(context, row);
    forget_old();
}

void claims::forget_old()
{
    while (ended_.size() > ended_limit) {
        const auto found = entries_.find(ended_.front());
        ended_.pop_front();
        if (found != entries_.end() && !found->second.in_batch &&
            (found->second.state == claim_state::done ||
             found->second.state == claim_state::unknown)) {
            entries_.erase(found);
        }
    }
}

void claims::enqueue(step_context& context, const std::string& row)
{
    waiting_.push_back(row);
    flush(context);
}

void claims::flush(step_context& context)
{
    if (busy_ || paused_ || waiting_.empty()) {
        return;
    }
    const auto nodes = static_cast<duration::rep>(context.node.members.members().size());
    const auto spacing = std::min(fleet_spacing * nodes, longest_spacing);
    const auto due = last_batch_ + spacing;
    if (last_batch_ != time_point{} && context.now < due) {
        paused_ = true;
        context.start_timer({module_id::claims, next_batch, 0}, due - context.now);
        return;
    }
    table_transact request;
    std::set<std::string> rows;
    while (!waiting_.empty() && rows.size() < batch_rows) {
        auto row = std::move(waiting_.front());
        waiting_.pop_front();
        const auto found = entries_.find(row);
        if (found == entries_.end() || !rows.insert(row).second) {
            continue;
        }
        auto& item = found->second;
        item.in_batch = true;
        item.sent = wanted_value(item);
        request.conditions.push_back({row, item.expected});
        request.writes.push_back({row, item.sent});
    }
    if (rows.empty()) {
        return;
    }
    batch_.assign(rows.begin(), rows.end());
    busy_ = true;
    last_batch_ = context.now;
    context.call_platform({module_id::claims, transaction, ++sequence_}, std::move(request));
}

std::string claims::claim_text(const entry& item)
{
    return to_text({item.token, item.digest, item.expires_ms, false, ""});
}

std::optional<std::string> claims::wanted_value(const entry& item)
{
    switch (item.state) {
    case claim_state::releasing:
        return std::nullopt;
    case claim_state::done:
        return to_text({item.token, item.digest, item.expires_ms, true, item.answer});
    default:
        return claim_text(item);
    }
}

void claims::on_timer(step_context& context, const timer_key& key)
{
    if (key.kind == next_batch) {
        paused_ = false;
        flush(context);
        return;
    }
    fail_expired(context);
}

void claims::fail_expired(step_context& context)
{
    std::vector<std::string> late;
    bool claiming = false;
    for (const auto& [call, row] : holders_) {
        const auto& item = entries_.at(row);
        if (item.state != claim_state::claiming) {
            continue;
        }
        claiming = true;
        if (item.give_up <= context.now) {
            late.push_back(row);
        }
    }
    for (const auto& row : late) {
        auto& item = entries_.at(row);
        const auto call = item.holder;
        release(context, call);
        context.node.calls.on_claim(context, call, claim_result::unavailable, "");
    }
    if (claiming) {
        context.start_timer({module_id::claims, give_up_check, 0}, give_up_period);
    }
}

void claims::on_platform(step_context& context, const platform_ticket& ticket,
                         const platform_reply& reply)
{
    if (ticket.kind == transaction) {
        if (ticket.sequence == sequence_) {
            after_batch(context, reply);
        }
        return;
    }
    const auto read = reads_.find(ticket.sequence);
    if (read != reads_.end()) {
        const auto row = read->second;
        reads_.erase(read);
        after_read(context, row, reply);
    }
}

void claims::after_batch(step_context& context, const platform_reply& reply)
{
    const auto rows = std::exchange(batch_, {});
    const std::set<std::string> failed(reply.failed_keys.begin(), reply.failed_keys.end());
    for (const auto& row : rows) {
        entries_.at(row).in_batch = false;
    }
    for (const auto& row : rows) {
        if (reply.status == platform_status::ok) {
            written(context, row);
        } else if (reply.status == platform_status::conflict && failed.contains(row)) {
            lost_condition(context, row);
        } else {
            not_written(row, reply.status == platform_status::outcome_unknown);
        }
    }
    busy_ = false;
    const bool reached =
        reply.status == platform_status::ok || reply.status == platform_status::conflict;
    const bool failed_before = std::exchange(failing_, !reached);
    reached ? flush(context) : retry_later(context);
    if (failing_ && failed_before) {
        refuse_unwritten(context, rows);
    }
}

/// In an outage a claim that is certainly not written gives its slot back at once.
void claims::refuse_unwritten(step_context& context, const std::vector<std::string>& rows)
{
    for (const auto& row : rows) {
        const auto found = entries_.find(row);
        if (found == entries_.end()) {
            continue;
        }
        const auto& item = found->second;
        if (item.state == claim_state::claiming && !item.uncertain) {
            const auto call = item.holder;
            release(context, call);
            context.node.calls.on_claim(context, call, claim_result::unavailable, "");
        }
    }
}

/// The same conditional write follows; if this one took effect after all, the conflict tells.
void claims::not_written(const std::string& row, bool uncertain)
{
    auto& item = entries_.at(row);
    item.uncertain = item.uncertain || uncertain;
    if (item.state == claim_state::releasing && item.expected != claim_text(item)) {
        if (!item.uncertain) {
            entries_.erase(row);
            return;
        }
        item.expected = claim_text(item);
    }
    waiting_.push_back(row);
}

void claims::retry_later(step_context& context)
{
    paused_ = true;
    context.start_timer({module_id::claims, next_batch, 0}, context.jitter(retry_low, retry_high));
}

void claims::written(step_context& context, const std::string& row)
{
    auto& item = entries_.at(row);
    item.expected = item.sent;
    item.uncertain = false;
    if (item.state == claim_state::claiming) {
        item.state = claim_state::running;
        tell(context, item, claim_result::granted);
        return;
    }
    if (item.state == claim_state::releasing && !item.expected) {
        entries_.erase(row);
        return;
    }
    if (item.expected != wanted_value(item)) {
        waiting_.push_back(row);
    }
}

void claims::lost_condition(step_context& context, const std::string& row)
{
    const auto state = entries_.at(row).state;
    if (state == claim_state::releasing) {
        // Somebody else holds the row, or the first delete took effect.
        entries_.erase(row);
        return;
    }
    if (state != claim_state::claiming) {
        return; // the first write of the outcome took effect
    }
    reads_[++sequence_] = row;
    context.call_platform({module_id::claims, row_read, sequence_}, table_read{row});
}

void claims::after_read(step_context& context, const std::string& row, const platform_reply& reply)
{
    const auto found = entries_.find(row);
    if (found == entries_.end()) {
        return;
    }
    auto& item = found->second;
    if (item.state != claim_state::claiming) {
        enqueue(context, row);
        return;
    }
    if (reply.status != platform_status::ok || reply.rows.empty()) {
        item.expected = std::nullopt;
        enqueue(context, row);
        return;
    }
    const auto record = parse_claim_record(reply.rows.front().value);
    if (record && record->token == item.token) {
        item.sent = reply.rows.front().value;
        written(context, row);
        return;
    }
    if (record && record->expires_ms < wall_ms(context)) {
        item.expected = reply.rows.front().value;
        enqueue(context, row);
        return;
    }
    const bool same_body = record && record->digest == item.digest;
    const auto result = !same_body               ? claim_result::mismatch
                        : !record->done          ? claim_result::taken
                        : record->answer.empty() ? claim_result::finished
                                                 : claim_result::replay;
    const auto call = item.holder;
    entries_.erase(found);
    holders_.erase(call);
    context.node.calls.on_claim(context, call, result, record ? record->answer : "");
}

void claims::tell(step_context& context, entry& item, claim_result result)
{
    context.node.calls.on_claim(context, item.holder, result, item.answer);
}

} // namespace camphor
