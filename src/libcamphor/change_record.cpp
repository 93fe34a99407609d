// Change records: the form in which the table and peers carry a change.
#include <camphortally/change_writer.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace camphor {

namespace {

using nlohmann::json;

/// Wide enough for any 64-bit version, so that keys sort as numbers.
constexpr int version_digits = 20;

resource_key read_key(const json& document)
{
    const auto kind = parse_resource_kind(document.at("kind"));
    if (!kind) {
        throw invalid_input("/kind", "unknown kind");
    }
    return {*kind, document.at("name")};
}

} // namespace

std::string change_key(config_version version)
{
    std::ostringstream out;
    out << change_prefix << std::setw(version_digits) << std::setfill('0') << version.value();
    return out.str();
}

std::string to_record(const change& item)
{
    const json document{{"version", item.version.value()},
                        {"kind", to_string(item.key.kind)},
                        {"name", item.key.name},
                        {"resource", item.item ? json::parse(to_json(*item.item)) : json(nullptr)},
                        {"operation", item.operation.value()},
                        {"accepted_at", format_time(item.accepted_at)}};
    return document.dump();
}

change parse_change_record(const std::string& text)
{
    const json document = parse_json(text);
    try {
        change out;
        out.version = config_version{document.at("version").get<std::int64_t>()};
        out.key = read_key(document);
        if (!document.at("resource").is_null()) {
            out.item =
                std::make_shared<const resource>(parse_resource(document.at("resource").dump()));
        }
        if (out.item && out.item->key != out.key) {
            throw invalid_input("/resource", "is not the resource that the record names");
        }
        out.operation = operation_id{document.at("operation").get<std::string>()};
        out.accepted_at = parse_time(document.at("accepted_at")).value_or(wall_time{});
        return out;
    } catch (const std::logic_error& error) {
        throw invalid_input("", std::string("not a change record: ") + error.what());
    } catch (const json::exception& error) {
        throw invalid_input("", std::string("not a change record: ") + error.what());
    }
}

std::string error_body(const std::string& code, const std::vector<fault>& faults)
{
    json list = json::array();
    for (const auto& item : faults) {
        list.push_back({{"pointer", item.pointer}, {"reason", item.reason}});
    }
    const fault first = faults.empty() ? fault{} : faults.front();
    const json document{{"error",
                         {{"code", code},
                          {"message", first.reason},
                          {"pointer", first.pointer},
                          {"faults", list}}}};
    // Reasons may quote bytes that are not UTF-8.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace camphor
