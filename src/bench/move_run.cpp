// Time-stepped simulation of a move: calls, delayed evidence reports, decisions and their
// propagation.
#include "move_run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace camphor::bench {

namespace {

using namespace std::chrono_literals;

constexpr double time_step_s = 0.02;
constexpr double report_period_s = 0.2;
constexpr double failure_report_s = 0.05;
/// Network delay of a report to the node that decides.
constexpr double report_delay_s = 0.002;
/// Range of the time from a decision to its application on a proxy: table transaction and push.
constexpr double min_propagation_s = 0.03;
constexpr double max_propagation_s = 0.15;
constexpr double full_share_permille = 1000;
constexpr wall_time start_time{1h};

wall_time to_wall_time(double seconds)
{
    return start_time + std::chrono::milliseconds(std::llround(seconds * 1e3));
}

class sequential_policy : public policy_under_test {
public:
    sequential_policy(const move_spec& spec, duration cold_start) : policy_(spec, cold_start) {}

    void set_move(const move_spec& spec, const move_status& status, wall_time now) override
    {
        policy_.set_move(spec, status, now);
    }
    void observe(const evidence_key& key, const call_evidence& evidence) override
    {
        policy_.observe(key, evidence);
    }
    void proxy_stopped(const std::string& reason) override { policy_.proxy_stopped(reason); }
    move_decision decide(wall_time now) override { return policy_.decide(now); }
    bool stops_locally() const override { return true; }

private:
    move_policy policy_;
};

/// Baseline: raises the share through fixed values at equal time intervals. With a limit, reverts
/// the move when the failure ratio of the new release over the recent windows exceeds the limit.
class timed_policy : public policy_under_test {
public:
    explicit timed_policy(std::optional<double> ratio) : max_failure_ratio_(ratio) {}

    void set_move(const move_spec& spec, const move_status& status, wall_time /*now*/) override
    {
        spec_ = spec;
        status_ = status;
    }
    void observe(const evidence_key& key, const call_evidence& evidence) override
    {
        if (key.side == release_side::new_release) {
            current_window_.add({evidence.calls(), evidence.failures});
        }
    }
    void proxy_stopped(const std::string& /*reason*/) override {}
    move_decision decide(wall_time now) override
    {
        recent_windows_.push_back(std::exchange(current_window_, {}));
        if (recent_windows_.size() > max_recent_windows) {
            recent_windows_.pop_front();
        }
        if (exceeds_failure_ratio()) {
            return {move_action::revert, permille{0}, status_.stage, "error ratio", ""};
        }
        const auto end = spec_.deadline - 4s;
        const auto ramp =
            end - std::chrono::duration_cast<std::chrono::milliseconds>(spec_.soak) - start_time;
        const auto steps = static_cast<std::int64_t>(shares.size()) - 1;
        const auto share_index =
            std::clamp<std::int64_t>((now - start_time) * steps / ramp, 0, steps);
        if (now >= end) {
            return {move_action::complete, permille{0}, status_.stage, "time", ""};
        }
        if (share_index + 1 > status_.stage) {
            return {move_action::set_share,
                    permille{shares.at(static_cast<std::size_t>(share_index))},
                    static_cast<std::int32_t>(share_index + 1), "time", ""};
        }
        return {};
    }
    bool stops_locally() const override { return false; }

private:
    bool exceeds_failure_ratio() const
    {
        trial_counts sum;
        for (const auto& window : recent_windows_) {
            sum.add(window);
        }
        return max_failure_ratio_ && sum.calls >= min_calls && sum.ratio() > *max_failure_ratio_;
    }

    static constexpr std::array<std::int32_t, 5> shares{50, 200, 500, 900, 1000};
    /// 5 s of decision windows of 0.2 s.
    static constexpr std::size_t max_recent_windows = 25;
    static constexpr double min_calls = 20;

    std::optional<double> max_failure_ratio_;
    move_spec spec_;
    move_status status_;
    trial_counts current_window_;
    std::deque<trial_counts> recent_windows_;
};

/// State of one simulated proxy. Times are seconds since the move was accepted.
struct proxy {
    std::int32_t share = 0;
    std::int32_t stage = 0;
    bool stopped = false;
    std::optional<std::size_t> stopped_with;
    double next_report_s = 0;
    double next_window_s = 0;
    std::map<std::pair<std::size_t, release_side>, call_evidence> unreported;
    local_judge symptom_detector;
};

/// An evidence report in transit to the deciding node.
struct report_in_transit {
    double due_s = 0;
    evidence_key key;
    call_evidence evidence;
    bool stopped = false;
};
/// A move status in transit to one proxy.
struct status_in_transit {
    double due_s = 0;
    std::size_t proxy = 0;
    move_status status;
};

class move_run {
public:
    move_run(policy_kind kind, const scenario& simulated, std::uint64_t seed)
        : scenario_(simulated), random_(seed ^ 0x9e3779b97f4a7c15ULL)
    {
        spec_.deadline = to_wall_time(simulated.deadline_s);
        spec_.soak =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(simulated.soak_s));
        spec_.on_thin_evidence =
            simulated.complete_on_thin_evidence ? thin_evidence::complete : thin_evidence::revert;
        const std::chrono::duration<double> cold(simulated.declared_cold_start_s);
        policy_ = make_policy(kind, spec_, std::chrono::duration_cast<duration>(cold));
        status_.changed_at = start_time;
        policy_->set_move(spec_, status_, start_time);
        std::uniform_real_distribution<double> initial_offset(0, report_period_s);
        for (auto& each_proxy : proxies_) {
            each_proxy.next_report_s = initial_offset(random_);
            each_proxy.next_window_s = initial_offset(random_);
        }
    }

