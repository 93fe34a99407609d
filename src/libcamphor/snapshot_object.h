// The form in which a compacted snapshot stands in the object store.
#pragma once

#include <camphortally/snapshot.h>

#include <string>

namespace camphor {

/// Row that names the version of the newest compacted snapshot, in decimal.
inline const std::string snapshot_head_key = "snapshot-head";

/// Name of the object that holds `version`.
std::string snapshot_object_name(config_version version);

std::string to_object(const snapshot& item);
/// @throws invalid_input when the text is not a snapshot
/// @throws state_mismatch when its digest does not fit
snapshot_ptr parse_object(const std::string& text);

} // namespace camphor
