// Bootstrap rows in the table.
#include <camphortally/checked_number.h>
#include <camphortally/node.h>
#include <camphortally/roster_rows.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

enum request_kind : std::int32_t { row_write, stale_scan, join_scan };

const std::string prefix = "roster/";
constexpr std::int32_t rows_per_scan = 200;
/// A row that was not refreshed for this long belongs to a dead relay.
constexpr std::chrono::milliseconds row_lifetime = 5min;
constexpr std::size_t join_targets = 2;

/// Empty, with a log line, when the row cannot be used.
std::optional<roster_row> read_row(step_context& context, const table_row& row)
{
    try {
        return parse_roster_row(row.value);
    } catch (const invalid_input& error) {
        context.log(log_level::warning, "roster.bad_row", row.key + ": " + error.what());
        return std::nullopt;
    }
}

void request(step_context& context, std::int32_t kind, platform_request request)
{
    context.call_platform({module_id::membership, kind, 0}, std::move(request));
}

} // namespace

roster_row parse_roster_row(const std::string& value)
{
    const json document = parse_json(value);
    try {
        return {document.at("zone"),
                {document.at("host"),
                 static_cast<std::uint16_t>(checked_number(document, "port", any_port))},
                checked_number(document, "at", any_count)};
    } catch (const json::exception& error) {
        throw invalid_input("", error.what());
    } catch (const std::out_of_range& error) {
        throw invalid_input("", error.what());
    }
}

void roster_rows::refresh(step_context& context)
{
    const auto& self = context.node.settings;
    const json row{{"zone", self.zone.value()},
                   {"host", self.host},
                   {"port", self.peer_port},
                   {"at", context.wall_now().time_since_epoch().count()}};
    request(context, row_write, table_transact{{}, {{prefix + self.node.value(), row.dump()}}});
    request(context, stale_scan, table_scan{prefix, "", rows_per_scan});
}

void roster_rows::withdraw(step_context& context)
{
    const auto key = prefix + context.node.settings.node.value();
    request(context, row_write, table_transact{{}, {{key, std::nullopt}}});
}

void roster_rows::look_up(step_context& context)
{
    request(context, join_scan, table_scan{prefix, "", rows_per_scan});
}

void roster_rows::on_platform(step_context& context, const platform_ticket& ticket,
                              const platform_reply& reply)
{
    if (reply.status != platform_status::ok) {
        return;
    }
    if (ticket.kind == stale_scan) {
        delete_stale(context, reply);
    }
    if (ticket.kind != join_scan) {
        return;
    }
    std::vector<peer_address> found;
    for (const auto& row : reply.rows) {
        if (const auto parsed = read_row(context, row)) {
            found.push_back(parsed->address);
        }
    }
    std::shuffle(found.begin(), found.end(), context.node.random);
    found.resize(std::min(found.size(), join_targets));
    for (const auto& address : found) {
        context.node.members.join_at(context, address);
    }
}

void roster_rows::delete_stale(step_context& context, const platform_reply& reply)
{
    const auto oldest = (context.wall_now() - row_lifetime).time_since_epoch().count();
    for (const auto& row : reply.rows) {
        const auto parsed = read_row(context, row);
        const bool own_zone = parsed && parsed->zone == context.node.settings.zone.value();
        if (own_zone && parsed->written_at < oldest) {
            // The condition spares a row that its node has refreshed meanwhile.
            request(context, row_write,
                    table_transact{{{row.key, row.value}}, {{row.key, std::nullopt}}});
        }
    }
}

} // namespace camphor
