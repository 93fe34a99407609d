// camphorload: open-loop load generator and checker of recorded histories.
#include "commands.h"

#include <camphortally/error.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <exception>
#include <iostream>

namespace {

using namespace camphor::load;

struct subcommand {
    const char* name;
    int (*run)(int argc, char** argv);
};
constexpr std::array subcommands{subcommand{"run", run_command},
                                 subcommand{"check", check_command}};

constexpr const char* usage = R"(camphorload: load generator and history checker

  camphorload run    sends calls at a constant rate and reports results and latencies
  camphorload check  checks recorded histories for violations of the guarantees
  camphorload --help | --version

See the --help of each subcommand for its options.
Exit codes: 0 success, 1 violations found or run failed, 2 wrong usage or invalid file.
)";

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        std::cerr << usage;
        return exit_usage;
    }
    if (std::strcmp(argv[1], "--help") == 0) {
        std::cout << usage;
        return exit_clean;
    }
    if (std::strcmp(argv[1], "--version") == 0) {
        std::cout << "camphorload " CAMPHOR_VERSION "\n";
        return exit_clean;
    }
    const auto found =
        std::find_if(subcommands.begin(), subcommands.end(),
                     [&](const auto& command) { return std::strcmp(command.name, argv[1]) == 0; });
    if (found == subcommands.end()) {
        std::cerr << "camphorload: unknown subcommand " << argv[1] << "\n" << usage;
        return exit_usage;
    }
    try {
        return found->run(argc - 1, argv + 1);
    } catch (const camphor::invalid_input& error) {
        for (const auto& fault : error.faults()) {
            std::cerr << fault.pointer << ": " << fault.reason << '\n';
        }
        return exit_usage;
    } catch (const std::exception& error) {
        std::cerr << "camphorload: " << error.what() << '\n';
        return exit_violations;
    }
}
