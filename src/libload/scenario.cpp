// Parsing of scenario files, and call schedules.
#include "scenario.h"

#include <camphortally/error.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <set>
#include <sstream>
#include <utility>

namespace camphor::load {

namespace {

using nlohmann::json;

const std::set<std::string> known_fields{"name",           "weight",  "method",
                                         "path",           "keyed",   "body_bytes",
                                         "expected_bytes", "headers", "timeout_ms"};

/// Adds the query parameter `bytes`, the requested size of the response body, unless the path has
/// it.
std::string with_bytes_parameter(const std::string& path, std::size_t bytes)
{
    if (path.find("bytes=") != std::string::npos) {
        return path;
    }
    const char separator = path.find('?') == std::string::npos ? '?' : '&';
    std::ostringstream out;
    out << path << separator << "bytes=" << bytes;
    return out.str();
}

void check_kind(const json& kind_json, const std::string& pointer, std::vector<fault>& faults)
{
    for (const auto& [name, value] : kind_json.items()) {
        if (!known_fields.contains(name)) {
            faults.push_back({std::string(pointer).append("/").append(name), "unknown key"});
        }
    }
    const auto path = kind_json.find("path");
    if (path == kind_json.end() || !path->is_string() ||
        !path->get<std::string>().starts_with('/')) {
        faults.push_back({pointer + "/path", "must be a path that starts with /"});
    }
    const auto weight = kind_json.value("weight", json(1));
    if (!weight.is_number() || weight.get<double>() <= 0) {
        faults.push_back({pointer + "/weight", "must be a positive number"});
    }
    for (const char* name : {"body_bytes", "expected_bytes", "timeout_ms"}) {
        if (kind_json.contains(name) && !kind_json.at(name).is_number_unsigned()) {
            faults.push_back({pointer + "/" + name, "must be a non-negative integer"});
        }
    }
}

call_kind parse_kind(const json& kind_json)
{
    call_kind out;
    out.path = kind_json.at("path");
    out.name = kind_json.value("name", out.path);
    out.weight = kind_json.value("weight", out.weight);
    out.method = kind_json.value("method", out.method);
    out.keyed = kind_json.value("keyed", out.keyed);
    out.body_bytes = kind_json.value("body_bytes", out.body_bytes);
    out.headers = kind_json.value("headers", out.headers);
    out.timeout = std::chrono::milliseconds(kind_json.value("timeout_ms", out.timeout.count()));
    if (kind_json.contains("expected_bytes")) {
        set_expected_bytes(out, kind_json.at("expected_bytes").get<std::size_t>());
    }
    return out;
}

std::vector<double> weights_of(const scenario& mix)
{
    std::vector<double> out;
    out.reserve(mix.kinds.size());
    for (const auto& kind : mix.kinds) {
        out.push_back(kind.weight);
    }
    return out;
}

} // namespace

void set_expected_bytes(call_kind& kind, std::size_t bytes)
{
    kind.expected_bytes = bytes;
    kind.path = with_bytes_parameter(kind.path, bytes);
}

scenario parse_scenario(const std::string& json_text)
{
    const json document = parse_json(json_text);
    if (!document.is_object() || !document.contains("kinds") || !document.at("kinds").is_array() ||
        document.at("kinds").empty()) {
        throw invalid_input("/kinds", "must be an array with at least one call kind");
    }
    const auto& kinds = document.at("kinds");
    std::vector<fault> faults;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto pointer = "/kinds/" + std::to_string(i);
        if (kinds.at(i).is_object()) {
            check_kind(kinds.at(i), pointer, faults);
        } else {
            faults.push_back({pointer, "must be an object"});
        }
    }
    if (!faults.empty()) {
        throw invalid_input(std::move(faults));
    }
    scenario out;
    try {
        for (const auto& kind_json : kinds) {
            out.kinds.push_back(parse_kind(kind_json));
        }
    } catch (const json::exception& error) {
        throw invalid_input("/kinds", error.what());
    }
    return out;
}

schedule::schedule(scenario mix, double calls_per_s, std::uint64_t seed)
    : mix_(std::move(mix)), calls_per_s_(calls_per_s), generator_(seed)
{
    const auto weights = weights_of(mix_);
    kind_distribution_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

const call_kind& schedule::next_kind()
{
    return mix_.kinds.at(kind_distribution_(generator_));
}

std::chrono::nanoseconds schedule::send_offset(std::uint64_t call_index) const
{
    constexpr double ns_per_second = 1e9;
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(call_index) * ns_per_second / calls_per_s_));
}

} // namespace camphor::load
