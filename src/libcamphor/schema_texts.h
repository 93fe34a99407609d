// Texts of the JSON Schemas, draft 7.
#pragma once

#include <array>
#include <cstddef>
#include <string>

namespace camphor {

inline constexpr std::size_t schema_count = 6;

/// Indexed by schema_name.
extern const std::array<std::string, schema_count> schema_texts;

} // namespace camphor
