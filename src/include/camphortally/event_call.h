// Events in the life of a caller's call. The reducer sees heads only; bodies stay in the shell.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace camphor {

/// Head of a request. Header names are in lower case.
struct call_head {
    std::string method;
    std::string host;
    std::string target;
    std::map<std::string, std::string> headers;
    /// Digest of the body when a key is present and the body was buffered, else 0.
    std::uint64_t body_digest = 0;
};

struct call_arrived {
    call_id call;
    call_head head;
    /// Address of the caller, for fairness between callers.
    std::string caller;
    /// True when another node forwarded it: it must be served here or refused.
    bool from_node = false;
    /// Time left when it arrived, from the caller's deadline header; zero when it set none.
    duration time_left{};
};

/// How an attempt failed before an answer's head arrived.
enum class attempt_failure : std::uint8_t {
    /// No byte of the request was sent.
    not_sent,
    /// The connection broke after some byte was sent.
    broken,
    timed_out,
};

/// The head of an answer arrived.
struct attempt_answered {
    call_id call;
    std::int32_t attempt = 0;
    std::int32_t status = 0;
    /// The answer carried Camphor-Not-Run: true.
    bool not_run = false;
};

struct attempt_failed {
    call_id call;
    std::int32_t attempt = 0;
    attempt_failure failure{};
};

/// The answer was passed on whole (`complete`) or broke off.
struct call_finished {
    call_id call;
    bool complete = false;
    /// Body of a short answer to a keyed call, for replay; empty when too long.
    std::string kept_answer;
};

/// The caller went away.
struct call_cancelled {
    call_id call;
};

using call_event =
    std::variant<call_arrived, attempt_answered, attempt_failed, call_finished, call_cancelled>;

} // namespace camphor
