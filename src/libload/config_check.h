// Checks that accepted configuration changes reached the nodes, that the audit trail is consistent
// and that each move had a single outcome.
#pragma once

#include "config_history.h"
#include "violation.h"

#include <set>
#include <string>
#include <vector>

namespace camphor::load {

/// Within each node lifetime the applied versions strictly increase. Rule: version_fell.
violation_list check_monotonic(const std::vector<node_lifetime>& lifetimes);

/// Which nodes must hold which changes at the end of the recorded histories.
struct in_force_criteria {
    /// Nodes that are running at the end; when empty, every node in the logs is checked.
    std::set<std::string> live_nodes;
    /// A node that shut down must hold every change accepted at least this many milliseconds before
    /// its shutdown.
    double convergence_limit_ms = 10'000;
};

/// The last lifetime of each checked node holds the newest required version, and no node holds a
/// version newer than the audit trail. Rules: not_in_force, never_accepted, node_without_log.
violation_list check_in_force(const std::vector<node_lifetime>& lifetimes,
                              const std::vector<audit_entry>& audit,
                              const in_force_criteria& criteria);

/// The versions of the audit trail have no gap and no duplicate. Rules: audit_gap, audit_duplicate.
violation_list check_audit_versions(const std::vector<audit_entry>& audit);

/// A move that reached the phase completed, reverted or refused keeps it until it is deleted.
/// Rule: second_outcome.
violation_list check_move_outcomes(const std::vector<audit_entry>& audit);

/// The results reported to operators agree with the audit trail. Rules: lost_change (accepted, but
/// not in the trail), false_not_run_change (reported as "not run", but in the trail).
violation_list check_acknowledgements(const std::vector<operation_record>& operations,
                                      const std::vector<audit_entry>& audit);

/// Milliseconds from the acceptance of a change to its application on a node: one value for each
/// pair of a change and a node lifetime that had started before the change was accepted and later
/// applied that version or a newer one.
std::vector<double> convergence_times(const std::vector<node_lifetime>& lifetimes,
                                      const std::vector<audit_entry>& audit);

} // namespace camphor::load
