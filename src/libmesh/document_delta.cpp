// Deltas between two versions of a document.
#include "libmesh/document_delta.h"

#include <string_view>
#include <unordered_map>

namespace camphor::mesh {

namespace {

/// Splits the text after each closing bracket, so that each row of a table is one piece.
std::vector<std::string_view> split_pieces(std::string_view text)
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
    const auto base_pieces = split_pieces(base);
    std::unordered_map<std::string_view, std::int32_t> index_by_piece;
    for (std::size_t i = 0; i < base_pieces.size(); ++i) {
        index_by_piece.emplace(base_pieces[i], static_cast<std::int32_t>(i));
    }
    std::vector<mesh_wire::document_part> out(1);
    for (const auto piece : split_pieces(next)) {
        auto& last = out.back();
        const auto next_index =
            static_cast<std::size_t>(last.first) + static_cast<std::size_t>(last.count);
        if (last.literal.empty() && last.count > 0 && next_index < base_pieces.size() &&
            base_pieces[next_index] == piece) {
            ++last.count;
            continue;
        }
        const auto known = index_by_piece.find(piece);
        if (known == index_by_piece.end()) {
            last.literal.append(piece);
            continue;
        }
        mesh_wire::document_part part;
        part.first = known->second;
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
    const auto pieces = split_pieces(base);
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
