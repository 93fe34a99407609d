// Compacted snapshots as JSON objects.
#include "snapshot_object.h"

#include <camphortally/change_writer.h>
#include <camphortally/error.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace camphor {

using nlohmann::json;

std::string snapshot_object_name(config_version version)
{
    return "snapshot/" + change_key(version).substr(change_prefix.size());
}

std::string to_object(const snapshot& item)
{
    json resources = json::array();
    for (const auto& [key, held] : item.resources()) {
        resources.push_back(json::parse(to_json(*held)));
    }
    return json{{"version", item.version().value()},
                {"digest", item.digest()},
                {"resources", std::move(resources)}}
        .dump();
}

snapshot_ptr parse_object(const std::string& text)
{
    const json document = parse_json(text);
    try {
        snapshot::resource_map resources;
        for (const auto& each : document.at("resources")) {
            auto item = std::make_shared<const resource>(parse_resource(each.dump()));
            resources[item->key] = item;
        }
        const config_version version{document.at("version").get<std::int64_t>()};
        auto out = std::make_shared<const snapshot>(version, std::move(resources));
        if (out->digest() != document.at("digest").get<std::uint64_t>()) {
            throw state_mismatch("digest of the stored snapshot differs");
        }
        return out;
    } catch (const json::exception& error) {
        throw invalid_input("", std::string("not a snapshot: ") + error.what());
    }
}

} // namespace camphor
