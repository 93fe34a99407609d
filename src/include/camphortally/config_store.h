// The node's applied configuration and its recent changes. Moves forward only, whole versions only.
#pragma once

#include <camphortally/snapshot.h>

#include <deque>
#include <vector>

namespace camphor {

struct step_context;

/// Result of offering a configuration to the store.
enum class apply_result : std::uint8_t {
    applied,
    /// Not newer than what is held; nothing changed.
    stale,
    /// Base or digest does not fit: fetch instead of guessing.
    mismatch,
    /// Some reference dangles; refused whole.
    not_closed,
};

/// Invariants: version() never decreases; every held snapshot passed check_closure; log_ holds the
/// changes (version() - log_.size(), version()] without a gap.
class config_store {
public:
    const snapshot_ptr& current() const { return current_; }

    /// Applies `changes` over `base`; leading changes already held are skipped.
    /// `expected_digest` 0 skips the digest check (changes read from the table itself).
    apply_result apply_changes(step_context& context, config_version base,
                               const std::vector<change>& changes, std::uint64_t expected_digest);

    /// Replaces everything with a newer full snapshot.
    apply_result apply_full(step_context& context, snapshot_ptr candidate);

    /// Changes after `base`, or empty when the log does not reach back that far.
    std::vector<change> changes_since(config_version base) const;
    bool can_serve_delta(config_version base) const;

private:
    void publish(step_context& context, snapshot_ptr next);

    snapshot_ptr current_ = std::make_shared<const snapshot>();
    std::deque<change> log_;
};

} // namespace camphor