    run_result run()
    {
        double next_decision_s = 0;
        // Calls go on after the deadline until the last proxy has applied the outcome.
        for (double now = 0; now < scenario_.deadline_s + 1; now += time_step_s) {
            deliver_due_messages(now);
            make_calls(now);
            send_reports(now);
            if (now >= next_decision_s && !is_final(status_.phase)) {
                next_decision_s += report_period_s;
                decide(now);
            }
        }
        return finish();
    }

private:
    void deliver_due_messages(double now)
    {
        std::erase_if(statuses_in_transit_, [&](const status_in_transit& message) {
            if (message.due_s > now) {
                return false;
            }
            auto& target = proxies_.at(message.proxy);
            target.share = message.status.share.value();
            target.stage = message.status.stage;
            target.stopped = target.stopped && message.status.phase != move_phase::completed;
            return true;
        });
        while (!reports_in_transit_.empty() && reports_in_transit_.front().due_s <= now) {
            const auto& message = reports_in_transit_.front();
            policy_->observe(message.key, message.evidence);
            if (message.stopped) {
                policy_->proxy_stopped("symptom at a proxy");
            }
            reports_in_transit_.pop_front();
        }
    }

    void make_calls(double now)
    {
        const double rate =
            scenario_.calls_per_s * (scenario_.traffic_factor ? scenario_.traffic_factor(now) : 1);
        std::poisson_distribution<int> arrivals(rate * time_step_s);
        const int count = arrivals(random_);
        constexpr double smoothing = 0.05;
        new_calls_per_s_ += smoothing * (new_calls_in_step_ / time_step_s - new_calls_per_s_);
        new_calls_in_step_ = 0;
        for (int i = 0; i < count; ++i) {
            make_call(now + time_step_s * i / count);
        }
    }

