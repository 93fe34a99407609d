// Tests each rule of the history checks: a history with one injected fault must yield exactly the
// expected rules, and a clean history none.
#define BOOST_TEST_MODULE history_check
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "call_check.h"
#include "config_check.h"
#include "register_check.h"

#include <sstream>

namespace data = boost::unit_test::data;

namespace camphor::load {

namespace {

/// Names of the broken rules in the order reported, separated by spaces.
std::string rules_of(const violation_list& violations)
{
    std::string out;
    for (const auto& violation : violations) {
        out += (out.empty() ? "" : " ") + violation.rule;
    }
    return out;
}

template <class Record>
std::vector<Record> read(const std::string& text, std::vector<Record> (*reader)(std::istream&))
{
    std::istringstream in(text);
    return reader(in);
}

// Clean history: keyed calls a and b, of which b was resent after a failed attempt; call c without
// a key; call d, refused as not run.
const std::string calls_text =
    R"({"call":"a","request_id":"a","key":"ka","result":"ok","answer_request_id":"a",)"
    R"("body":"whole","expected_bytes":9,"body_bytes":9,"backend":"b1","run":"1"}
{"call":"b","request_id":"b","key":"kb","result":"failed"}
{"call":"b","request_id":"b-2","attempt":2,"key":"kb","result":"ok","answer_request_id":"b",)"
    R"("backend":"b1","run":"2"}
{"call":"c","request_id":"c","result":"ok","answer_request_id":"c","backend":"b2","run":"1"}
{"call":"d","request_id":"d","key":"kd","result":"refused_not_run"}
)";
const std::string executions_text =
    R"({"request_id":"a","idempotency_key":"ka","method":"POST","backend":"b1","run":"1"}
{"request_id":"b","idempotency_key":"kb","method":"POST","backend":"b1","run":"2"}
{"request_id":"b","idempotency_key":"kb","method":"POST","backend":"b1","run":"2","outcome":"ok"}
{"request_id":"c","method":"GET","backend":"b1","run":"3"}
{"request_id":"c","method":"GET","backend":"b2","run":"1"}
)";

struct call_case {
    std::string name;
    std::string calls;
    std::string executions;
    std::string rules;
};

const std::vector<call_case> call_cases{
    {"clean", "", "", ""},
    {"key executed twice", "",
     R"({"request_id":"b-2","idempotency_key":"kb","method":"POST","backend":"b2","run":"2"})",
     "duplicate_execution"},
    {"unsafe request without a key executed twice", "",
     R"({"request_id":"e","method":"POST","backend":"b2","run":"2"}
{"request_id":"e","method":"POST","backend":"b1","run":"4"})",
     "duplicate_execution"},
    {"call refused as not run was executed", "",
     R"({"request_id":"d","idempotency_key":"kd","method":"POST","backend":"b2","run":"2"})",
     "false_not_run"},
    {"response id of another call",
     R"({"call":"f","request_id":"f","result":"ok","answer_request_id":"a"})", "",
     "crossed_answer"},
    {"response id of an unknown request",
     R"({"call":"f","request_id":"f","result":"failed","answer_request_id":"x"})", "",
     "crossed_answer"},
    {"body of another call",
     R"({"call":"f","request_id":"f","result":"failed","answer_request_id":"f","body":"crossed"})",
     "", "crossed_answer"},
    {"truncated response counted as ok",
     R"({"call":"f","request_id":"f","result":"ok","expected_bytes":9,"body_bytes":8})", "",
     "truncated_as_whole"},
    {"key answered by two executions",
     R"({"call":"a","request_id":"a-2","key":"ka","result":"ok","backend":"b2","run":"1"})", "",
     "key_answered_twice"},
    {"key answered with two bodies",
     R"({"call":"a","request_id":"a-2","key":"ka","result":"ok","backend":"b1","run":"1",)"
     R"("body_hash":5})",
     "", "key_answered_twice"},
    {"response of an unrecorded execution",
     R"({"call":"f","request_id":"f","key":"kf","result":"ok","backend":"b1","run":"9"})", "",
     "answer_without_execution"},
};

// Clean node logs: n1 restarted once; n2 started to drain one second after the last change, which
// is within the convergence limit.
const std::string log_text =
    R"({"event":"node.started","node":"n1","time":"2026-01-01T00:00:00.000Z"}
