// Simulates the move policy and two baselines for every row, deadline and seed, and summarises the
// results by row.
#include "move_run.h"
#include "move_scenario.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <tbb/global_control.h>
#include <tbb/parallel_for.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>

namespace camphor::bench {

namespace {

using nlohmann::json;

/// Command-line options.
struct options {
    std::uint64_t first_seed = 1;
    std::size_t seeds = 200;
    std::size_t threads = 4;
    std::vector<double> deadlines;
    std::string row;
    std::string json_file;
    std::vector<policy_kind> policies;
    bool show_unexpected = false;
};

/// Results of one combination of row, deadline and policy, one for each seed.
struct result_group {
    const scenario_row* row = nullptr;
    double deadline_s = 0;
    policy_kind policy{};
    expectation expected{};
    std::vector<run_result> results;
};

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values.at(static_cast<std::size_t>(std::lround(probability * last)));
}

template <class Field>
std::vector<double> collect(const result_group& group, Field field)
{
    std::vector<double> out;
    for (const auto& result : group.results) {
        const double value = field(result);
        if (value >= 0) {
            out.push_back(value);
        }
    }
    return out;
}

json summarize(const result_group& group)
{
    const auto expected_count =
        std::count_if(group.results.begin(), group.results.end(),
                      [](const auto& result) { return result.is_expected; });
    const auto reverted =
        std::count_if(group.results.begin(), group.results.end(),
                      [](const auto& result) { return result.phase == move_phase::reverted; });
    const auto new_calls = collect(group, [](const auto& result) { return result.new_calls; });
    const auto calls_after_fault =
        collect(group, [](const auto& result) { return result.calls_after_fault; });
    const auto stop_times_s =
        collect(group, [](const auto& result) { return result.time_to_stop_s; });
    constexpr std::array names{"completed", "reverted", "as_set"};
    constexpr double median = 0.5;
    constexpr double high_quantile = 0.95;
    return {{"row", group.row->name},
            {"stated", group.row->is_specified},
            {"deadline_s", group.deadline_s},
            {"policy", to_string(group.policy)},
            {"expected", names.at(static_cast<std::size_t>(group.expected))},
            {"runs", group.results.size()},
            {"right", expected_count},
            {"reverted", reverted},
            {"new_calls_p50", quantile(new_calls, median)},
            {"new_calls_p95", quantile(new_calls, high_quantile)},
            {"calls_after_fault_p50", quantile(calls_after_fault, median)},
            {"calls_after_fault_p95", quantile(calls_after_fault, high_quantile)},
            {"stop_s_p50", quantile(stop_times_s, median)},
            {"stop_s_p95", quantile(stop_times_s, high_quantile)}};
}

void print_row(const json& row)
{
    std::printf("%-12s %-21s %4.0f %-9s %4d/%-4d %8.0f %8.0f %8.0f %8.0f %8.2f %8.2f\n",
                row["policy"].get<std::string>().c_str(), row["row"].get<std::string>().c_str(),
                row["deadline_s"].get<double>(), row["expected"].get<std::string>().c_str(),
                row["right"].get<int>(), row["runs"].get<int>(), row["new_calls_p50"].get<double>(),
                row["new_calls_p95"].get<double>(), row["calls_after_fault_p50"].get<double>(),
                row["calls_after_fault_p95"].get<double>(), row["stop_s_p50"].get<double>(),
                row["stop_s_p95"].get<double>());
}

void print_unexpected(const result_group& group, std::uint64_t first_seed)
{
    std::map<std::string, std::vector<std::uint64_t>> reasons;
    for (std::size_t i = 0; i < group.results.size(); ++i) {
        const auto& result = group.results.at(i);
        if (!result.is_expected) {
            reasons["stage " + std::to_string(result.stage) + " " + to_string(result.phase) + ": " +
                    result.reason]
                .push_back(first_seed + i);
        }
    }
    for (const auto& [reason, seeds] : reasons) {
        std::printf("    %zu x %s (seed %lu)\n", seeds.size(), reason.c_str(), seeds.front());
    }
}

result_group run_group(const scenario_row& row, double deadline_s, policy_kind policy,
                       const options& settings)
{
    result_group out{&row, deadline_s, policy, {}, {}};
    out.expected = draw_scenario(row, deadline_s, settings.first_seed).expected;
    out.results.resize(settings.seeds);
    tbb::parallel_for(std::size_t{0}, settings.seeds, [&](std::size_t i) {
        const auto seed = settings.first_seed + i;
        out.results.at(i) = run_move(policy, draw_scenario(row, deadline_s, seed), seed);
    });
    return out;
}

int run(const options& settings)
{
    const tbb::global_control thread_limit(tbb::global_control::max_allowed_parallelism,
                                           settings.threads);
    json rows = json::array();
    std::printf("%-12s %-21s %4s %-9s %9s %8s %8s %8s %8s %8s %8s\n", "policy", "row", "s",
                "expected", "right", "new p50", "new p95", "bad p50", "bad p95", "stop p50",
                "stop p95");
    for (const auto policy : settings.policies) {
        for (const auto& row : scenario_rows()) {
            if (!settings.row.empty() && row.name != settings.row) {
                continue;
            }
            for (const double deadline_s : settings.deadlines) {
                const auto group = run_group(row, deadline_s, policy, settings);
                rows.push_back(summarize(group));
                print_row(rows.back());
                if (settings.show_unexpected) {
                    print_unexpected(group, settings.first_seed);
                }
                std::fflush(stdout);
            }
        }
    }
    if (!settings.json_file.empty()) {
        std::ofstream(settings.json_file) << rows.dump(1) << '\n';
    }
    return 0;
}

options parse(int argc, char** argv)
{
    cxxopts::Options parser("move_experiment", "Simulates the move policy over rows and seeds");
    auto add = parser.add_options();
    add("seeds", "number of seeds per row", cxxopts::value<std::size_t>()->default_value("200"));
    add("first-seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("threads", "worker threads", cxxopts::value<std::size_t>()->default_value("4"));
    add("deadlines", "deadlines in seconds",
        cxxopts::value<std::vector<double>>()->default_value("30,120,600"));
    add("row", "run this row only", cxxopts::value<std::string>()->default_value(""));
    add("json", "write results to this file", cxxopts::value<std::string>()->default_value(""));
    add("no-baselines", "run the move policy only");
    add("show-wrong", "print the reasons of unexpected outcomes");
    add("help", "print this help");
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << parser.help();
        std::exit(0);
    }
    options out;
    out.first_seed = parsed["first-seed"].as<std::uint64_t>();
    out.seeds = parsed["seeds"].as<std::size_t>();
    out.threads = parsed["threads"].as<std::size_t>();
    out.deadlines = parsed["deadlines"].as<std::vector<double>>();
    out.row = parsed["row"].as<std::string>();
    out.json_file = parsed["json"].as<std::string>();
    out.policies = {policy_kind::sequential};
    if (parsed.count("no-baselines") == 0) {
        out.policies.push_back(policy_kind::timer);
        out.policies.push_back(policy_kind::error_ratio);
    }
    out.show_unexpected = parsed.count("show-wrong") != 0;
    return out;
}

} // namespace

} // namespace camphor::bench

int main(int argc, char** argv)
{
    try {
        return camphor::bench::run(camphor::bench::parse(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << "move_experiment: " << error.what() << '\n';
        return 1;
    }
}
