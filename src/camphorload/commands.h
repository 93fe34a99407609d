// The subcommands of camphorload.
#pragma once

namespace camphor::load {

/// Exit codes; exit_violations is also the code of a run that failed.
enum exit_code : int { exit_clean = 0, exit_violations = 1, exit_usage = 2 };

/// Sends load and prints the report. `argv[0]` is the name of the subcommand.
/// @throws invalid_input when an option or a file is not valid
int run_command(int argc, char** argv);
/// Checks recorded histories and prints the violations. `argv[0]` is the name of the subcommand.
/// @throws invalid_input when a file cannot be read or parsed
int check_command(int argc, char** argv);

} // namespace camphor::load
