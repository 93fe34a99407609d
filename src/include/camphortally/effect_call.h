// What the reducer decides about a call.
#pragma once

#include <camphortally/ids.h>

#include <cstdint>
#include <string>
#include <variant>

namespace camphor {

/// Sends the request to a backend server beside this node, or to another node.
struct forward_call {
    call_id call;
    std::int32_t attempt = 0;
    std::string host;
    std::uint16_t port = 0;
    /// True when the target is another node.
    bool to_node = false;
    /// The attempt must end by then.
    time_point deadline;
    service_id service;
    release_id release;
    /// Shell keeps the request's body for another attempt.
    bool may_retry = false;
    /// Shell hands a short answer back in call_finished, for replay.
    bool keep_answer = false;
};

/// Passes the pending answer of `attempt` on to the caller.
struct relay_answer {
    call_id call;
    std::int32_t attempt = 0;
    /// Sets Camphor-Not-Run: true; otherwise such a header of the answer is dropped.
    bool not_run = false;
};

/// Answers the caller without running the call further.
struct refuse_call {
    call_id call;
    std::int32_t status = 0;
    std::string code;
    std::string message;
    /// Sets Camphor-Not-Run: true. Invariant: no byte of the call reached a backend server.
    bool not_run = false;
    duration retry_after{};
};

/// Answers with the kept result of an earlier run of the same key.
struct replay_answer {
    call_id call;
    std::string kept_answer;
};

/// Drops an attempt whose answer nobody wants; its connection is closed.
struct abandon_attempt {
    call_id call;
    std::int32_t attempt = 0;
};

using call_effect =
    std::variant<forward_call, relay_answer, refuse_call, replay_answer, abandon_attempt>;

} // namespace camphor
