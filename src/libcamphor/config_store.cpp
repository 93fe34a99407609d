// Applies whole versions, forward only.
#include <camphortally/config_store.h>
#include <camphortally/node.h>

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

/// Changes kept to serve deltas from; older bases need a full fetch.
constexpr std::size_t log_capacity = 1'024;

} // namespace

apply_result config_store::apply_changes(step_context& context, config_version base,
                                         const std::vector<change>& changes,
                                         std::uint64_t expected_digest)
{
    if (changes.empty() || changes.back().version <= current_->version()) {
        return apply_result::stale;
    }
    if (base > current_->version()) {
        return apply_result::mismatch;
    }
    const auto is_new = [this](const change& item) {
        return item.version > current_->version();
    };
    const auto first = std::find_if(changes.begin(), changes.end(), is_new);
    const std::vector<change> fresh(first, changes.end());
    snapshot_ptr next;
    try {
        next = std::make_shared<const snapshot>(current_->with(fresh));
    } catch (const state_mismatch& error) {
        context.log(log_level::warning, "config.mismatch", error.what());
        return apply_result::mismatch;
    }
    if (expected_digest != 0 && next->digest() != expected_digest) {
        context.log(log_level::warning, "config.mismatch", "digest of the result differs");
        return apply_result::mismatch;
    }
    if (const auto faults = check_closure(*next); !faults.empty()) {
        context.log(log_level::error, "config.not_closed", invalid_input(faults).what());
        return apply_result::not_closed;
    }
    log_.insert(log_.end(), fresh.begin(), fresh.end());
    while (log_.size() > log_capacity) {
        log_.pop_front();
    }
    publish(context, std::move(next));
    return apply_result::applied;
}

apply_result config_store::apply_full(step_context& context, snapshot_ptr candidate)
{
    if (candidate->version() <= current_->version()) {
        return apply_result::stale;
    }
    if (const auto faults = check_closure(*candidate); !faults.empty()) {
        context.log(log_level::error, "config.not_closed", invalid_input(faults).what());
        return apply_result::not_closed;
    }
    log_.clear();
    publish(context, std::move(candidate));
    return apply_result::applied;
}

void config_store::publish(step_context& context, snapshot_ptr next)
{
    current_ = std::move(next);
    context.out.emplace_back(config_applied{current_->version()});
    context.node.calls.on_applied(context);
    context.node.duties.on_applied(context);
    context.node.spread.on_applied(context);
}

bool config_store::can_serve_delta(config_version base) const
{
    const auto reach = current_->version().value() - static_cast<std::int64_t>(log_.size());
    return base.value() >= reach && base <= current_->version();
}

std::vector<change> config_store::changes_since(config_version base) const
{
    if (!can_serve_delta(base)) {
        return {};
    }
    const auto count = current_->version().value() - base.value();
    return {log_.end() - count, log_.end()};
}

} // namespace camphor
