// Command line and commands of camphorctl.
#pragma once

#include "api_client.h"
#include "exit_code.h"

#include <chrono>
#include <string>
#include <vector>

namespace camphor::ctl {

/// The parsed command line.
struct invocation {
    std::string command;
    /// Positional arguments after the command.
    std::vector<std::string> arguments;
    /// Resource files of `apply`.
    std::vector<std::string> files;
    api_settings api;
    bool as_json = false;
    /// Prefix of the Operation-Ids of the changes that this invocation sends.
    std::string operation_id;
    /// `watch` and `audit` print only changes after this configuration version.
    std::int64_t since_version = 0;
    /// Revision that `delete` requires; 0 for any.
    std::int64_t if_match = 0;
    /// State that `wait` waits for: in_force, completed or reverted.
    std::string wait_state = "in_force";
    /// Limit of waiting for a state.
    std::chrono::milliseconds timeout{};
    /// Whether `apply` waits until all its resources are in force.
    bool wait_in_force = false;
};

/// Help text with one line per command.
std::string command_help();

/// Runs the command. Results are written to standard output, the progress of waiting to standard
/// error.
/// @throws api_failure when the command line is not valid or a request fails
exit_code run_command(const invocation& options);

} // namespace camphor::ctl
