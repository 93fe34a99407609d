// JSON Schemas of the documents that people write: resources and node settings.
#pragma once

#include <camphortally/error.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace camphor {

enum class schema_name : std::uint8_t {
    /// `{"kind","name","revision","spec","status"}`
    resource,
    service_spec,
    upstream_spec,
    route_spec,
    move_spec,
    node_settings,
};

/// The schema's text, JSON Schema draft 7.
const std::string& schema_text(schema_name name);

/// Faults of `document` against the schema, with pointers below `base`; empty when it fits.
std::vector<fault> check_schema(schema_name name, const nlohmann::json& document,
                                const std::string& base = "");

/// Parses JSON text.
/// @throws invalid_input naming the byte at which it stops being JSON
nlohmann::json parse_json(const std::string& text);

} // namespace camphor
