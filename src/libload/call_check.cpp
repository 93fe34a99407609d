// Rules that compare recorded calls with executions.
#include "call_check.h"

#include <map>
#include <set>

namespace camphor::load {

namespace {

bool is_safe(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::string describe(const execution_record& execution)
{
    return execution.request_id + " on " + execution.backend + " (run " + execution.run_id + ")";
}

void check_duplicates(const std::vector<execution_record>& executions, violation_list& violations)
{
    std::map<std::string, const execution_record*> first_by_key;
    for (const auto& execution : executions) {
        if (execution.key.empty() && is_safe(execution.method)) {
            continue;
        }
        const auto subject = execution.key.empty() ? execution.request_id : execution.key;
        const auto [first, is_first] = first_by_key.emplace(subject, &execution);
        if (!is_first) {
            violations.push_back({"duplicate_execution", subject,
                                  describe(*first->second) + " and " + describe(execution)});
        }
    }
}

void check_refusals(const std::vector<call_record>& calls,
                    const std::vector<execution_record>& executions, violation_list& violations)
{
    std::map<std::string, const execution_record*> execution_by_request;
    for (const auto& execution : executions) {
        execution_by_request.emplace(execution.request_id, &execution);
    }
    for (const auto& call : calls) {
        const auto found = execution_by_request.find(call.request_id);
        if (call.result == call_result::refused_not_run && found != execution_by_request.end()) {
            violations.push_back(
                {"false_not_run", call.request_id, "was executed as " + describe(*found->second)});
        }
    }
}

/// The idempotency key, since attempts with one key may share a response; the request id of a call
/// without a key.
std::string idempotency_scope(const call_record& call)
{
    return call.key.empty() ? call.request_id : call.key;
}

void check_crossed_answers(const std::vector<call_record>& calls, violation_list& violations)
{
    std::map<std::string, std::string> scope_by_request;
    for (const auto& call : calls) {
        scope_by_request.emplace(call.request_id, idempotency_scope(call));
    }
    for (const auto& call : calls) {
        const auto answered_scope = scope_by_request.find(call.answer_request_id);
        const bool is_foreign =
            !call.answer_request_id.empty() && (answered_scope == scope_by_request.end() ||
                                                answered_scope->second != idempotency_scope(call));
        if (is_foreign || call.body == body_status::crossed) {
            violations.push_back({"crossed_answer", call.request_id,
                                  "response carries request id " + call.answer_request_id});
        }
    }
}

void check_truncated_answers(const std::vector<call_record>& calls, violation_list& violations)
{
    for (const auto& call : calls) {
        if (call.result == call_result::ok && call.body_bytes < call.expected_bytes) {
            violations.push_back({"truncated_as_whole", call.request_id,
                                  std::to_string(call.body_bytes) + " of " +
                                      std::to_string(call.expected_bytes) + " bytes"});
        }
    }
}

/// False only when both responses name an execution and the two differ. A replayed response may
/// name none.
bool may_be_same_execution(const call_record& left, const call_record& right)
{
    return left.run_id.empty() || right.run_id.empty() ||
           (left.backend == right.backend && left.run_id == right.run_id);
}

void check_key_answers(const std::vector<call_record>& calls, violation_list& violations)
{
    std::map<std::string, const call_record*> first_by_key;
    for (const auto& call : calls) {
        if (call.key.empty() || call.result != call_result::ok) {
            continue;
        }
        const auto& first = *first_by_key.emplace(call.key, &call).first->second;
        if (!may_be_same_execution(first, call) || first.body_hash != call.body_hash) {
            violations.push_back(
                {"key_answered_twice", call.key,
                 first.request_id + " and " + call.request_id + " got different responses"});
        }
    }
}

void check_answer_executions(const std::vector<call_record>& calls,
                             const std::vector<execution_record>& executions,
                             violation_list& violations)
{
    std::set<std::string> backends;
    std::set<std::pair<std::string, std::string>> executed;
    for (const auto& execution : executions) {
        backends.insert(execution.backend);
        executed.emplace(execution.backend, execution.run_id);
    }
    for (const auto& call : calls) {
        if (call.result == call_result::ok && !call.key.empty() &&
            backends.contains(call.backend) && !executed.contains({call.backend, call.run_id})) {
            violations.push_back(
                {"answer_without_execution", call.request_id,
                 "execution " + call.run_id + " on " + call.backend + " is not recorded"});
        }
    }
}

} // namespace

violation_list check_calls(const std::vector<call_record>& calls,
                           const std::vector<execution_record>& executions)
{
    violation_list violations;
    check_duplicates(executions, violations);
    check_refusals(calls, executions, violations);
    check_crossed_answers(calls, violations);
    check_truncated_answers(calls, violations);
    check_key_answers(calls, violations);
    check_answer_executions(calls, executions, violations);
    return violations;
}

} // namespace camphor::load