    void make_call(double now)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        const auto index = static_cast<std::size_t>(uniform(random_) * proxy_count);
        auto& target_proxy = proxies_.at(index);
        call_context call;
        call.time_s = now;
        call.zone = index % zone_count;
        call.route = pick_route(uniform(random_));
        call.to_new_release =
            !target_proxy.stopped && uniform(random_) * full_share_permille < target_proxy.share;
        if (call.to_new_release) {
            first_new_call_s_ = first_new_call_s_ < 0 ? now : first_new_call_s_;
            call.new_release_age_s = now - first_new_call_s_;
            new_calls_in_step_ += 1;
            call.new_calls_per_s = new_calls_per_s_;
        }
        call.uniform_sample = uniform(random_);
        const auto effect = scenario_.effect ? scenario_.effect(call) : call_effect{};
        const double base_failure_ratio =
            call.to_new_release ? scenario_.new_failure_ratio : scenario_.old_failure_ratio;
        const bool failed_by_effect = uniform(random_) < effect.failure_probability;
        const bool failed = failed_by_effect || uniform(random_) < base_failure_ratio;
        if (call.to_new_release) {
            count_new_call(now, effect.is_fault && (failed_by_effect || effect.latency_factor > 1));
        }
        record_call(target_proxy, call, failed, latency_ms(call) * effect.latency_factor, now);
    }

    std::size_t pick_route(double sample) const
    {
        std::size_t route = 0;
        while (route + 1 < route_count && sample >= scenario_.route_shares.at(route)) {
            sample -= scenario_.route_shares.at(route);
            ++route;
        }
        return route;
    }

    double latency_ms(const call_context& call)
    {
        std::lognormal_distribution<double> latency_noise(0, scenario_.log_latency_deviation);
        const double factor = call.to_new_release ? scenario_.new_latency_factor : 1;
        return scenario_.route_latency_ms.at(call.route) * factor * latency_noise(random_);
    }

    void count_new_call(double now, bool shows_fault)
    {
        result_.new_calls += 1;
        last_new_call_s_ = now;
        if (shows_fault && first_fault_s_ < 0) {
            first_fault_s_ = now;
        }
        result_.calls_after_fault += first_fault_s_ >= 0 ? 1 : 0;
    }

    static void record_call(proxy& target_proxy, const call_context& call, bool failed, double ms,
                            double now)
    {
        call_evidence evidence;
        if (failed) {
            evidence.failures = 1;
        } else {
            evidence.successes = 1;
            evidence.latency.add(duration(std::llround(ms * 1e6)));
        }
        const auto side =
            call.to_new_release ? release_side::new_release : release_side::old_release;
        target_proxy.unreported[{call.route, side}].add(evidence);
        target_proxy.symptom_detector.observe(side, evidence);
        if (failed && call.to_new_release) {
            target_proxy.next_report_s =
                std::min(target_proxy.next_report_s, now + failure_report_s);
        }
    }

    void send_reports(double now)
    {
        for (std::size_t i = 0; i < proxy_count; ++i) {
            auto& target_proxy = proxies_.at(i);
            if (now >= target_proxy.next_window_s) {
                target_proxy.next_window_s += report_period_s;
                const auto symptom = target_proxy.symptom_detector.close_window(target_proxy.stage);
                target_proxy.stopped =
                    target_proxy.stopped || (symptom && policy_->stops_locally());
            }
            if (now < target_proxy.next_report_s) {
                continue;
            }
            target_proxy.next_report_s = now + report_period_s;
            for (auto& [key, evidence] : std::exchange(target_proxy.unreported, {})) {
                reports_in_transit_.push_back(
                    {now + report_delay_s,
                     {zone_id{"zone-" + std::to_string(i % zone_count)},
                      route_id{"route-" + std::to_string(key.first)}, key.second},
                     evidence,
                     target_proxy.stopped});
            }
        }
    }

    void decide(double now)
    {
        const auto decision = policy_->decide(to_wall_time(now));
        if (decision.action == move_action::hold) {
            return;
        }
        constexpr std::array phases{move_phase::progressing, move_phase::progressing,
                                    move_phase::completed, move_phase::reverted,
                                    move_phase::refused};
        status_.phase = phases.at(static_cast<std::size_t>(decision.action));
        const bool completed = status_.phase == move_phase::completed;
        status_.share =
            completed ? permille{static_cast<std::int32_t>(full_share_permille)} : decision.share;
        status_.stage = decision.stage;
        status_.reason = decision.reason;
        status_.changed_at = to_wall_time(now);
        std::uniform_real_distribution<double> propagation_s(min_propagation_s, max_propagation_s);
        double last = 0;
        for (std::size_t i = 0; i < proxy_count; ++i) {
            statuses_in_transit_.push_back({now + propagation_s(random_), i, status_});
            last = std::max(last, statuses_in_transit_.back().due_s);
        }
        result_.in_time = last <= scenario_.deadline_s;
        policy_->set_move(spec_, status_, to_wall_time(now));
    }

    run_result finish()
    {
        result_.phase = status_.phase;
        result_.reason = status_.reason;
        result_.stage = status_.stage;
        if (first_fault_s_ >= 0) {
            result_.time_to_stop_s = last_new_call_s_ - first_fault_s_;
        }
        const bool completed = status_.phase == move_phase::completed && result_.in_time;
        const bool reverted = status_.phase == move_phase::reverted;
        const bool has_too_little_traffic =
            status_.reason.find("too little traffic") != std::string::npos;
        switch (scenario_.expected) {
        case expectation::completed:
            result_.is_expected = completed;
            break;
        case expectation::reverted:
            result_.is_expected = reverted;
            break;
        default:
            result_.is_expected = completed || (reverted && has_too_little_traffic &&
                                                !scenario_.complete_on_thin_evidence);
            break;
        }
        return result_;
    }

    const scenario& scenario_;
    random_engine random_;
    std::unique_ptr<policy_under_test> policy_;
    move_spec spec_;
    move_status status_;
    std::array<proxy, proxy_count> proxies_;
    std::deque<report_in_transit> reports_in_transit_;
    std::vector<status_in_transit> statuses_in_transit_;
    run_result result_;
    double first_new_call_s_ = -1;
    double last_new_call_s_ = 0;
    double first_fault_s_ = -1;
    double new_calls_per_s_ = 0;
    double new_calls_in_step_ = 0;
};

} // namespace

std::string to_string(policy_kind kind)
{
    constexpr std::array names{"sequential", "timer", "error_ratio"};
    return names.at(static_cast<std::size_t>(kind));
}

std::unique_ptr<policy_under_test> make_policy(policy_kind kind, const move_spec& spec,
                                               duration cold_start)
{
    constexpr double error_ratio = 0.05;
    switch (kind) {
    case policy_kind::timer:
        return std::make_unique<timed_policy>(std::nullopt);
    case policy_kind::error_ratio:
        return std::make_unique<timed_policy>(error_ratio);
    default:
        return std::make_unique<sequential_policy>(spec, cold_start);
    }
}

run_result run_move(policy_kind kind, const scenario& simulated, std::uint64_t seed)
{
    return move_run(kind, simulated, seed).run();
}

} // namespace camphor::bench
