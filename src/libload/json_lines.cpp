// Reader of JSON lines.
#include "json_lines.h"

#include <camphortally/error.h>

#include <string>

namespace camphor::load {

void read_json_lines(std::istream& in, const std::function<void(const nlohmann::json&)>& handler)
{
    std::string line;
    for (std::size_t line_number = 1; std::getline(in, line); ++line_number) {
        if (line.empty()) {
            continue;
        }
        const auto document = nlohmann::json::parse(line, nullptr, false);
        // An incomplete last line: getline reaches the end of the file only when the line break is
        // missing.
        if (document.is_discarded() && in.eof()) {
            return;
        }
        const auto position = "line " + std::to_string(line_number);
        if (!document.is_object()) {
            throw invalid_input(position, "line is not a JSON object");
        }
        try {
            handler(document);
        } catch (const nlohmann::json::exception& error) {
            throw invalid_input(position, error.what());
        }
    }
}

} // namespace camphor::load
