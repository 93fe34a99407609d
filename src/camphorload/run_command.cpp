// Subcommand `camphorload run`: options, output files and progress lines of a load run.
#include "commands.h"

#include <libload/load_run.h>

#include <camphortally/error.h>

#include <cxxopts.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace camphor::load {

namespace {

cxxopts::Options make_run_options()
{
    cxxopts::Options out("camphorload run",
                         "Sends calls at scheduled times and reports results and latencies");
    out.add_options()("targets", "call addresses of the nodes: IP:PORT,IP:PORT",
                      cxxopts::value<std::string>())(
        "rate", "calls per second", cxxopts::value<double>()->default_value("100"))(
        "seconds", "duration of the run", cxxopts::value<double>()->default_value("10"))(
        "scenario", "JSON file with the mix of call kinds; replaces the options of a single kind",
        cxxopts::value<std::string>())("path", "path of the single call kind",
                                       cxxopts::value<std::string>()->default_value("/"))(
        "method", "method of the single call kind",
        cxxopts::value<std::string>()->default_value("GET"))(
        "keyed", "send a unique Idempotency-Key with each call")(
        "body-bytes", "size of each request body",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "expected-bytes", "size of each response body; checked byte by byte",
        cxxopts::value<std::size_t>())("timeout-ms", "time limit of each attempt",
                                       cxxopts::value<std::int64_t>()->default_value("5000"))(
        "resend", "limit of resends, with the same key, of a keyed call that may have run",
        cxxopts::value<std::int32_t>()->default_value("0"))(
        "connections", "maximum number of connections per target",
        cxxopts::value<std::size_t>()->default_value("256"))(
        "history", "file for one JSON line per attempt", cxxopts::value<std::string>())(
        "report", "file for the JSON report",
        cxxopts::value<std::string>())("seed", "seed of the random choice of call kinds",
                                       cxxopts::value<std::uint64_t>()->default_value("1"))(
        "quiet", "no progress lines")("help", "this text");
    return out;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        throw invalid_input(path, "cannot be opened for reading");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::ofstream open_for_writing(const std::string& path)
{
    std::ofstream out(path);
    if (!out) {
        throw invalid_input(path, "cannot be opened for writing");
    }
    return out;
}

call_kind make_call_kind(const cxxopts::ParseResult& parsed)
{
    call_kind out;
    out.method = parsed["method"].as<std::string>();
    out.path = parsed["path"].as<std::string>();
    out.name = out.path;
    out.keyed = parsed.count("keyed") > 0;
    out.body_bytes = parsed["body-bytes"].as<std::size_t>();
    out.timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::int64_t>());
    if (parsed.count("expected-bytes") > 0) {
        set_expected_bytes(out, parsed["expected-bytes"].as<std::size_t>());
    }
    return out;
}

scenario read_scenario(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("scenario") == 0) {
        return {{make_call_kind(parsed)}};
    }
    const auto path = parsed["scenario"].as<std::string>();
    try {
        return parse_scenario(read_file(path));
    } catch (const invalid_input& error) {
        auto faults = error.faults();
        for (auto& fault : faults) {
            fault.pointer.insert(0, path + ":");
        }
        throw invalid_input(std::move(faults));
    }
}

void print_progress(const report& current, double elapsed_s)
{
    const auto& all = current.all();
    std::cerr << std::fixed << std::setprecision(1) << elapsed_s << " s: " << all.total()
              << " calls, " << all.count(call_result::ok) << " ok, "
              << all.count(call_result::refused_not_run) + all.count(call_result::refused)
              << " refused, " << all.count(call_result::failed) << " failed, "
              << all.count(call_result::timed_out) << " timed out, p99 "
              << all.latency.quantile(0.99) << " ms\n";
}

load_options make_load_options(const cxxopts::ParseResult& parsed)
{
    load_options out;
    if (parsed.count("targets") == 0) {
        throw invalid_input("--targets", "is missing");
    }
    out.targets = parse_targets(parsed["targets"].as<std::string>());
    out.mix = read_scenario(parsed);
    out.calls_per_s = parsed["rate"].as<double>();
    const auto seconds = parsed["seconds"].as<double>();
    if (out.calls_per_s <= 0 || seconds <= 0) {
        throw invalid_input("--rate, --seconds", "must be positive");
    }
    out.duration = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1'000));
    out.seed = parsed["seed"].as<std::uint64_t>();
    out.max_resends = parsed["resend"].as<std::int32_t>();
    out.max_connections = parsed["connections"].as<std::size_t>();
    if (parsed.count("quiet") == 0) {
        out.on_progress = print_progress;
    }
    return out;
}

int execute_run(const cxxopts::ParseResult& parsed)
{
    const auto options = make_load_options(parsed);
    std::ofstream history;
    if (parsed.count("history") > 0) {
        history = open_for_writing(parsed["history"].as<std::string>());
    }
    std::ofstream report_file;
    if (parsed.count("report") > 0) {
        report_file = open_for_writing(parsed["report"].as<std::string>());
    }
    const auto result = run_load(options, history.is_open() ? &history : nullptr);
    std::cout << result.to_text();
    if (report_file.is_open()) {
        report_file << result.to_json() << '\n';
    }
    return exit_clean;
}

} // namespace

int run_command(int argc, char** argv)
{
    auto options = make_run_options();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exit_clean;
        }
        return execute_run(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n' << options.help();
        return exit_usage;
    }
}

} // namespace camphor::load
