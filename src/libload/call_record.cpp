// Conversion of call and execution records to and from JSON lines.
#include "call_record.h"

#include "json_lines.h"

#include <camphortally/error.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace camphor::load {

namespace {

using nlohmann::json;

constexpr std::array<const char*, call_result_count> result_names{"ok", "refused_not_run",
                                                                  "refused", "failed", "timed_out"};
constexpr std::array body_names{"unchecked", "whole", "truncated", "crossed"};

template <class Enum, class Names>
Enum parse_name(const Names& names, const std::string& text)
{
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        throw invalid_input("", "unknown enum value \"" + text + "\"");
    }
    return static_cast<Enum>(found - names.begin());
}

call_record parse_call(const json& document)
{
    call_record out;
    out.call_id = document.at("call");
    out.request_id = document.at("request_id");
    out.attempt = document.value("attempt", 1);
    out.kind = document.value("kind", "");
    out.key = document.value("key", "");
    out.target = document.value("target", "");
    out.intended_ms = document.value("intended_ms", 0.0);
    out.sent_ms = document.value("sent_ms", 0.0);
    out.ended_ms = document.value("ended_ms", 0.0);
    out.result = parse_name<call_result>(result_names, document.at("result"));
    out.status = document.value("status", 0);
    out.error = document.value("error", "");
    out.answer_request_id = document.value("answer_request_id", "");
    out.body = parse_name<body_status>(body_names, document.value("body", "unchecked"));
    out.expected_bytes = document.value("expected_bytes", std::int64_t{0});
    out.body_bytes = document.value("body_bytes", std::int64_t{0});
    out.body_hash = document.value("body_hash", std::uint64_t{0});
    out.backend = document.value("backend", "");
    out.release = document.value("release", "");
    out.run_id = document.value("run", "");
    return out;
}

execution_record parse_execution(const json& document)
{
    execution_record out;
    out.backend = document.value("backend", "");
    out.run_id = document.value("run", "");
    out.request_id = document.at("request_id");
    out.key = document.value("idempotency_key", "");
    out.method = document.value("method", "");
    out.started_ms = document.value("started_ms", 0.0);
    return out;
}

} // namespace

std::string to_string(call_result result)
{
    return result_names.at(static_cast<std::size_t>(result));
}

std::string to_string(body_status status)
{
    return body_names.at(static_cast<std::size_t>(status));
}

std::string to_json_line(const call_record& record)
{
    const json document{{"call", record.call_id},
                        {"request_id", record.request_id},
                        {"attempt", record.attempt},
                        {"kind", record.kind},
                        {"key", record.key},
                        {"target", record.target},
                        {"intended_ms", record.intended_ms},
                        {"sent_ms", record.sent_ms},
                        {"ended_ms", record.ended_ms},
                        {"result", to_string(record.result)},
                        {"status", record.status},
                        {"error", record.error},
                        {"answer_request_id", record.answer_request_id},
                        {"body", to_string(record.body)},
                        {"expected_bytes", record.expected_bytes},
                        {"body_bytes", record.body_bytes},
                        {"body_hash", record.body_hash},
                        {"backend", record.backend},
                        {"release", record.release},
                        {"run", record.run_id}};
    // Fields taken from response headers may not be valid UTF-8; replace invalid bytes instead of
    // throwing.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<call_record> read_calls(std::istream& in)
{
    std::vector<call_record> out;
    read_json_lines(in, [&](const json& document) { out.push_back(parse_call(document)); });
    return out;
}

std::vector<execution_record> read_executions(std::istream& in)
{
    std::vector<execution_record> out;
    std::set<std::pair<std::string, std::string>> seen_runs;
    read_json_lines(in, [&](const json& document) {
        auto record = parse_execution(document);
        if (record.run_id.empty() || seen_runs.emplace(record.backend, record.run_id).second) {
            out.push_back(std::move(record));
        }
    });
    return out;
}

std::string pattern_body(const std::string& id, std::size_t size)
{
    std::string out(size, '-');
    for (std::size_t i = 0; i < size && !id.empty(); ++i) {
        out[i] = id[i % id.size()];
    }
    return out;
}

body_status check_body(const std::string& request_id, const std::string& body,
                       std::size_t expected_bytes)
{
    if (body != pattern_body(request_id, body.size()) || body.size() > expected_bytes) {
        return body_status::crossed;
    }
    return body.size() < expected_bytes ? body_status::truncated : body_status::whole;
}

} // namespace camphor::load
