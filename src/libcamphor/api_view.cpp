// What the resource API shows of a node's state.
#include <camphortally/api_view.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace camphor {

namespace {

using nlohmann::json;

constexpr std::array member_state_names{"alive", "suspect", "left", "dead"};
constexpr std::array backend_state_names{"warming", "ready", "draining"};

template <class Names, class Enum>
std::string name_of(const Names& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

json missing_of(const node_state& node, time_point now, config_version version)
{
    effect_list unused;
    const step_context context{const_cast<node_state&>(node), now, unused};
    json missing = json::array();
    for (const auto& id : node.spread.missing_nodes(context, version)) {
        missing.push_back(id.value());
    }
    return missing;
}

void add_move_status(const node_state& node, time_point now, const resource& item, json& status)
{
    const auto& held = *item.status;
    effect_list unused;
    const step_context context{const_cast<node_state&>(node), now, unused};
    const auto left = std::get<move_spec>(item.spec).deadline - context.wall_now();
    status["phase"] = to_string(held.phase);
    status["share_permille"] = held.share.value();
    status["stage"] = held.stage;
    status["holder"] = held.holder.value();
    status["evidence"] = held.evidence;
    status["changed_at"] = format_time(held.changed_at);
    status["time_left_ms"] = is_final(held.phase) ? 0 : left.count();
    status["reason"] = held.reason;
}

json document_of(const node_state& node, time_point now, const resource& item)
{
    json out = json::parse(to_json(item));
    json missing = missing_of(node, now, item.revision);
    json status{{"phase", missing.empty() ? "in_force" : "accepted"},
                {"in_force", missing.empty()},
                {"observed_config_version", node.config.current()->version().value()},
                {"missing_nodes", missing},
                {"reason", ""}};
    if (item.status) {
        add_move_status(node, now, item, status);
    }
    out["status"] = status;
    return out;
}

json backend_document(const backend_view& item)
{
    return {{"backend", item.backend.value()},
            {"service", item.service.value()},
            {"release", item.release.value()},
            {"slots", item.slots},
            {"state", name_of(backend_state_names, item.state)},
            {"in_flight", item.in_flight}};
}

} // namespace

std::string resource_document(const node_state& node, time_point now, const resource& item)
{
    return document_of(node, now, item).dump();
}

std::string list_document(const node_state& node, time_point now, resource_kind kind)
{
    json items = json::array();
    for (const auto& [key, item] : node.config.current()->resources()) {
        if (key.kind == kind) {
            items.push_back(document_of(node, now, *item));
        }
    }
    const json out{{"items", items}, {"config_version", node.config.current()->version().value()}};
    return out.dump();
}

std::string nodes_document(const node_state& node, time_point now)
{
    const auto version = node.config.current()->version();
    const auto missing = missing_of(node, now, version);
    json items = json::array();
    for (const auto& [id, member] : node.members.members()) {
        json backends = json::array();
        for (const auto& item : member.backends) {
            backends.push_back(backend_document(item));
        }
        const bool is_current =
            std::find(missing.begin(), missing.end(), json(id.value())) == missing.end();
        items.push_back({{"node", id.value()},
                         {"zone", member.zone.value()},
                         {"region", member.region.value()},
                         {"state", name_of(member_state_names, member.state)},
                         {"is_current", is_current},
                         {"backends", backends}});
    }
    const json out{{"items", items}, {"config_version", version.value()}};
    return out.dump();
}

} // namespace camphor
