// Differences of two documents, so that a change of one route does not move the whole configuration
// to each node of a zone.
#pragma once

#include <mesh_types.h>

#include <optional>
#include <string>
#include <vector>

namespace camphor::mesh {

/// Parts that make `next` out of `base`. Documents are compared in pieces that end at a bracket.
std::vector<mesh_wire::document_part> make_delta(const std::string& base, const std::string& next);

/// The document that the parts give; none when they do not fit `base`.
std::optional<std::string> apply_delta(const std::string& base,
                                       const std::vector<mesh_wire::document_part>& parts);

} // namespace camphor::mesh
