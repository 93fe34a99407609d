// Reader of JSON lines that tolerates the incomplete last line of a killed process.
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <istream>

namespace camphor::load {

/// Calls `handler` with the JSON object of each line. Empty lines and an incomplete last line are
/// skipped.
/// @throws invalid_input with the line number when a line is not a JSON object or `handler` throws
/// a nlohmann::json::exception
void read_json_lines(std::istream& in, const std::function<void(const nlohmann::json&)>& handler);

} // namespace camphor::load