not JSON
{"event":"config.applied","node":"n1","config_version":2,"time":"2026-01-01T00:00:02.000Z"}
{"event":"node.started","node":"n1","time":"2026-01-01T00:00:30.000Z"}
{"event":"config.applied","node":"n1","config_version":1,"time":"2026-01-01T00:00:31.000Z"}
{"event":"config.applied","node":"n1","config_version":4,"time":"2026-01-01T00:01:00.500Z"}
{"event":"node.started","node":"n2","time":"2026-01-01T00:00:00.000Z"}
{"event":"config.applied","node":"n2","config_version":3,"time":"2026-01-01T00:00:20.000Z"}
{"event":"node.draining","node":"n2","time":"2026-01-01T00:01:01.000Z"}
)";
const std::string audit_text =
    R"([{"version":1,"at":"2026-01-01T00:00:01.000Z","operation":"o1","kind":"service","name":"s"},
{"version":2,"at":"2026-01-01T00:00:01.500Z","operation":"o2","kind":"service","name":"s"},
{"version":3,"at":"2026-01-01T00:00:10.000Z","operation":"o3","kind":"move","name":"m",
 "after":{"status":{"phase":"progressing"}}},
{"version":4,"at":"2026-01-01T00:01:00.000Z","operation":"o4","kind":"move","name":"m",
 "before":{"status":{"phase":"progressing"}},"after":{"status":{"phase":"completed"}}}])";

struct config_case {
    std::string name;
    /// The first occurrence of old_log in the node logs is replaced by new_log; likewise for the
    /// audit trail. Nothing is replaced when the old text is empty.
    std::string old_log;
    std::string new_log;
    std::string old_audit;
    std::string new_audit;
    std::string rules;
};

const std::vector<config_case> config_cases{
    {"clean", "", "", "", "", ""},
    {"node applied an older version", "\"config_version\":4", "\"config_version\":1", "", "",
     "version_fell not_in_force"},
    {"node lacks the last change", "\"config_version\":4", "\"config_version\":3", "", "",
     "not_in_force"},
    {"node lacks a change accepted long before its shutdown", "\"config_version\":3",
     "\"config_version\":2", "", "", "not_in_force"},
    {"node holds a version that was never accepted", "\"config_version\":4", "\"config_version\":5",
     "", "", "never_accepted"},
    {"gap and duplicate in the audit trail", "", "", "\"version\":2", "\"version\":1",
     "audit_duplicate audit_gap"},
    {"move with two outcomes", "", "", "\"progressing\"}}},", "\"reverted\"}}},", "second_outcome"},
};

std::string replace_text(std::string text, const std::string& old_part, const std::string& new_part)
{
    if (!old_part.empty()) {
        text.replace(text.find(old_part), old_part.size(), new_part);
    }
    return text;
}

struct operations_case {
    std::string name;
    std::string operations;
    std::string rules;
};

const std::vector<operations_case> acknowledgement_cases{
    {"clean",
     R"({"operation":"o1","action":"put","kind":"service","name":"s","result":"accepted",)"
     R"("revision":1,"started_ms":0,"ended_ms":1})",
     ""},
    {"accepted change is missing from the audit trail",
     R"({"operation":"o9","action":"put","kind":"service","name":"s","result":"accepted",)"
     R"("revision":9,"started_ms":0,"ended_ms":1})",
     "lost_change"},
    {"version belongs to another resource",
     R"({"operation":"o9","action":"put","kind":"service","name":"t","result":"accepted",)"
     R"("revision":1,"started_ms":0,"ended_ms":1})",
     "lost_change"},
    {"reported as not run, but in the audit trail",
     R"({"operation":"o2","action":"put","kind":"service","name":"s","result":"not_run",)"
     R"("started_ms":0,"ended_ms":1})",
     "false_not_run_change"},
};

/// Reads operations, one a line, in the form
/// `action if_match result revision started_ms ended_ms value operation_id`; `-` is no if_match.
std::vector<operation_record> parse_operations(const std::string& text)
{
    std::ostringstream lines;
    std::istringstream in(text);
    std::string action;
    std::string if_match;
    std::string result;
    std::string value;
    std::string operation_id;
    int revision = 0;
    int started_ms = 0;
    int ended_ms = 0;
    while (in >> action >> if_match >> result >> revision >> started_ms >> ended_ms >> value >>
           operation_id) {
        lines << R"({"kind":"service","name":"s","action":")" << action << R"(","if_match":)"
              << (if_match == "-" ? "null" : if_match) << R"(,"result":")" << result
              << R"(","revision":)" << revision << R"(,"started_ms":)" << started_ms
              << R"(,"ended_ms":)" << ended_ms << R"(,"value":")" << value << R"(","operation":")"
              << operation_id << "\"}\n";
    }
    return read(lines.str(), read_operations);
}

const std::string concurrent_writes = "put 0 accepted 1 0 10 a o1\n"
                                      "put 0 rejected 1 2 12 b o2\n"
                                      "put 1 accepted 2 13 20 b o3\n"
                                      "read - accepted 2 15 30 b x\n"
                                      "read - accepted 2 16 31 b x\n";

