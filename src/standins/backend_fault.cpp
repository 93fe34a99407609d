// Parses fault settings of the stand-in backend server.
#include "backend_fault.h"

#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace camphor::standin {

namespace {

using nlohmann::json;

constexpr double ms_per_second = 1'000;
constexpr double max_delay_s = 86'400;
constexpr std::array known_keys{"release", "route",     "error_ratio",     "added_latency_ms",
                                "after_s", "above_rps", "crash_on_header", "health_lies"};

void check_keys(const json& document)
{
    for (const auto& [key, unused] : document.items()) {
        if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end()) {
            throw invalid_input("/" + key, "unknown key");
        }
    }
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

double read_bounded(const json& document, const char* key, double maximum)
{
    const auto value = document.value(key, 0.0);
    if (value < 0 || value > maximum) {
        throw invalid_input(std::string("/") + key, "is out of range");
    }
    return value;
}

} // namespace

backend_fault parse_backend_fault(const std::string& text)
{
    const json document = parse_json(text);
    if (!document.is_object()) {
        throw invalid_input("", "must be an object");
    }
    check_keys(document);
    try {
        backend_fault out;
        out.release = document.value("release", "");
        out.path_prefix = document.value("route", "");
        out.error_ratio = read_bounded(document, "error_ratio", 1);
        out.added_latency = std::chrono::milliseconds(static_cast<std::int64_t>(
            read_bounded(document, "added_latency_ms", max_delay_s * ms_per_second)));
        out.delay = std::chrono::milliseconds(static_cast<std::int64_t>(
            read_bounded(document, "after_s", max_delay_s) * ms_per_second));
        out.above_rps = read_bounded(document, "above_rps", 1e9);
        out.crash_on_header = to_lower(document.value("crash_on_header", ""));
        out.fakes_health = document.value("health_lies", false);
        return out;
    } catch (const json::exception& error) {
        throw invalid_input("", std::string("not a fault: ") + error.what());
    }
}

} // namespace camphor::standin
