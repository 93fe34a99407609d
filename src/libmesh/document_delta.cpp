// Differences of documents by pieces.
#include "libmesh/document_delta.h"

#include <string_view>
#include <unordered_map>

namespace camphor::mesh {

namespace {

/// Pieces end behind a closing bracket: rows of a table are pieces of their own.
std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> out;
    while (!text.empty()) {
        const auto end = text.find(']');
        const auto length = end == std::string_view::npos ? text.size() : end + 1;
        out.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return out;
}

} // namespace

std::vector<mesh_wire::document_part> make_delta(const std::string& base, const std::string& next)
{
    const auto old_pieces = split(base);
    std::unordered_map<std::string_view, std::int32_t> places;
    for (std::size_t i = 0; i < old_pieces.size(); ++i) {
        places.emplace(old_pieces[i], static_cast<std::int32_t>(i));
    }
    std::vector<mesh_wire::document_part> out(1);
    for (const auto piece : split(next)) {
        auto& last = out.back();
        const auto expected =
            static_cast<std::size_t>(last.first) + static_cast<std::size_t>(last.count);
        if (last.literal.empty() && last.count > 0 && expected < old_pieces.size() &&
            old_pieces[expected] == piece) {
            ++last.count;
            continue;
        }
        const auto place = places.find(piece);
        if (place == places.end()) {
            last.literal.append(piece);
            continue;
        }
        mesh_wire::document_part part;
        part.first = place->second;
        part.count = 1;
        out.push_back(part);
    }
    for (auto& part : out) {
        part.__isset.first = part.__isset.count = part.__isset.literal = true;
    }
    return out;
}

std::optional<std::string> apply_delta(const std::string& base,
                                       const std::vector<mesh_wire::document_part>& parts)
{
    const auto pieces = split(base);
    std::string out;
    for (const auto& part : parts) {
        const auto first = static_cast<std::size_t>(part.first);
        const auto count = static_cast<std::size_t>(part.count);
        if (part.first < 0 || part.count < 0 || first > pieces.size() ||
            count > pieces.size() - first) {
            return std::nullopt;
        }
        for (std::size_t i = first; i < first + count; ++i) {
            out.append(pieces[i]);
        }
        out.append(part.literal);
    }
    return out;
}

} // namespace camphor::mesh
