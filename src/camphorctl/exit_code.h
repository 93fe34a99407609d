// Exit codes of camphorctl, as docs/OPERATORS.md lists them.
#pragma once

namespace camphor::ctl {

/// Process exit codes; scripts depend on the values.
enum class exit_code : int {
    done = 0,
    /// The node refused the request as invalid.
    refused = 1,
    /// The command line or a resource file is invalid; nothing was sent.
    bad_input = 2,
    not_found = 3,
    /// The resource has another revision than required, or a move in progress forbids the change.
    conflict = 4,
    /// The node or its platform is unavailable; the request has certainly not run.
    unavailable = 5,
    /// The request may have run. Repeating it with the same --operation-id returns its outcome.
    outcome_unknown = 6,
    /// The awaited state was not reached within --timeout.
    timed_out = 7,
    /// The move reached a final phase other than the awaited one.
    other_outcome = 8,
};

} // namespace camphor::ctl
