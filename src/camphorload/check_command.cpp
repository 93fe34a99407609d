// Subcommand `camphorload check`: reads recorded histories and prints every violation.
#include "commands.h"

#include <libload/call_check.h>
#include <libload/config_check.h>
#include <libload/latency.h>
#include <libload/register_check.h>

#include <camphortally/error.h>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace camphor::load {

namespace {

using string_list = std::vector<std::string>;

constexpr const char* description =
    R"(Checks recorded histories. For several files, separate them by commas or repeat the option.

 --history     call records written by camphorload run
 --executions  executions on backend servers: {"backend","run","request_id","idempotency_key",
               "method"}
 --nodes       logs of camphord (events node.started, config.applied, node.draining)
 --audit       audit trail, in the format of camphorctl audit -o json
 --operations  requests of operators and their results: {"operation",
               "action":"put|delete|read","kind","name","if_match","value",
               "result":"accepted|rejected|not_run|unknown","revision","started_ms",
               "ended_ms"}

Exit codes: 0 no violation, 1 violations found, 2 wrong usage or invalid file.
)";

cxxopts::Options make_check_options()
{
    cxxopts::Options out("camphorload check", description);
    out.add_options()("history", "files", cxxopts::value<string_list>())(
        "executions", "files", cxxopts::value<string_list>())("nodes", "files",
                                                              cxxopts::value<string_list>())(
        "audit", "file", cxxopts::value<string_list>())("operations", "files",
                                                        cxxopts::value<string_list>())(
        "live", "names of the nodes running at the end; default: all nodes in the logs",
        cxxopts::value<string_list>())(
        "within-ms", "a node that shut down must hold the changes accepted this long before",
        cxxopts::value<double>()->default_value("10000"))(
        "report", "file for the JSON report", cxxopts::value<std::string>())("help", "this text");
    out.positional_help("").allow_unrecognised_options();
    return out;
}

/// Reads and concatenates the records of all files given with `option`.
template <class Record>
std::vector<Record> read_record_files(const cxxopts::ParseResult& parsed, const char* option,
                                      std::vector<Record> (*read)(std::istream&))
{
    std::vector<Record> out;
    if (parsed.count(option) == 0) {
        return out;
    }
    for (const auto& path : parsed[option].as<string_list>()) {
        std::ifstream in(path);
        if (!in) {
            throw invalid_input(path, "cannot be opened for reading");
        }
        try {
            auto records = read(in);
            std::move(records.begin(), records.end(), std::back_inserter(out));
        } catch (const invalid_input& error) {
            const auto& first = error.faults().front();
            throw invalid_input(path + ": " + first.pointer, first.reason);
        }
    }
    return out;
}

/// Number of records read of each kind, convergence times and violations.
struct check_result {
    std::size_t calls = 0;
    std::size_t executions = 0;
    std::size_t node_lifetimes = 0;
    std::size_t accepted_changes = 0;
    std::size_t operations = 0;
    latency_histogram convergence_ms;
    violation_list violations;

    void add(violation_list added)
    {
        std::move(added.begin(), added.end(), std::back_inserter(violations));
    }
};

void check_call_histories(const cxxopts::ParseResult& parsed, check_result& result)
{
    const auto calls = read_record_files(parsed, "history", read_calls);
    const auto executions = read_record_files(parsed, "executions", read_executions);
    result.calls = calls.size();
    result.executions = executions.size();
    result.add(check_calls(calls, executions));
}

void check_config_histories(const cxxopts::ParseResult& parsed, check_result& result)
{
    const auto lifetimes = read_record_files(parsed, "nodes", read_node_log);
    const auto audit = read_record_files(parsed, "audit", read_audit);
    const auto operations = read_record_files(parsed, "operations", read_operations);
    result.node_lifetimes = lifetimes.size();
    result.accepted_changes = audit.size();
    result.operations = operations.size();
    result.add(check_monotonic(lifetimes));
    result.add(check_linearizability(operations, audit));
    if (parsed.count("audit") == 0) {
        return;
    }
    in_force_criteria criteria;
    criteria.convergence_limit_ms = parsed["within-ms"].as<double>();
    if (parsed.count("live") > 0) {
        const auto node_names = parsed["live"].as<string_list>();
        criteria.live_nodes.insert(node_names.begin(), node_names.end());
    }
    result.add(check_audit_versions(audit));
    result.add(check_move_outcomes(audit));
    result.add(check_acknowledgements(operations, audit));
    result.add(check_in_force(lifetimes, audit, criteria));
    for (const auto time_ms : convergence_times(lifetimes, audit)) {
        result.convergence_ms.add(time_ms);
    }
}

nlohmann::json to_json(const check_result& result)
{
    nlohmann::json violations = nlohmann::json::array();
    for (const auto& found : result.violations) {
        violations.push_back(
            {{"rule", found.rule}, {"subject", found.subject}, {"detail", found.detail}});
    }
    return {{"calls", result.calls},
            {"executions", result.executions},
            {"node_lives", result.node_lifetimes},
            {"accepted_changes", result.accepted_changes},
            {"operations", result.operations},
            {"convergence_ms",
             {{"count", result.convergence_ms.count()},
              {"p50", result.convergence_ms.quantile(0.5)},
              {"p99", result.convergence_ms.quantile(0.99)},
              {"max", result.convergence_ms.max()}}},
            {"violations", violations}};
}

void print_summary(const check_result& result)
{
    for (const auto& found : result.violations) {
        std::cout << found.rule << ": " << found.subject << ": " << found.detail << '\n';
    }
    std::cout << result.calls << " calls, " << result.executions << " executions, "
              << result.node_lifetimes << " node lifetimes, " << result.accepted_changes
              << " accepted changes, " << result.operations
              << " operations: " << result.violations.size() << " violations\n";
}

int run_checks(const cxxopts::ParseResult& parsed)
{
    check_result result;
    check_call_histories(parsed, result);
    check_config_histories(parsed, result);
    print_summary(result);
    if (parsed.count("report") > 0) {
        std::ofstream(parsed["report"].as<std::string>()) << to_json(result).dump(2) << '\n';
    }
    return result.violations.empty() ? exit_clean : exit_violations;
}

} // namespace

int check_command(int argc, char** argv)
{
    auto options = make_check_options();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exit_clean;
        }
        if (parsed.arguments().empty() || !parsed.unmatched().empty()) {
            std::cerr << options.help();
            return exit_usage;
        }
        return run_checks(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n' << options.help();
        return exit_usage;
    }
}

} // namespace camphor::load
