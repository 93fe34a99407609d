// Rows of the move experiment. Every parameter is drawn from a range by seed.
#include "move_scenario.h"

#include <algorithm>
#include <cmath>

namespace camphor::bench {

namespace {

double uniform(random_engine& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

std::size_t random_index(random_engine& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

call_effect failure_effect(double ratio)
{
    return {ratio, 1, true};
}

void good(scenario& /*drawn*/, random_engine& /*random*/) {}

void fails_at_once(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double ratio = uniform(random, 0.3, 1);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release ? failure_effect(ratio) : call_effect{};
    };
}

void slow_at_once(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double factor = uniform(random, 2, 6);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release ? call_effect{0, factor, true} : call_effect{};
    };
}

void fails_one_percent(scenario& drawn, random_engine& /*random*/)
{
    drawn.expected = expectation::reverted;
    drawn.effect = [](const call_context& call) {
        return call.to_new_release ? failure_effect(0.01) : call_effect{};
    };
}

void fails_after_60s(scenario& drawn, random_engine& random)
{
    constexpr double start_s = 60;
    drawn.expected = start_s < drawn.deadline_s ? expectation::reverted : expectation::completed;
    const double ratio = uniform(random, 0.2, 1);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release && call.time_s > start_s ? failure_effect(ratio) : call_effect{};
    };
}

void fails_above_load(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double max_calls_per_s = drawn.calls_per_s * uniform(random, 0.15, 0.75);
    const double ratio = uniform(random, 0.2, 1);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release && call.new_calls_per_s > max_calls_per_s ? failure_effect(ratio)
                                                                             : call_effect{};
    };
}

void fails_on_rare_route(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double ratio = uniform(random, 0.5, 1);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release && call.route == route_count - 1 ? failure_effect(ratio)
                                                                    : call_effect{};
    };
}

void slow_ramp(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double start_s = drawn.deadline_s * uniform(random, 0, 0.3);
    const double ramp_s = drawn.deadline_s * uniform(random, 0.2, 0.4);
    const double factor = uniform(random, 3, 6);
    drawn.effect = [=](const call_context& call) {
        if (!call.to_new_release || call.time_s < start_s) {
            return call_effect{};
        }
        const double fraction = std::min((call.time_s - start_s) / ramp_s, 1.0);
        const double latency_factor = 1 + (factor - 1) * fraction;
        return call_effect{0, latency_factor, latency_factor > 2};
    };
}

void fails_in_one_zone(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double ratio = uniform(random, 0.3, 1);
    const auto zone = random_index(random, zone_count);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release && call.zone == zone ? failure_effect(ratio) : call_effect{};
    };
}

void cold_start(scenario& drawn, random_engine& random)
{
    const double factor = uniform(random, 2, 6);
    const double decay_s = uniform(random, 0.5, 2);
    // In half of the scenarios the operator declares a cold start, with an error of up to 40 %.
    drawn.declared_cold_start_s =
        random_index(random, 2) == 0 ? 0 : 3 * decay_s * uniform(random, 0.6, 1.4);
    drawn.effect = [=](const call_context& call) {
        const double latency_factor =
            1 + (factor - 1) * std::exp(-call.new_release_age_s / decay_s);
        return call.to_new_release ? call_effect{0, latency_factor, false} : call_effect{};
    };
}

/// Start and end times of failure bursts, in seconds.
std::vector<std::pair<double, double>> draw_bursts(random_engine& random, double end_of_move_s)
{
    std::vector<std::pair<double, double>> out;
    for (double start_s = uniform(random, 0, 10); start_s < end_of_move_s;
         start_s += uniform(random, 3, 20)) {
        const double end_s = start_s + uniform(random, 0.5, 4);
        out.emplace_back(start_s, end_s);
        start_s = end_s;
    }
    return out;
}

bool is_inside_any(const std::vector<std::pair<double, double>>& spans, double time_s)
{
    return std::any_of(spans.begin(), spans.end(), [time_s](const auto& span) {
        return time_s >= span.first && time_s < span.second;
    });
}

void noisy_old(scenario& drawn, random_engine& random)
{
    const double base_ratio = uniform(random, 0.01, 0.05);
    const double burst_ratio = base_ratio * uniform(random, 2, 4);
    // In half of the scenarios the failures come from a dependency shared by both releases.
    const bool shared = random_index(random, 2) == 0;
    const auto spans = draw_bursts(random, drawn.deadline_s);
    drawn.effect = [=](const call_context& call) {
        const bool is_affected = !call.to_new_release || shared;
        return is_affected
                   ? call_effect{is_inside_any(spans, call.time_s) ? burst_ratio : base_ratio, 1,
                                 false}
                   : call_effect{};
    };
}

