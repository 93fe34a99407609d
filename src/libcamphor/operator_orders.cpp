// Operators' requests as orders for the change writer.
#include "operator_orders.h"

#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace camphor {

namespace {

using nlohmann::json;

/// The body of a PUT with kind and name from its path.
resource parse_put(const put_requested& event)
{
    json document = parse_json(event.body);
    if (!document.is_object()) {
        throw invalid_input("", "is not a JSON object");
    }
    const auto kind = to_string(event.key.kind);
    std::vector<fault> faults;
    if (document.value("kind", json(kind)) != json(kind)) {
        faults.push_back({"/kind", "differs from the path's \"" + kind + "\""});
    }
    if (document.value("name", json(event.key.name)) != json(event.key.name)) {
        faults.push_back({"/name", "differs from the path's \"" + event.key.name + "\""});
    }
    if (!faults.empty()) {
        throw invalid_input(std::move(faults));
    }
    document["kind"] = kind;
    document["name"] = event.key.name;
    document.erase("status");
    return parse_resource(document.dump());
}

/// Deleting a move in progress takes it back; the record of its outcome stays.
resource_ptr cancelled(const resource& held, wall_time now)
{
    auto copy = held;
    copy.status->phase = move_phase::reverted;
    copy.status->share = permille{0};
    copy.status->reason = "cancelled by operator";
    copy.status->changed_at = now;
    return std::make_shared<const resource>(std::move(copy));
}

} // namespace

change_order order_of(const put_requested& event)
{
    change_order out;
    out.parts.push_back({event.key, std::make_shared<const resource>(parse_put(event))});
    out.if_match = event.if_match;
    out.operation = event.operation;
    out.from = event.from;
    out.request = event.request;
    return out;
}

change_order order_of(const delete_requested& event)
{
    change_order out;
    out.parts.push_back({event.key, nullptr});
    out.if_match = event.if_match;
    out.operation = event.operation;
    out.from = event.from;
    out.request = event.request;
    return out;
}

void bring_up_to_date(change_order& order, const snapshot& base, wall_time now)
{
    auto& part = order.parts.front();
    const auto held = order.request ? base.find(part.key) : nullptr;
    if (!held || !held->status || is_final(held->status->phase)) {
        return;
    }
    if (!part.item) {
        part.item = cancelled(*held, now);
    } else if (!is_final(part.item->status->phase)) {
        auto edited = *part.item;
        edited.status = held->status;
        part.item = std::make_shared<const resource>(std::move(edited));
    }
}

} // namespace camphor
