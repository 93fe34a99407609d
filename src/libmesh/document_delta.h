// Deltas between two versions of a document, so that a change of one route does not transfer the
// whole configuration to each node of an availability zone.
#pragma once

#include <mesh_types.h>

#include <optional>
#include <string>
#include <vector>

namespace camphor::mesh {

/// Returns the parts that produce `next` from `base`. A part copies a range of the pieces of `base`
/// and appends literal text. A piece ends with a closing bracket.
std::vector<mesh_wire::document_part> make_delta(const std::string& base, const std::string& next);

/// Returns the document that the parts produce from `base`; none when a part refers to pieces that
/// `base` does not have.
std::optional<std::string> apply_delta(const std::string& base,
                                       const std::vector<mesh_wire::document_part>& parts);

} // namespace camphor::mesh
