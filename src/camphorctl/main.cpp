// camphorctl: command-line client of the resource API for operators.
#include "commands.h"

#include <camphortally/error.h>

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace camphor::ctl;
using std::chrono::milliseconds;

constexpr auto* default_node = "127.0.0.1:7100";
constexpr auto* exit_code_help =
    "Exit codes: 0 done, 1 refused, 2 bad input, 3 not found, 4 conflict,\n"
    "5 unavailable (not run), 6 outcome unknown, 7 timed out, 8 other outcome.\n";

std::string environment_or(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr || *value == '\0' ? fallback : std::string(value);
}

/// Returns a random id, so that each invocation is a new operation.
std::string make_operation_id()
{
    std::random_device entropy;
    std::ostringstream out;
    out << "ctl-" << std::hex << entropy() << entropy();
    return out.str();
}

cxxopts::Options make_options()
{
    cxxopts::Options options("camphorctl",
                             "Writes, reads and watches the resources of a mesh.\n\n" +
                                 command_help() + "\n" + exit_code_help);
    const auto string_option = [](const std::string& value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto integer_option = [](const char* value) {
        return cxxopts::value<std::int64_t>()->default_value(value);
    };
    auto add = options.add_options();
    add("node", "admin address of any node (CAMPHOR_NODE)",
        string_option(environment_or("CAMPHOR_NODE", default_node)));
    add("f,file", "resource file: a JSON object, an array or JSON lines",
        cxxopts::value<std::vector<std::string>>());
    add("o,output", "output format: table or json", string_option("table"));
    add("operator", "operator name in the audit trail (CAMPHOR_OPERATOR)",
        string_option(environment_or("CAMPHOR_OPERATOR", environment_or("USER", "unknown"))));
    add("operation-id", "operation id of an earlier invocation whose outcome is unknown",
        string_option(""));
    add("since", "watch and audit: only changes after this version", integer_option("0"));
    add("if-match", "delete: only this revision", integer_option("0"));
    add("for", "wait: state to wait for, in_force, completed or reverted",
        string_option("in_force"));
    add("wait", "apply: wait until all resources are in force");
    add("timeout", "seconds to wait for a state, and to retry a change",
        cxxopts::value<double>()->default_value("30"));
    add("words", "command and its arguments", cxxopts::value<std::vector<std::string>>());
    add("version", "print the version");
    add("h,help", "this text");
    options.parse_positional({"words"});
    options.positional_help("COMMAND [ARGUMENT...]");
    return options;
}

template <class Value>
std::vector<Value> values_of(const cxxopts::ParseResult& options, const char* name)
{
    return options.count(name) == 0 ? std::vector<Value>() : options[name].as<std::vector<Value>>();
}

invocation read_invocation(const cxxopts::ParseResult& options)
{
    invocation out;
    out.arguments = values_of<std::string>(options, "words");
    if (out.arguments.empty()) {
        throw api_failure(exit_code::bad_input, "name a command; see --help");
    }
    out.command = out.arguments.front();
    out.arguments.erase(out.arguments.begin());
    out.files = values_of<std::string>(options, "file");
    const auto output = options["output"].as<std::string>();
    if (output != "table" && output != "json") {
        throw api_failure(exit_code::bad_input, "-o must be table or json");
    }
    out.as_json = output == "json";
    out.operation_id = options["operation-id"].as<std::string>();
    if (out.operation_id.empty()) {
        out.operation_id = make_operation_id();
    }
    out.since_version = options["since"].as<std::int64_t>();
    out.if_match = options["if-match"].as<std::int64_t>();
    out.wait_state = options["for"].as<std::string>();
    out.wait_in_force = options.count("wait") != 0;
    out.timeout = milliseconds(static_cast<std::int64_t>(options["timeout"].as<double>() * 1'000));
    out.api = {camphor::shell::parse_endpoint(options["node"].as<std::string>()),
               options["operator"].as<std::string>(), out.timeout};
    return out;
}

int run(int argc, char** argv)
{
    auto options = make_options();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed.count("version") != 0) {
        std::cout << "camphorctl " CAMPHOR_VERSION "\n";
        return 0;
    }
    return static_cast<int>(run_command(read_invocation(parsed)));
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const api_failure& error) {
        std::cerr << "camphorctl: " << error.what() << '\n';
        return static_cast<int>(error.code());
    } catch (const std::exception& error) {
        std::cerr << "camphorctl: " << error.what() << '\n';
        return static_cast<int>(exit_code::bad_input);
    }
}
