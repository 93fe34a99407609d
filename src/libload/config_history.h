// Records of configuration changes from node logs, the audit trail and operator histories.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace camphor::load {

/// One process lifetime of a node: its log from one "node.started" line up to the next one or to
/// the end of the log.
struct node_lifetime {
    std::string node;
    /// Configuration versions of the "config.applied" lines, in log order.
    std::vector<std::int64_t> applied_versions;
    /// Time of each entry of `applied_versions`, milliseconds since the Unix epoch.
    std::vector<double> applied_ms;
    /// Milliseconds since the Unix epoch.
    double started_ms = 0;
    /// Time of the first "node.draining" or "node.stopped" line; empty when the log has neither.
    std::optional<double> shutdown_ms;
};

/// One record of the audit trail: an accepted change.
struct audit_entry {
    std::int64_t version = 0;
    /// Time of acceptance, milliseconds since the Unix epoch.
    double accepted_ms = 0;
    std::string operation_id;
    std::string kind;
    std::string name;
    bool deleted = false;
    /// Status phase before and after the change; empty when the resource did not exist or has none.
    std::string phase_before;
    std::string phase_after;
};

/// The request of an operator for one resource.
enum class operation_action : std::uint8_t {
    put,
    erase,
    /// A linearizable read; reads from the snapshot of a node may be stale and do not count.
    read,
};

/// The result that was reported to the operator.
enum class operation_result : std::uint8_t {
    accepted,
    /// Status 409 or 412 with the current revision.
    rejected,
    /// Status 503 with the statement that the change was not run.
    not_run,
    unknown,
};

/// One line of an operator history:
/// `{"operation","action":"put|delete|read","kind","name","if_match":N,"value",
/// "result":"accepted|rejected|not_run|unknown","revision":N,"started_ms","ended_ms"}`.
struct operation_record {
    std::string operation_id;
    operation_action action{};
    std::string kind;
    std::string name;
    std::optional<std::int64_t> if_match;
    /// The spec written or read, in any encoding that is equal for equal specs; may be empty.
    std::string value;
    operation_result result{};
    /// For accepted, the revision written or read; for rejected, the reported current revision.
    std::int64_t revision = 0;
    double started_ms = 0;
    double ended_ms = 0;
};

/// Reads the log of one node from JSON lines. Lines that are not JSON objects are skipped, since
/// other output may be interleaved with the log.
std::vector<node_lifetime> read_node_log(std::istream& in);
/// Reads audit records from JSON lines or from one JSON array and sorts them by version.
/// @throws invalid_input when the input is not valid JSON or a line lacks its version
/// @throws nlohmann::json::exception when an array element lacks its version
std::vector<audit_entry> read_audit(std::istream& in);
/// Reads operator histories from JSON lines.
/// @throws invalid_input with the line number and the reason
std::vector<operation_record> read_operations(std::istream& in);

} // namespace camphor::load
