// Polling of the table's head and reading of its change log.
#include <camphortally/node.h>
#include <camphortally/table_poller.h>

#include "distribution_timers.h"
#include "snapshot_object.h"

#include <charconv>

namespace camphor {

namespace {

using namespace std::chrono_literals;

constexpr duration poll_period = 500ms;
/// A new node first hears from its peers whether it is to poll at all.
constexpr duration first_poll_low = 1s;
constexpr duration first_poll_high = 2s;
constexpr std::int32_t rows_per_scan = 500;

std::int64_t to_number(const std::string& text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

} // namespace

void table_poller::start(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::poll),
                        context.jitter(first_poll_low, first_poll_high));
}

void table_poller::on_timer(step_context& context)
{
    const auto period = failing_ ? backoff_.next(context) : poll_period;
    context.start_timer(timer_of(distribution_timer::poll), period);
    const auto& self = context.node.settings;
    if (context.node.members.trees(self.zone).is_root(self.node)) {
        request(context, static_cast<std::int32_t>(distribution_request::head), table_read{"head"});
    }
}

void table_poller::request(step_context& context, std::int32_t kind, platform_request request)
{
    context.call_platform({module_id::distribution, kind, ++sequence_}, std::move(request));
}

void table_poller::on_platform(step_context& context, const platform_ticket& ticket,
                               const platform_reply& reply)
{
    if (ticket.sequence != sequence_) {
        return;
    }
    failing_ = reply.status == platform_status::unavailable;
    if (reply.status != platform_status::ok) {
        return;
    }
    backoff_.reset();
    switch (static_cast<distribution_request>(ticket.kind)) {
    case distribution_request::head:
        on_head(context, reply);
        break;
    case distribution_request::changes:
        on_changes(context, reply);
        break;
    case distribution_request::snapshot_head:
        on_snapshot_head(context, reply);
        break;
    default:
        on_snapshot_body(context, reply);
        break;
    }
}

void table_poller::on_head(step_context& context, const platform_reply& reply)
{
    const auto head = reply.rows.empty() ? 0 : to_number(reply.rows.front().value);
    if (head > context.node.config.current()->version().value()) {
        scan_changes(context);
    }
}

void table_poller::scan_changes(step_context& context)
{
    const auto version = context.node.config.current()->version();
    request(context, static_cast<std::int32_t>(distribution_request::changes),
            table_scan{std::string(change_prefix), change_key(version), rows_per_scan});
}

void table_poller::on_snapshot_head(step_context& context, const platform_reply& reply)
{
    if (reply.rows.empty()) {
        return;
    }
    const config_version version{to_number(reply.rows.front().value)};
    if (version > context.node.config.current()->version()) {
        request(context, static_cast<std::int32_t>(distribution_request::snapshot_body),
                object_get{snapshot_object_name(version)});
    }
}

void table_poller::on_snapshot_body(step_context& context, const platform_reply& reply)
{
    try {
        if (context.node.config.apply_full(context, parse_object(reply.body)) ==
            apply_result::applied) {
            scan_changes(context);
        }
    } catch (const std::runtime_error& error) {
        context.log(log_level::error, "config.unreadable_snapshot", error.what());
    }
}

void table_poller::on_changes(step_context& context, const platform_reply& reply)
{
    const auto next =
        change_key(config_version{context.node.config.current()->version().value() + 1});
    if (reply.rows.empty() || reply.rows.front().key > next) {
        // The log starts later: what is missing stands in a compacted snapshot.
        request(context, static_cast<std::int32_t>(distribution_request::snapshot_head),
                table_read{snapshot_head_key});
        return;
    }
    std::vector<change> changes;
    try {
        for (const auto& row : reply.rows) {
            changes.push_back(parse_change_record(row.value));
        }
    } catch (const invalid_input& error) {
        context.log(log_level::error, "config.unreadable_change", error.what());
        return;
    }
    const config_version base{changes.front().version.value() - 1};
    const auto result = context.node.config.apply_changes(context, base, changes, 0);
    if (result == apply_result::applied && reply.rows.size() == rows_per_scan) {
        scan_changes(context);
    }
}

} // namespace camphor
