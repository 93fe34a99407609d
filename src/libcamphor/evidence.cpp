// Comparison of two releases on one part of the traffic.
#include <camphortally/evidence.h>

#include <algorithm>
#include <array>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

constexpr tolerance failure_tolerance{0.002, 0.25, {0.006, 0.03, 0.15, 0.6}};
constexpr tolerance median_tolerance{0.15, 0.25, {0.1, 0.2, 0.35, 0.6}};
constexpr tolerance tail_tolerance{0.015, 0.25, {0.02, 0.06, 0.2, 0.6}};

constexpr double median = 0.5;
constexpr double tail = 0.95;
/// A call is slow when it takes this many times the old release's quantile.
constexpr double slow_factor = 1.5;
/// Differences below this are not held against a release.
constexpr duration least_slowness = 500us;
/// Calls of the old release that set the limits.
constexpr double least_limit_calls = 50;
/// Windows of the old release that count half after some 7 s.
constexpr double latency_decay = 0.98;

duration slow_limit(duration quantile)
{
    const auto scaled =
        static_cast<duration::rep>(static_cast<double>(quantile.count()) * slow_factor);
    return std::max(duration(scaled), quantile + least_slowness);
}

trial_counts slow_calls(const call_evidence& side, duration limit)
{
    return {side.latency.total(), side.latency.count_above(limit)};
}

trial_counts failed_calls(const call_evidence& side)
{
    return {side.calls(), side.failures};
}

} // namespace

std::string to_string(symptom value)
{
    constexpr std::array names{"failures", "slow_median", "slow_tail"};
    return names.at(static_cast<std::size_t>(value));
}

void call_evidence::add(const call_evidence& other)
{
    successes += other.successes;
    failures += other.failures;
    overloaded += other.overloaded;
    latency.add(other.latency);
}

traffic_slice::traffic_slice()
    : failures_(failure_tolerance), slow_median_(median_tolerance), slow_tail_(tail_tolerance)
{
}

void traffic_slice::add_window(const call_evidence& old_side, const call_evidence& new_side)
{
    old_total_.add(old_side);
    new_total_.add(new_side);
    update_limits(old_side);
    failures_.add_window(failed_calls(old_side), failed_calls(new_side));
    if (median_limit_ > duration::zero()) {
        slow_median_.add_window(slow_calls(old_side, median_limit_),
                                slow_calls(new_side, median_limit_));
        slow_tail_.add_window(slow_calls(old_side, tail_limit_), slow_calls(new_side, tail_limit_));
    }
}

void traffic_slice::update_limits(const call_evidence& old_side)
{
    if (old_side.successes <= 0) {
        return;
    }
    old_latency_.decay(latency_decay);
    old_latency_.add(old_side.latency);
    if (old_latency_.total() >= least_limit_calls) {
        median_limit_ = slow_limit(old_latency_.quantile(median));
        tail_limit_ = slow_limit(old_latency_.quantile(tail));
    }
}

const release_comparison& traffic_slice::comparison(symptom kind) const
{
    constexpr std::array members{&traffic_slice::failures_, &traffic_slice::slow_median_,
                                 &traffic_slice::slow_tail_};
    return this->*members.at(static_cast<std::size_t>(kind));
}

symptom traffic_slice::worst() const
{
    constexpr std::array all{symptom::failures, symptom::slow_median, symptom::slow_tail};
    return *std::max_element(all.begin(), all.end(), [this](symptom left, symptom right) {
        return comparison(left).strength() < comparison(right).strength();
    });
}

void traffic_slice::restart_latency()
{
    for (auto* comparison : {&slow_median_, &slow_tail_}) {
        comparison->restart();
        comparison->mark();
    }
}

void traffic_slice::mark()
{
    failures_.mark();
    slow_median_.mark();
    slow_tail_.mark();
}

void traffic_slice::set_reference(const trial_counts& failures, duration median_limit,
                                  duration tail_limit)
{
    failures_.set_reference(failures);
    if (median_limit_ == duration::zero()) {
        median_limit_ = median_limit;
        tail_limit_ = tail_limit;
    }
}

void local_judge::observe(release_side side, const call_evidence& seen)
{
    (side == release_side::new_release ? new_window_ : old_window_).add(seen);
}

std::optional<symptom> local_judge::close_window(std::int32_t stage)
{
    slice_.add_window(std::exchange(old_window_, {}), std::exchange(new_window_, {}));
    const auto kind = stage > 1 ? slice_.worst() : symptom::failures;
    if (!slice_.comparison(kind).is_worse()) {
        return std::nullopt;
    }
    return kind;
}

} // namespace camphor
