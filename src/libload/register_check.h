// Linearizability check of resources under concurrent writers.
//
// A resource is a compare-and-set register: a write names the revision it replaces (If-Match) and
// returns a new one. Deciding whether a history is linearizable takes exponential time in general,
// since the order of the writes has to be searched. Here each write reports its revision, and
// revisions are unique and increasing, so the order of the writes is known and the check is
// polynomial:
//
// 1. Each operation is assigned a position. A write of revision r has position (r, write). A read
//    of r, or a rejection that reports r as current, has position (r, read), directly after that
//    write.
// 2. The history is linearizable if and only if
//    (a) each conditional write replaces its direct predecessor, no rejection reports its own
//        If-Match revision as current, and equal revisions have equal values; and
//    (b) no operation has a greater position than an operation that started after it had ended.
//        Operations with equal position are reads of the same value, so their order is irrelevant.
//
// Condition (b) is checked by one sweep in order of start time that keeps the greatest position
// among the operations that have ended: O(n log n). A write with unknown result has no end time. It
// is included only when the audit trail shows that it took effect, and is ignored otherwise.
#pragma once

#include "config_history.h"
#include "violation.h"

namespace camphor::load {

/// Checks the history of each resource. Rules: lost_update, baseless_rejection, revision_reused,
/// order_inverted, each with the resource as subject. `audit` may be empty; it adds the writes with
/// unknown result and the writes of operators that recorded no history.
violation_list check_linearizability(const std::vector<operation_record>& operations,
                                     const std::vector<audit_entry>& audit);

} // namespace camphor::load
