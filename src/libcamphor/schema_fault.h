// Words schema violations so that an operator can mend them.
#pragma once

#include <camphortally/error.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace camphor {

/// One violation as the validator reports it.
struct schema_violation {
    /// Keys and indices from the document's root to the value.
    std::vector<std::string> path;
    /// The validator's own words.
    std::string text;
};

/// The faults behind the violations of `schema` by `document`: pointers below `base`, one fault a
/// value, unknown keys each by themselves.
std::vector<fault> to_faults(const nlohmann::json& schema, const nlohmann::json& document,
                             const std::vector<schema_violation>& violations,
                             const std::string& base);

/// Escapes one reference token of a JSON pointer (RFC 6901).
std::string pointer_token(const std::string& key);

} // namespace camphor
