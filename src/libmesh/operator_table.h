// The operators' rows that a node knows, as read from the store or received from other nodes, and
// which of two copies of a row is the newer one.
#pragma once

#include "libmesh/messages.h"
#include "libmesh/store_position.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphor::mesh {

/// Rows by key. Invariants: a row is replaced by a newer one only, also when the store comes back
/// from a copy: configurations are ordered by their own number, other rows by the position of their
/// write. A configuration is never removed.
class operator_table {
public:
    /// A row that was not taken over, though its text differs from that of the known row.
    struct dropped_row {
        std::string key;
        std::int64_t row_version = 0;
        std::int64_t known_version = 0;
    };
    struct changes {
        /// Changed rows with their whole documents.
        std::vector<mesh_wire::operator_row> rows;
        /// The same rows, as deltas where these are shorter.
        std::vector<mesh_wire::operator_row> deltas;
        std::vector<dropped_row> dropped;
    };

    /// Takes over what was read from the store. A known row that a read of the whole table lacks
    /// has been removed; `removed` gets those rows.
    changes read(const rows_read& input, std::vector<mesh_wire::operator_row>& removed);
    /// Takes over rows from another node. A delta against a row that is not known is left out.
    changes receive(const mesh_wire::rows_push& frame);
    /// All known rows, for a node that may know none.
    std::vector<mesh_wire::operator_row> all() const;
    /// Newest position that this node or one that sent rows to it has read.
    store_position read_up_to() const { return read_up_to_; }

private:
    static bool is_newer(const mesh_wire::operator_row& candidate,
                         const mesh_wire::operator_row& known);
    static void note_dropped(const mesh_wire::operator_row& known,
                             const mesh_wire::operator_row& row, changes& out);
    std::vector<mesh_wire::operator_row> remove_missing(const rows_read& input);

    std::map<std::string, mesh_wire::operator_row> rows_;
    store_position read_up_to_;
};

/// Total size of the documents or deltas in bytes.
std::size_t document_bytes(const std::vector<mesh_wire::operator_row>& rows);

} // namespace camphor::mesh
