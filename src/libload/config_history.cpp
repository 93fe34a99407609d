// Readers of node logs, audit trails and operator histories.
#include "config_history.h"

#include "json_lines.h"

#include <camphortally/error.h>
#include <camphortally/resource.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>

namespace camphor::load {

namespace {

using nlohmann::json;

template <class Enum>
struct named_value {
    const char* name;
    Enum value;
};
constexpr std::array action_names{
    named_value<operation_action>{"put", operation_action::put},
    named_value<operation_action>{"delete", operation_action::erase},
    named_value<operation_action>{"read", operation_action::read},
};
constexpr std::array result_names{
    named_value<operation_result>{"accepted", operation_result::accepted},
    named_value<operation_result>{"rejected", operation_result::rejected},
    named_value<operation_result>{"not_run", operation_result::not_run},
    named_value<operation_result>{"unknown", operation_result::unknown},
};

template <class Table>
auto parse_name(const Table& table, const std::string& text)
{
    for (const auto& entry : table) {
        if (text == entry.name) {
            return entry.value;
        }
    }
    throw invalid_input("", "unknown enum value \"" + text + "\"");
}

double parse_ms(const json& document, const char* name)
{
    const auto time = parse_time(document.value(name, ""));
    return time ? static_cast<double>(time->time_since_epoch().count()) : 0;
}

/// Status phase of the resource in member `name`; empty when it is null or has no status.
std::string status_phase(const json& document, const char* name)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_object() || !found->contains("status")) {
        return {};
    }
    const auto& status = found->at("status");
    return status.is_object() ? status.value("phase", "") : std::string();
}

audit_entry parse_audit(const json& document)
{
    audit_entry out;
    out.version = document.at("version");
    out.accepted_ms = parse_ms(document, "at");
    out.operation_id = document.value("operation", "");
    out.kind = document.value("kind", "");
    out.name = document.value("name", "");
    out.deleted = document.contains("after") && document.at("after").is_null();
    out.phase_before = status_phase(document, "before");
    out.phase_after = status_phase(document, "after");
    return out;
}

operation_record parse_operation(const json& document)
{
    operation_record out;
    out.operation_id = document.value("operation", "");
    out.action = parse_name(action_names, document.at("action"));
    out.kind = document.value("kind", "");
    out.name = document.at("name");
    if (document.contains("if_match") && !document.at("if_match").is_null()) {
        out.if_match = document.at("if_match").get<std::int64_t>();
    }
    out.value = document.value("value", "");
    out.result = parse_name(result_names, document.at("result"));
    out.revision = document.value("revision", std::int64_t{0});
    out.started_ms = document.at("started_ms");
    out.ended_ms = document.at("ended_ms");
    return out;
}

/// The lifetime that the current log line of `node` belongs to; adds one when `is_start` is set or
/// the node is new.
node_lifetime& current_lifetime(std::vector<node_lifetime>& lifetimes,
                                std::map<std::string, std::size_t>& latest_index,
                                const std::string& node, bool is_start)
{
    const auto found = latest_index.find(node);
    if (!is_start && found != latest_index.end()) {
        return lifetimes.at(found->second);
    }
    latest_index[node] = lifetimes.size();
    lifetimes.emplace_back().node = node;
    return lifetimes.back();
}

} // namespace

std::vector<node_lifetime> read_node_log(std::istream& in)
{
    std::vector<node_lifetime> lifetimes;
    std::map<std::string, std::size_t> latest_index;
    std::string line;
    while (std::getline(in, line)) {
        const auto document = json::parse(line, nullptr, false);
        if (!document.is_object() || !document.contains("event") || !document.contains("node")) {
            continue;
        }
        const std::string event = document.at("event");
        const auto event_ms = parse_ms(document, "time");
        auto& lifetime =
            current_lifetime(lifetimes, latest_index, document.at("node"), event == "node.started");
        if (event == "node.started") {
            lifetime.started_ms = event_ms;
        } else if (event == "config.applied") {
            lifetime.applied_versions.push_back(document.at("config_version"));
            lifetime.applied_ms.push_back(event_ms);
        } else if ((event == "node.draining" || event == "node.stopped") && !lifetime.shutdown_ms) {
            lifetime.shutdown_ms = event_ms;
        }
    }
    return lifetimes;
}

std::vector<audit_entry> read_audit(std::istream& in)
{
    std::vector<audit_entry> out;
    const auto add_entry = [&](const json& document) {
        out.push_back(parse_audit(document));
    };
    if ((in >> std::ws).peek() == '[') {
        const auto records = json::parse(in, nullptr, false);
        if (records.is_discarded()) {
            throw invalid_input("", "audit trail is not a valid JSON array");
        }
        std::for_each(records.begin(), records.end(), add_entry);
    } else {
        read_json_lines(in, add_entry);
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& left, const auto& right) {
        return left.version < right.version;
    });
    return out;
}

std::vector<operation_record> read_operations(std::istream& in)
{
    std::vector<operation_record> out;
    read_json_lines(in, [&](const json& document) { out.push_back(parse_operation(document)); });
    return out;
}

} // namespace camphor::load
