// Compaction of the change log.
#include <camphortally/node.h>
#include <camphortally/snapshot_compactor.h>

#include "distribution_timers.h"
#include "snapshot_object.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

constexpr duration check_period = 10s;
/// Changes since the last snapshot that make a new one worth while.
constexpr std::int64_t compaction_threshold = 512;
/// Newest changes that stay in the log, so that a node a little behind needs no snapshot.
constexpr std::int64_t kept_changes = 256;
/// The platform takes 100 entries in a transaction; one is the condition.
constexpr std::int32_t rows_removed_at_once = 99;

/// One node of the mesh compacts: two that disagree are kept apart by the transaction.
bool has_duty(const step_context& context)
{
    const auto& members = context.node.members;
    std::pair<std::uint64_t, node_id> best;
    for (const auto& zone : members.zones()) {
        const auto& relay = members.trees(zone).roots().front();
        best = std::max(best, {rendezvous_weight("compaction", relay), relay});
    }
    return best.second == context.node.settings.node;
}

} // namespace

void snapshot_compactor::start(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::compact),
                        context.jitter(check_period / 2, check_period));
}

void snapshot_compactor::on_timer(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::compact), check_period);
    const auto version = context.node.config.current()->version();
    if (version.value() - compacted_.value() < compaction_threshold || !has_duty(context)) {
        return;
    }
    request(context, static_cast<std::int32_t>(distribution_request::compaction_head),
            table_read{snapshot_head_key});
}

void snapshot_compactor::request(step_context& context, std::int32_t kind, platform_request request)
{
    context.call_platform({module_id::distribution, kind, ++sequence_}, std::move(request));
}

void snapshot_compactor::on_platform(step_context& context, const platform_ticket& ticket,
                                     const platform_reply& reply)
{
    if (ticket.sequence != sequence_ || reply.status != platform_status::ok) {
        return;
    }
    switch (static_cast<distribution_request>(ticket.kind)) {
    case distribution_request::compaction_head:
        on_head(context, reply);
        break;
    case distribution_request::compaction_object:
        mark(context);
        break;
    case distribution_request::compaction_mark:
        compacted_ = candidate_->version();
        context.log(log_level::info, "config.compacted", std::to_string(compacted_.value()));
        candidate_.reset();
        scan(context);
        break;
    case distribution_request::compaction_scan:
        remove(context, reply);
        break;
    default:
        scan(context);
        break;
    }
}

void snapshot_compactor::on_head(step_context& context, const platform_reply& reply)
{
    compacted_ = config_version{reply.rows.empty() ? 0 : std::stoll(reply.rows.front().value)};
    candidate_ = context.node.config.current();
    if (candidate_->version().value() - compacted_.value() < compaction_threshold) {
        return;
    }
    request(context, static_cast<std::int32_t>(distribution_request::compaction_object),
            object_put{snapshot_object_name(candidate_->version()), to_object(*candidate_)});
}

void snapshot_compactor::mark(step_context& context)
{
    table_transact transaction;
    const auto old = std::to_string(compacted_.value());
    transaction.conditions.push_back(
        {snapshot_head_key, compacted_.value() == 0 ? std::nullopt : std::optional(old)});
    transaction.writes.push_back(
        {snapshot_head_key, std::to_string(candidate_->version().value())});
    request(context, static_cast<std::int32_t>(distribution_request::compaction_mark),
            std::move(transaction));
}

void snapshot_compactor::scan(step_context& context)
{
    request(context, static_cast<std::int32_t>(distribution_request::compaction_scan),
            table_scan{std::string(change_prefix), "", rows_removed_at_once});
}

void snapshot_compactor::remove(step_context& context, const platform_reply& reply)
{
    table_transact transaction;
    const auto first_kept = change_key(config_version{compacted_.value() - kept_changes + 1});
    transaction.conditions.push_back({snapshot_head_key, std::to_string(compacted_.value())});
    for (const auto& row : reply.rows) {
        if (row.key < first_kept) {
            transaction.writes.push_back({row.key, std::nullopt});
        }
    }
    if (!transaction.writes.empty()) {
        request(context, static_cast<std::int32_t>(distribution_request::compaction_remove),
                std::move(transaction));
    }
}

} // namespace camphor
