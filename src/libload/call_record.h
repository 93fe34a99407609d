// Records of call attempts, written by the load generator, and of executions, written by the
// backend servers. Both are stored as JSON lines, so that a load run can be checked afterwards.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphor::load {

/// How a call ended for its caller.
enum class call_result : std::uint8_t {
    /// Status below 400 with the complete response to this call.
    ok,
    /// Refused with Camphor-Not-Run: true.
    refused_not_run,
    /// Refused with a 4xx status or 503 that does not tell whether the call was executed.
    refused,
    /// Another 5xx status, a connection error, or a body that is truncated or belongs to another
    /// call.
    failed,
    timed_out,
};
inline constexpr std::size_t call_result_count = 5;

/// Result of comparing the body of a response with the expected one.
enum class body_status : std::uint8_t {
    /// The call kind defines no expected body.
    unchecked,
    whole,
    truncated,
    /// The response carries the request id or the bytes of another call.
    crossed,
};

/// One attempt of a call. Each resend has its own record with the same `call_id` and `key`.
struct call_record {
    /// Unique among the calls of a load run; JSON field "call".
    std::string call_id;
    /// X-Request-Id of this attempt; unique among the attempts of all calls.
    std::string request_id;
    /// 1 for the first attempt.
    std::int32_t attempt = 1;
    /// Name of the call kind in the scenario.
    std::string kind;
    /// Idempotency-Key header; empty for a call without a key.
    std::string key;
    /// host:port of the node that the attempt was sent to.
    std::string target;
    /// Times in milliseconds since the Unix epoch. Latency is measured from the scheduled send time
    /// `intended_ms`, so that it includes the wait for a connection.
    double intended_ms = 0;
    double sent_ms = 0;
    double ended_ms = 0;
    call_result result = call_result::failed;
    /// HTTP status; 0 when no response head was received.
    std::int32_t status = 0;
    /// Why the attempt is not ok: failed stage, timeout, status or body status; empty when it is
    /// ok.
    std::string error;
    /// X-Request-Id of the response.
    std::string answer_request_id;
    body_status body = body_status::unchecked;
    std::int64_t expected_bytes = 0;
    std::int64_t body_bytes = 0;
    /// Hash of the response body, for comparing two responses to one key.
    std::uint64_t body_hash = 0;
    /// From the response headers Backend-Name, Backend-Release and Backend-Run (JSON field "run").
    std::string backend;
    std::string release;
    std::string run_id;
};

/// One execution of a request on a backend server, read from lines
/// `{"backend","run","request_id","idempotency_key","method","started_ms"}`.
struct execution_record {
    std::string backend;
    /// Unique among the executions of the backend server; JSON field "run".
    std::string run_id;
    std::string request_id;
    std::string key;
    std::string method;
    double started_ms = 0;
};

std::string to_string(call_result result);
std::string to_string(body_status status);

/// One JSON line, without the line break.
std::string to_json_line(const call_record& record);

/// Reads call records from JSON lines. An incomplete last line, as a killed process leaves it, is
/// skipped.
/// @throws invalid_input with the line number and the reason
std::vector<call_record> read_calls(std::istream& in);
/// Reads execution records from JSON lines. An execution may have one line for its start and one
/// for its end; they yield one record. An incomplete last line is skipped.
/// @throws invalid_input with the line number and the reason
std::vector<execution_record> read_executions(std::istream& in);

/// Body of `size` bytes that repeats the characters of `id`; filled with `-` when `id` is empty.
/// Backend servers fill response bodies like this with the request id.
std::string pattern_body(const std::string& id, std::size_t size);

/// Compares a received body with the response body of `expected_bytes` bytes for `request_id`.
body_status check_body(const std::string& request_id, const std::string& body,
                       std::size_t expected_bytes);

} // namespace camphor::load
