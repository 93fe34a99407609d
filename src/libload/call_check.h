// Checks recorded calls against the executions that the backend servers recorded.
#pragma once

#include "call_record.h"
#include "violation.h"

namespace camphor::load {

/// Returns a violation for each broken rule:
/// - duplicate_execution: an idempotency key, or a request with an unsafe method and no key, was
///   executed twice;
/// - false_not_run: a request that was refused as "not run" was executed;
/// - crossed_answer: the request id or the body of a response belongs to another call;
/// - truncated_as_whole: a response shorter than expected was counted as ok;
/// - key_answered_twice: two ok responses to one key differ in their execution or body;
/// - answer_without_execution: an ok response to a keyed call names an execution that its backend
///   server did not record.
/// `executions` must be complete for every backend server that occurs in it.
violation_list check_calls(const std::vector<call_record>& calls,
                           const std::vector<execution_record>& executions);

} // namespace camphor::load
