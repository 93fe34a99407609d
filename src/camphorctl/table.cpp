// Formatting of JSON documents as aligned text.
#include "table.h"

#include <algorithm>
#include <ostream>

namespace camphor::ctl {

namespace {

using nlohmann::json;

constexpr std::size_t column_gap = 2;
constexpr std::size_t indent_step = 2;

std::string to_cell(const json& value)
{
    if (value.is_string()) {
        const auto text = value.get<std::string>();
        return text.empty() ? "-" : text;
    }
    if (value.is_array()) {
        return std::to_string(value.size());
    }
    return value.is_null() ? "-" : value.dump();
}

std::vector<std::string> to_cells(const std::vector<column>& columns, const json& row)
{
    std::vector<std::string> out;
    for (const auto& column : columns) {
        const json::json_pointer pointer(column.pointer);
        out.push_back(row.contains(pointer) ? to_cell(row.at(pointer)) : "-");
    }
    return out;
}

void write_line(std::ostream& out, const std::vector<std::string>& cells,
                const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(widths[i] + column_gap - cells[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

} // namespace

void write_table(std::ostream& out, const std::vector<column>& columns, const json& rows)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& column : columns) {
        lines.front().push_back(column.title);
    }
    for (const auto& row : rows) {
        lines.push_back(to_cells(columns, row));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : lines) {
        write_line(out, line, widths);
    }
}

void write_description(std::ostream& out, const json& document, std::size_t indent)
{
    const std::string indentation(indent, ' ');
    for (const auto& [key, value] : document.items()) {
        if (value.is_object() && !value.empty()) {
            out << indentation << key << ":\n";
            write_description(out, value, indent + indent_step);
        } else if (value.is_array()) {
            out << indentation << key << ": " << value.dump() << '\n';
        } else {
            out << indentation << key << ": " << to_cell(value) << '\n';
        }
    }
}

} // namespace camphor::ctl
