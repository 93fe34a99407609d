// Simulated releases and traffic for the move experiment. A scenario is one row of the experiment
// with parameters drawn from a seed.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace camphor::bench {

constexpr std::size_t route_count = 4;
constexpr std::size_t zone_count = 3;
constexpr std::size_t proxy_count = 12;

using random_engine = std::mt19937_64;

/// Circumstances of one simulated call.
struct call_context {
    /// Seconds since the move was accepted.
    double time_s = 0;
    bool to_new_release = false;
    std::size_t route = 0;
    std::size_t zone = 0;
    /// Current rate of calls to the new release, in calls per second.
    double new_calls_per_s = 0;
    /// Seconds since the first call to the new release.
    double new_release_age_s = 0;
    /// Random sample, uniform in [0, 1), for faults that affect a fraction of the calls.
    double uniform_sample = 0;
};

/// Effect of the scenario on one call.
struct call_effect {
    /// Probability that the call fails because of the effect.
    double failure_probability = 0;
    /// Multiplier of the latency.
    double latency_factor = 1;
    /// The effect is a fault of the new release, not an outside disturbance.
    bool is_fault = false;
};

/// Outcome of the move that counts as correct.
enum class expectation : std::uint8_t {
    completed,
    reverted,
    /// Completed in time, or reverted for too little traffic when the move is set to revert on thin
    /// evidence.
    depends_on_setting,
};

/// One scenario with its drawn parameters. Failure values are ratios from 0 to 1.
struct scenario {
    /// Seconds since the move was accepted.
    double deadline_s = 0;
    /// Seconds.
    double soak_s = 0;
    /// Cold start that the upstream declares, in seconds; 0 for none.
    double declared_cold_start_s = 0;
    bool complete_on_thin_evidence = false;
    expectation expected = expectation::completed;

    /// Calls per second to both releases.
    double calls_per_s = 0;
    std::array<double, route_count> route_shares{};
    std::array<double, route_count> route_latency_ms{};
    /// Standard deviation of the logarithm of the latency.
    double log_latency_deviation = 0;
    double old_failure_ratio = 0;
    double new_failure_ratio = 0;
    /// Latency of the new release relative to the old release.
    double new_latency_factor = 1;
    /// Multiplier of the call rate by time in seconds; 1 when empty.
    std::function<double(double time_s)> traffic_factor;
    /// No effect when empty.
    std::function<call_effect(const call_context&)> effect;
};

/// A row of the experiment: a kind of scenario.
struct scenario_row {
    std::string name;
    /// Changes a scenario of a good release on steady traffic into one of this row.
    void (*customize)(scenario&, random_engine&);
    /// The row belongs to the specified table of scenarios; other rows test cases beyond it.
    bool is_specified = true;
};

/// All rows of the experiment.
const std::vector<scenario_row>& scenario_rows();

/// Draws the parameters of a row. The same arguments give the same scenario.
/// @param deadline_s seconds since the move was accepted
scenario draw_scenario(const scenario_row& row, double deadline_s, std::uint64_t seed);

} // namespace camphor::bench