void traffic_drops(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::depends_on_setting;
    drawn.complete_on_thin_evidence = random_index(random, 2) == 0;
    const double start_s = drawn.deadline_s * uniform(random, 0, 0.9);
    const double remaining_factor = uniform(random, 0.0005, 0.005);
    drawn.traffic_factor = [=](double time_s) {
        return time_s < start_s ? 1.0 : remaining_factor;
    };
}

void shared_overload(scenario& drawn, random_engine& random)
{
    const double start_s = drawn.deadline_s * uniform(random, 0, 0.9);
    const double end_s = start_s + uniform(random, 1, 8);
    const double failure = uniform(random, 0, 0.5);
    const double latency_factor = uniform(random, 1, 5);
    drawn.effect = [=](const call_context& call) {
        return call.time_s >= start_s && call.time_s < end_s
                   ? call_effect{failure, latency_factor, false}
                   : call_effect{};
    };
}

void one_blip(scenario& drawn, random_engine& random)
{
    const double start_s = drawn.deadline_s * uniform(random, 0.02, 0.9);
    const double end_s = start_s + uniform(random, 0.05, 0.3);
    drawn.effect = [=](const call_context& call) {
        const bool is_affected =
            call.to_new_release && call.time_s >= start_s && call.time_s < end_s;
        return call_effect{is_affected ? 1.0 : 0.0, 1, false};
    };
}

void slow_for_few(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double fraction = uniform(random, 0.08, 0.2);
    const double factor = uniform(random, 6, 12);
    drawn.effect = [=](const call_context& call) {
        const bool is_affected = call.to_new_release && call.uniform_sample < fraction;
        return is_affected ? call_effect{0, factor, true} : call_effect{};
    };
}

void fails_a_little_later(scenario& drawn, random_engine& random)
{
    drawn.expected = expectation::reverted;
    const double start_s = drawn.deadline_s * uniform(random, 0.1, 0.6);
    const double ratio = uniform(random, 0.03, 0.1);
    drawn.effect = [=](const call_context& call) {
        return call.to_new_release && call.time_s > start_s ? failure_effect(ratio) : call_effect{};
    };
}

} // namespace

const std::vector<scenario_row>& scenario_rows()
{
    static const std::vector<scenario_row> rows{
        {"good", good},
        {"fails_at_once", fails_at_once},
        {"slow_at_once", slow_at_once},
        {"fails_1_percent", fails_one_percent},
        {"fails_after_60s", fails_after_60s},
        {"fails_above_load", fails_above_load},
        {"fails_on_rare_route", fails_on_rare_route},
        {"slow_ramp", slow_ramp},
        {"fails_in_one_zone", fails_in_one_zone},
        {"cold_start", cold_start},
        {"noisy_old", noisy_old},
        {"traffic_drops", traffic_drops},
        {"shared_overload", shared_overload, false},
        {"one_blip", one_blip, false},
        {"slow_for_few", slow_for_few, false},
        {"fails_a_little_later", fails_a_little_later, false},
    };
    return rows;
}

scenario draw_scenario(const scenario_row& row, double deadline_s, std::uint64_t seed)
{
    random_engine random(seed * 7919 + static_cast<std::uint64_t>(deadline_s));
    scenario out;
    out.deadline_s = deadline_s;
    out.soak_s = std::min(uniform(random, 0.15, 0.25) * deadline_s, uniform(random, 5, 60));
    out.calls_per_s = uniform(random, 200, 400);
    const double rare_share = uniform(random, 0.015, 0.05);
    out.route_shares = {0.5, 0.3, 0.2 - rare_share, rare_share};
    for (auto& latency : out.route_latency_ms) {
        latency = uniform(random, 3, 40);
    }
    out.log_latency_deviation = uniform(random, 0.2, 0.7);
    out.old_failure_ratio = uniform(random, 0, 0.004);
    out.new_failure_ratio = out.old_failure_ratio * uniform(random, 0.5, 1.2);
    out.new_latency_factor = uniform(random, 0.85, 1.15);
    row.customize(out, random);
    return out;
}

} // namespace camphor::bench
