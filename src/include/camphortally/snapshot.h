// The applied configuration: immutable, whole, and closed under references.
#pragma once

#include <camphortally/resource.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

/// One accepted change: a resource put or deleted at `version`.
struct change {
    config_version version;
    resource_key key;
    /// Null for a deletion.
    resource_ptr item;
    operation_id operation;
    wall_time accepted_at{};
};

/// Share of a service's calls that goes to one release.
struct release_share {
    release_id release;
    permille share;
};

/// A configuration version. Readers hold a shared_ptr and see one version from start to end.
/// Invariants: `digest` is the sum over resources of a hash of each canonical text; no resource
/// refers to one that is missing (see check_closure).
class snapshot {
public:
    using resource_map = std::map<resource_key, resource_ptr>;

    /// The empty configuration, version 0.
    snapshot() = default;
    /// A full copy, as read from the object store or a peer.
    snapshot(config_version version, resource_map resources);

    config_version version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    const resource_map& resources() const { return resources_; }

    /// Null when there is none of that name.
    resource_ptr find(const resource_key& key) const;

    /// A copy with `changes` on top. Versions must follow this one without a gap.
    /// @throws state_mismatch on a gap
    snapshot with(const std::vector<change>& changes) const;

    /// The service's shares, summing to 1000. Empty when the service is unknown. A move in progress
    /// splits them; a completed move leaves all to its new release.
    std::vector<release_share> shares(const service_id& service) const;

    /// The move of `service` that is not final, if any.
    resource_ptr active_move(const service_id& service) const;

private:
    void index(const resource_ptr& item);

    config_version version_{0};
    std::uint64_t digest_ = 0;
    resource_map resources_;
    /// By service: the move that is not final. Derived from resources_.
    std::map<service_id, resource_ptr> active_moves_;
};
using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Dangling references, overlapping moves and duplicate routes of `view`; empty when closed.
std::vector<fault> check_closure(const snapshot& view);

} // namespace camphor
