// camphord: the node daemon. One process runs beside each backend server instance.
#include "camphord/daemon.h"
#include "libsidecar/sidecar.h"
#include "platform/boot_file.h"

#include <camphortally/error.h>

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

/// Exit codes; listed in --help and docs/OPERATORS.md.
enum exit_code : int {
    exit_ok = 0,
    exit_failure = 1,
    exit_bad_settings = 2,
    exit_not_drained = 3,
};

constexpr auto version_text = "camphord " CAMPHOR_VERSION;
constexpr auto exit_code_text =
    "Exit codes: 0 drained and stopped; 1 failed, such as a port in use; "
    "2 invalid usage or settings; 3 stopped with calls interrupted.";

std::optional<camphor::shell::daemon_settings> load_settings(const std::string& path)
{
    try {
        return camphor::shell::read_node_settings(camphor::shell::read_file(path));
    } catch (const camphor::invalid_input& error) {
        for (const auto& fault : error.faults()) {
            std::cerr << path << ": " << (fault.pointer.empty() ? "/" : fault.pointer) << ": "
                      << fault.reason << '\n';
        }
        return std::nullopt;
    }
}

/// Runs as a sidecar on the users' platform, which names the settings file in an environment
/// variable.
int run_sidecar()
{
    const char* path = std::getenv(camphor::platform::boot_file_env_variable);
    if (path == nullptr) {
        std::cerr << "camphord: " << camphor::platform::boot_file_env_variable << " is not set\n";
        return exit_bad_settings;
    }
    try {
        const auto text = camphor::shell::read_file(path);
        camphor::sidecar::sidecar(camphor::platform::read_boot_file(text), path, text).run();
        return exit_ok;
    } catch (const camphor::platform::bad_boot_file& error) {
        std::cerr << path << ": " << error.what() << '\n';
        return exit_bad_settings;
    }
}

int run(const cxxopts::ParseResult& arguments, const cxxopts::Options& options)
{
    if (arguments.count("help") > 0) {
        std::cout << options.help() << '\n' << exit_code_text << '\n';
        return exit_ok;
    }
    if (arguments.count("version") > 0) {
        std::cout << version_text << '\n';
        return exit_ok;
    }
    if (arguments.count("platform") > 0) {
        return run_sidecar();
    }
    if (arguments.count("config") == 0) {
        std::cerr << "camphord: --config FILE is required; see --help\n";
        return exit_bad_settings;
    }
    auto settings = load_settings(arguments["config"].as<std::string>());
    if (!settings) {
        return exit_bad_settings;
    }
    if (arguments.count("check-config") > 0) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    camphor::shell::daemon node(std::move(*settings));
    return node.run() ? exit_ok : exit_not_drained;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("camphord", "Node daemon of camphortally");
        options.add_options()("config", "node settings, JSON", cxxopts::value<std::string>())(
            "check-config", "validate the settings and exit")(
            "platform", "run as a sidecar with the platform's settings file")(
            "help", "print this help")("version", "print the version");
        return run(options.parse(argc, argv), options);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "camphord: " << error.what() << "; see --help\n";
        return exit_bad_settings;
    } catch (const std::exception& error) {
        std::cerr << "camphord: " << error.what() << '\n';
        return exit_failure;
    }
}
