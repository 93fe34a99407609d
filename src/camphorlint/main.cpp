// camphorlint: offline checker of resource files and node settings.
#include "libshell/node_settings_reader.h"
#include "libshell/resource_file.h"

#include <cxxopts.hpp>

#include <chrono>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace camphor;

/// Exit codes: exit_faults when a file has faults, exit_usage when the command line is not valid.
enum exit_code : int { exit_clean = 0, exit_faults = 2, exit_usage = 64 };

wall_time current_time()
{
    return std::chrono::time_point_cast<wall_time::duration>(std::chrono::system_clock::now());
}

std::vector<shell::file_fault> check_settings(const std::vector<std::string>& files)
{
    std::vector<shell::file_fault> faults;
    for (const auto& file : files) {
        try {
            shell::read_node_settings(shell::read_file(file));
        } catch (const invalid_input& error) {
            for (const auto& fault : error.faults()) {
                faults.push_back({file, fault.pointer, fault.reason});
            }
        }
    }
    return faults;
}

int run(const cxxopts::ParseResult& options)
{
    const auto files = options.count("file") != 0 ? options["file"].as<std::vector<std::string>>()
                                                  : std::vector<std::string>();
    const auto kind = options["kind"].as<std::string>();
    const bool is_known_kind = kind == "settings" || kind == "resources";
    if (files.empty() || !is_known_kind) {
        std::cerr << "camphorlint: name files to check; --kind must be resources or settings\n";
        return exit_usage;
    }
    const auto faults = kind == "settings"
                            ? check_settings(files)
                            : check_resources(shell::read_resource_files(files), current_time());
    for (const auto& fault : faults) {
        std::cout << to_string(fault) << '\n';
    }
    return faults.empty() ? exit_clean : exit_faults;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("camphorlint",
                             "Checks resource files and node settings without a mesh.\n"
                             "Prints FILE: JSON-POINTER: REASON for each fault. Exit codes: 0 no "
                             "fault, 2 faults, 64 wrong usage.");
    auto add = options.add_options();
    add("kind", "resources or settings", cxxopts::value<std::string>()->default_value("resources"));
    add("file", "files to check together; references may name resources of any of them",
        cxxopts::value<std::vector<std::string>>());
    add("version", "print the version");
    add("h,help", "this text");
    options.parse_positional({"file"});
    options.positional_help("FILE...");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return exit_clean;
        }
        if (parsed.count("version") != 0) {
            std::cout << "camphorlint " CAMPHOR_VERSION "\n";
            return exit_clean;
        }
        return run(parsed);
    } catch (const std::exception& error) {
        std::cerr << "camphorlint: " << error.what() << '\n';
        return exit_usage;
    }
}
