// Resources to and from JSON.
#include <camphortally/resource.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace camphor {

namespace {

using nlohmann::json;

constexpr std::array kind_names{"service", "upstream", "route", "move"};
constexpr std::array priority_names{"low", "normal", "high"};
constexpr std::array phase_names{"accepted", "progressing", "completed", "reverted", "refused"};
constexpr std::array thin_evidence_names{"revert", "complete"};
constexpr std::int64_t default_timeout_ms = 2'000;
constexpr std::int64_t default_soak_ms = 5'000;
constexpr std::int32_t default_unproven_share_permille = 50;
constexpr std::int32_t default_connections = 100;

template <class Enum, class Names>
std::optional<Enum> parse_enum(const Names& names, const std::string& text)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (text == names.at(i)) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

template <class Enum, class Names>
std::string name_of(const Names& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

duration from_ms(std::int64_t value)
{
    return std::chrono::milliseconds(value);
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json spec_to_json(const service_spec& spec)
{
    return {{"release", spec.release.value()}, {"priority", to_string(spec.priority)}};
}

json spec_to_json(const upstream_spec& spec)
{
    return {{"service", spec.service.value()},
            {"release", spec.release.value()},
            {"slots", spec.slots},
            {"connections", spec.connections},
            {"cold_start_ms", to_ms(spec.cold_start)}};
}

json spec_to_json(const route_spec& spec)
{
    return {{"host", spec.host},
            {"path_prefix", spec.path_prefix},
            {"headers", spec.headers},
            {"service", spec.service.value()},
            {"timeout_ms", to_ms(spec.timeout)},
            {"require_key", spec.require_key}};
}

json spec_to_json(const move_spec& spec)
{
    return {{"service", spec.service.value()},
            {"from_release", spec.from_release.value()},
            {"to_release", spec.to_release.value()},
            {"deadline", format_time(spec.deadline)},
            {"soak_ms", to_ms(spec.soak)},
            {"unproven_share_permille", spec.unproven_share.value()},
            {"on_thin_evidence", name_of(thin_evidence_names, spec.on_thin_evidence)}};
}

json status_to_json(const move_status& status)
{
    return {{"phase", to_string(status.phase)},
            {"share_permille", status.share.value()},
            {"stage", status.stage},
            {"holder", status.holder.value()},
            {"reason", status.reason},
            {"evidence", status.evidence},
            {"changed_at", format_time(status.changed_at)}};
}

service_spec parse_service(const json& spec)
{
    service_spec out;
    out.release = release_id{spec.at("release")};
    out.priority = *parse_enum<priority>(priority_names, spec.value("priority", "normal"));
    return out;
}

upstream_spec parse_upstream(const json& spec)
{
    upstream_spec out;
    out.service = service_id{spec.at("service")};
    out.release = release_id{spec.at("release")};
    out.slots = spec.at("slots");
    out.connections = spec.value("connections", default_connections);
    out.cold_start = from_ms(spec.value("cold_start_ms", std::int64_t{0}));
    return out;
}

route_spec parse_route(const json& spec)
{
    route_spec out;
    out.host = spec.value("host", "");
    out.path_prefix = spec.at("path_prefix");
    out.headers = spec.value("headers", std::map<std::string, std::string>{});
    out.service = service_id{spec.at("service")};
    out.timeout = from_ms(spec.value("timeout_ms", default_timeout_ms));
    out.require_key = spec.value("require_key", false);
    return out;
}

move_spec parse_move(const json& spec)
{
    const auto deadline = parse_time(spec.at("deadline"));
    if (!deadline) {
        throw invalid_input("/spec/deadline", "not a time of the form 2026-12-31T18:00:00Z");
    }
    move_spec out;
    out.service = service_id{spec.at("service")};
    out.from_release = release_id{spec.at("from_release")};
    out.to_release = release_id{spec.at("to_release")};
    out.deadline = *deadline;
    out.soak = from_ms(spec.value("soak_ms", default_soak_ms));
    out.unproven_share =
        permille{spec.value("unproven_share_permille", default_unproven_share_permille)};
    out.on_thin_evidence =
        *parse_enum<thin_evidence>(thin_evidence_names, spec.value("on_thin_evidence", "revert"));
    return out;
}

move_status parse_status(const json& status)
{
    move_status out;
    const auto phase = parse_enum<move_phase>(phase_names, status.value("phase", "accepted"));
    if (!phase) {
        throw invalid_input("/status/phase", "unknown phase");
    }
    out.phase = *phase;
    out.share = permille{status.value("share_permille", 0)};
    out.stage = status.value("stage", 0);
    out.holder = node_id{status.value("holder", "")};
    out.reason = status.value("reason", "");
    out.evidence = status.value("evidence", "");
    out.changed_at = parse_time(status.value("changed_at", "")).value_or(wall_time{});
    return out;
}

struct kind_entry {
    schema_name schema;
    resource_spec (*parse)(const json&);
};

/// Indexed by resource_kind.
const std::array<kind_entry, kind_names.size()> kinds{{
    {schema_name::service_spec,
     [](const json& spec) -> resource_spec {
         return parse_service(spec);
     }},
    {schema_name::upstream_spec,
     [](const json& spec) -> resource_spec {
         return parse_upstream(spec);
     }},
    {schema_name::route_spec,
     [](const json& spec) -> resource_spec {
         return parse_route(spec);
     }},
    {schema_name::move_spec,
     [](const json& spec) -> resource_spec {
         return parse_move(spec);
     }},
}};

void throw_if_any(std::vector<fault> faults)
{
    if (!faults.empty()) {
        throw invalid_input(std::move(faults));
    }
}

void append(std::vector<fault>& faults, std::vector<fault> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(faults));
}

/// The document's kind; empty when it names none.
std::optional<resource_kind> kind_of(const json& document)
{
    if (!document.is_object() || !document.contains("kind") || !document.at("kind").is_string()) {
        return std::nullopt;
    }
    return parse_enum<resource_kind>(kind_names, document.at("kind").get<std::string>());
}

void check_one(const route_spec& spec, wall_time /*now*/, std::vector<fault>& faults)
{
    for (const auto& [name, value] : spec.headers) {
        const bool lower =
            std::none_of(name.begin(), name.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (name.empty() || !lower) {
            faults.push_back({"/spec/headers/" + name, "header names are in lower case"});
        }
    }
}

void check_one(const move_spec& spec, wall_time now, std::vector<fault>& faults)
{
    if (spec.from_release == spec.to_release) {
        faults.push_back({"/spec/to_release", "is the same as from_release"});
    }
    if (spec.deadline <= now) {
        faults.push_back({"/spec/deadline", "is in the past"});
    } else if (spec.deadline - now <= spec.soak) {
        faults.push_back({"/spec/soak_ms", "does not fit before the deadline"});
    }
}

void check_one(const service_spec& /*spec*/, wall_time /*now*/, std::vector<fault>& /*faults*/) {}
void check_one(const upstream_spec& /*spec*/, wall_time /*now*/, std::vector<fault>& /*faults*/) {}

} // namespace

std::string to_string(resource_kind kind)
{
    return name_of(kind_names, kind);
}

std::string to_string(priority value)
{
    return name_of(priority_names, value);
}

std::string to_string(move_phase phase)
{
    return name_of(phase_names, phase);
}

std::optional<resource_kind> parse_resource_kind(const std::string& text)
{
    const bool plural = !text.empty() && text.back() == 's';
    return parse_enum<resource_kind>(kind_names, plural ? text.substr(0, text.size() - 1) : text);
}

bool is_final(move_phase phase)
{
    return phase != move_phase::accepted && phase != move_phase::progressing;
}

std::string format_time(wall_time time)
{
    const auto whole = std::chrono::floor<std::chrono::seconds>(time);
    const auto seconds = static_cast<std::time_t>(whole.time_since_epoch().count());
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
        << (time - whole).count() << 'Z';
    return out.str();
}

std::optional<wall_time> parse_time(const std::string& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (in.fail()) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    if (in.peek() == '.') {
        double fraction = 0;
        in >> fraction;
        constexpr double ms_per_second = 1000;
        milliseconds = std::lround(fraction * ms_per_second);
    }
    if (in.get() != 'Z') {
        return std::nullopt;
    }
    const std::chrono::seconds since_epoch(timegm(&parts));
    return wall_time(since_epoch + std::chrono::milliseconds(milliseconds));
}

resource parse_resource(const std::string& json_text)
{
    const json document = parse_json(json_text);
    auto faults = check_schema(schema_name::resource, document);
    const auto kind = kind_of(document);
    if (kind && document.contains("spec") && document.at("spec").is_object()) {
        append(faults, check_schema(kinds.at(static_cast<std::size_t>(*kind)).schema,
                                    document.at("spec"), "/spec"));
    }
    throw_if_any(std::move(faults));
    resource out;
    out.key.kind = *kind;
    out.key.name = document.at("name");
    out.revision = config_version{document.value("revision", std::int64_t{0})};
    out.spec = kinds.at(static_cast<std::size_t>(*kind)).parse(document.at("spec"));
    if (out.key.kind == resource_kind::move) {
        out.status = parse_status(document.value("status", json::object()));
    }
    return out;
}

std::string to_json(const resource& item)
{
    json document{
        {"kind", to_string(item.key.kind)},
        {"name", item.key.name},
        {"revision", item.revision.value()},
        {"spec", std::visit([](const auto& spec) { return spec_to_json(spec); }, item.spec)}};
    if (item.status) {
        document["status"] = status_to_json(*item.status);
    }
    return document.dump();
}

std::vector<fault> check_resource(const resource& item, wall_time now)
{
    std::vector<fault> faults;
    std::visit([&](const auto& spec) { check_one(spec, now, faults); }, item.spec);
    return faults;
}

} // namespace camphor
