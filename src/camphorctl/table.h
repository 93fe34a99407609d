// Text tables and descriptions of JSON documents.
#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace camphor::ctl {

/// Title and value of one table column.
struct column {
    std::string title;
    /// JSON pointer to the value within a row. An array is shown as its length; a missing, null or
    /// empty value as `-`.
    std::string pointer;
};

/// Writes the titles and one line for each element of the array `rows`, in aligned columns.
void write_table(std::ostream& out, const std::vector<column>& columns, const nlohmann::json& rows);

/// Writes one `NAME: value` line per member; members of nested objects are indented. `indent` is
/// the indentation in spaces.
void write_description(std::ostream& out, const nlohmann::json& document, std::size_t indent = 0);

} // namespace camphor::ctl