const std::vector<operations_case> linearizability_cases{
    {"clean concurrent writes", concurrent_writes, ""},
    {"unknown write that took effect later", concurrent_writes + "put 2 unknown 0 3 4 c o5\n", ""},
    {"overlapping reads in either order",
     "put 0 accepted 1 0 10 a o1\nput 1 accepted 2 11 30 b o3\nread - accepted 2 12 20 b x\n"
     "read - accepted 2 21 29 b x\n",
     ""},
    {"two writes replace the same revision", concurrent_writes + "put 0 accepted 5 1 30 e o5\n",
     "lost_update"},
    {"new revision is lower than the replaced one", "put 3 accepted 1 0 10 a o1\n", "lost_update"},
    {"rejection although If-Match was current", concurrent_writes + "put 2 rejected 2 21 22 c o6\n",
     "baseless_rejection"},
    {"stale read", concurrent_writes + "read - accepted 1 21 22 a x\n", "order_inverted"},
    {"read ended before its write started",
     "read - accepted 1 0 1 a x\nput 0 accepted 1 2 3 a o1\n", "order_inverted"},
    {"rejection reports an outdated revision", concurrent_writes + "put 0 rejected 1 25 26 c o6\n",
     "order_inverted"},
    {"one revision with two values", concurrent_writes + "read - accepted 2 15 30 c x\n",
     "revision_reused"},
    {"revisions contradict real-time order",
     "put - accepted 2 0 1 a o3\nput - accepted 1 2 3 b o1\n", "order_inverted"},
};

std::ostream& operator<<(std::ostream& out, const call_case& sample)
{
    return out << sample.name;
}
std::ostream& operator<<(std::ostream& out, const config_case& sample)
{
    return out << sample.name;
}
std::ostream& operator<<(std::ostream& out, const operations_case& sample)
{
    return out << sample.name;
}

} // namespace

BOOST_DATA_TEST_CASE(detects_call_violations, data::make(call_cases), sample)
{
    const auto violations =
        check_calls(read(calls_text + sample.calls + "\n", read_calls),
                    read(executions_text + sample.executions + "\n", read_executions));
    BOOST_TEST(rules_of(violations) == sample.rules);
}

BOOST_DATA_TEST_CASE(detects_config_violations, data::make(config_cases), sample)
{
    const auto lifetimes =
        read(replace_text(log_text, sample.old_log, sample.new_log), read_node_log);
    const auto audit =
        read(replace_text(audit_text, sample.old_audit, sample.new_audit), read_audit);
    BOOST_TEST_REQUIRE(lifetimes.size() == 3U);
    auto violations = check_monotonic(lifetimes);
    for (const auto& additional : {check_audit_versions(audit), check_move_outcomes(audit),
                                   check_in_force(lifetimes, audit, in_force_criteria{})}) {
        violations.insert(violations.end(), additional.begin(), additional.end());
    }
    BOOST_TEST(rules_of(violations) == sample.rules);
}

BOOST_AUTO_TEST_CASE(reports_live_node_without_log)
{
    in_force_criteria criteria;
    criteria.live_nodes = {"n1", "n3"};
    const auto violations =
        check_in_force(read(log_text, read_node_log), read(audit_text, read_audit), criteria);
    BOOST_TEST(rules_of(violations) == "node_without_log");
}

BOOST_AUTO_TEST_CASE(convergence_counts_only_lifetimes_running_at_acceptance)
{
    const auto times =
        convergence_times(read(log_text, read_node_log), read(audit_text, read_audit));
    // First lifetime of n1: versions 1 and 2; second lifetime: version 4; n2: versions 1, 2 and 3.
    const std::vector<double> expected{1'000, 500, 500, 19'000, 18'500, 10'000};
    BOOST_TEST(times == expected, boost::test_tools::per_element());
}

BOOST_DATA_TEST_CASE(detects_contradicted_acknowledgements, data::make(acknowledgement_cases),
                     sample)
{
    const auto violations = check_acknowledgements(read(sample.operations + "\n", read_operations),
                                                   read(audit_text, read_audit));
    BOOST_TEST(rules_of(violations) == sample.rules);
}

BOOST_DATA_TEST_CASE(detects_linearizability_violations, data::make(linearizability_cases), sample)
{
    BOOST_TEST(rules_of(check_linearizability(parse_operations(sample.operations), {})) ==
               sample.rules);
}

BOOST_AUTO_TEST_CASE(audit_trail_orders_writes_with_unknown_result)
{
    const auto audit = read(R"([{"version":1,"operation":"o1","kind":"service","name":"s"},
{"version":4,"operation":"o5","kind":"service","name":"s"}])",
                            read_audit);
    const std::string unknown_result_history =
        "put 0 accepted 1 0 10 a o1\nput 1 unknown 0 11 12 c o5\n";
    BOOST_TEST(
        rules_of(check_linearizability(parse_operations(unknown_result_history), audit)).empty());
    const auto conflicting_history =
        parse_operations(unknown_result_history + "put 1 accepted 6 13 14 d o6\n");
    BOOST_TEST(rules_of(check_linearizability(conflicting_history, {})).empty());
    auto audit_with_version_6 = audit;
    audit_with_version_6.push_back({6, 0, "o6", "service", "s", false, "", ""});
    BOOST_TEST(rules_of(check_linearizability(conflicting_history, audit_with_version_6)) ==
               "lost_update");
}

} // namespace camphor::load
