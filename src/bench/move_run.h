// Simulation of one move in one scenario under one policy, with synthetic call evidence.
#pragma once

#include "move_scenario.h"

#include <camphortally/move_policy.h>

#include <memory>
#include <string>

namespace camphor::bench {

/// Interface of the compared policies: the move policy of camphor and the baselines.
class policy_under_test {
public:
    policy_under_test() = default;
    policy_under_test(const policy_under_test&) = delete;
    policy_under_test& operator=(const policy_under_test&) = delete;
    policy_under_test(policy_under_test&&) = delete;
    policy_under_test& operator=(policy_under_test&&) = delete;
    virtual ~policy_under_test() = default;

    virtual void set_move(const move_spec& spec, const move_status& status, wall_time now) = 0;
    virtual void observe(const evidence_key& key, const call_evidence& evidence) = 0;
    virtual void proxy_stopped(const std::string& reason) = 0;
    virtual move_decision decide(wall_time now) = 0;
    /// Whether proxies stop sending calls to the new release on their own strong evidence, without
    /// waiting for a decision.
    virtual bool stops_locally() const = 0;
};

/// The move policy (`sequential`), and baselines that step by time without (`timer`) or with
/// (`error_ratio`) a limit on the failure ratio.
enum class policy_kind : std::uint8_t { sequential, timer, error_ratio };
std::string to_string(policy_kind kind);

std::unique_ptr<policy_under_test> make_policy(policy_kind kind, const move_spec& spec,
                                               duration cold_start);

/// Outcome of one simulated move.
struct run_result {
    move_phase phase{};
    std::string reason;
    /// Stage when the simulation ended.
    std::int32_t stage = 0;
    /// All proxies had applied the last decision by the deadline.
    bool in_time = false;
    /// The outcome is the expected outcome of the scenario.
    bool is_expected = false;
    /// Calls to the new release.
    double new_calls = 0;
    /// Calls to the new release from its first faulty answer on.
    double calls_after_fault = 0;
    /// Seconds from the first faulty answer to the last call to the new release; below zero when no
    /// fault showed.
    double time_to_stop_s = -1;
};

/// Simulates one move. The same arguments give the same result.
run_result run_move(policy_kind kind, const scenario& simulated, std::uint64_t seed);

} // namespace camphor::bench
