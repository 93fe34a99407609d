// Merging of the operators' rows, and their deltas.
#include "libmesh/operator_table.h"

#include "libmesh/document_delta.h"

#include <camphortally/balancer.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace camphor::mesh {

namespace {

/// Documents with fewer bytes than this are sent whole.
constexpr std::size_t min_delta_document_bytes = 2'048;

/// Returns `row` as a delta against `base`, or unchanged when the base document is short or the
/// row was removed.
mesh_wire::operator_row make_row_delta(const mesh_wire::operator_row& base,
                                       const mesh_wire::operator_row& row)
{
    if (base.document.size() < min_delta_document_bytes || row.removed) {
        return row;
    }
    mesh_wire::operator_row delta;
    delta.__set_key(row.key);
    delta.__set_row_version(row.row_version);
    delta.__set_config_version(row.config_version);
    delta.__set_base_version(base.row_version);
    delta.__set_parts(make_delta(base.document, row.document));
    delta.__set_digest(static_cast<std::int64_t>(stable_hash(row.document)));
    return delta;
}

/// Returns the row with its whole document, or none when it is a delta against another version
/// than `base` or does not match its digest.
std::optional<mesh_wire::operator_row> resolve_row(const mesh_wire::operator_row& base,
                                                   const mesh_wire::operator_row& row)
{
    if (row.base_version == 0) {
        return row;
    }
    if (row.base_version != base.row_version) {
        return std::nullopt;
    }
    auto document = apply_delta(base.document, row.parts);
    if (!document || static_cast<std::int64_t>(stable_hash(*document)) != row.digest) {
        return std::nullopt;
    }
    mesh_wire::operator_row whole;
    whole.__set_key(row.key);
    whole.__set_row_version(row.row_version);
    whole.__set_config_version(row.config_version);
    whole.__set_document(*document);
    return whole;
}

} // namespace

std::size_t document_bytes(const std::vector<mesh_wire::operator_row>& rows)
{
    std::size_t total = 0;
    for (const auto& row : rows) {
        total += row.document.size();
        for (const auto& part : row.parts) {
            total += part.literal.size();
        }
    }
    return total;
}

bool operator_table::is_newer(const mesh_wire::operator_row& candidate,
                              const mesh_wire::operator_row& known)
{
    if (known.config_version > 0 && candidate.removed) {
        return false;
    }
    if (known.config_version > 0 && candidate.config_version > 0 &&
        known.config_version != candidate.config_version) {
        return candidate.config_version > known.config_version;
    }
    return candidate.row_version > known.row_version;
}

void operator_table::note_dropped(const mesh_wire::operator_row& known,
                                  const mesh_wire::operator_row& row, changes& out)
{
    if (row.base_version == 0 && row.document != known.document) {
        out.dropped.push_back({row.key, row.row_version, known.row_version});
    }
}

operator_table::changes operator_table::read(const rows_read& input,
                                             std::vector<mesh_wire::operator_row>& removed)
{
    changes out;
    const auto position = store_position::from_packed(input.read_up_to);
    if (input.whole_table && position >= read_up_to_) {
        removed = remove_missing(input);
        out.rows = removed;
        out.deltas = removed;
    }
    for (const auto& row : input.rows) {
        auto& known = rows_[row.key];
        if (!is_newer(row, known)) {
            note_dropped(known, row, out);
            continue;
        }
        out.deltas.push_back(make_row_delta(known, row));
        out.rows.push_back(row);
        known = row;
    }
    read_up_to_ = std::max(read_up_to_, position);
    return out;
}

std::vector<mesh_wire::operator_row> operator_table::remove_missing(const rows_read& input)
{
    std::set<std::string> present;
    for (const auto& row : input.rows) {
        present.insert(row.key);
    }
    std::vector<mesh_wire::operator_row> out;
    for (auto& [key, row] : rows_) {
        if (row.row_version == 0 || row.removed || row.config_version > 0 ||
            present.contains(key)) {
            continue;
        }
        mesh_wire::operator_row tombstone;
        tombstone.__set_key(key);
        tombstone.__set_row_version(input.read_up_to);
        tombstone.__set_removed(true);
        row = tombstone;
        out.push_back(std::move(tombstone));
    }
    return out;
}

operator_table::changes operator_table::receive(const mesh_wire::rows_push& frame)
{
    changes out;
    for (const auto& row : frame.rows) {
        auto& known = rows_[row.key];
        if (!is_newer(row, known)) {
            note_dropped(known, row, out);
            continue;
        }
        // The node pulls the whole row when it cannot apply the delta.
        if (const auto whole = resolve_row(known, row)) {
            known = *whole;
            out.rows.push_back(*whole);
        }
    }
    read_up_to_ = std::max(read_up_to_, store_position::from_packed(frame.read_up_to));
    return out;
}

std::vector<mesh_wire::operator_row> operator_table::all() const
{
    std::vector<mesh_wire::operator_row> out;
    for (const auto& [key, row] : rows_) {
        if (row.row_version > 0) {
            out.push_back(row);
        }
    }
    return out;
}

} // namespace camphor::mesh
