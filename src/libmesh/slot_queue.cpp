// Admission queue in front of one backend server.
#include "libmesh/slot_queue.h"

#include <algorithm>
#include <iterator>

namespace camphor::mesh {

namespace {

/// A request is short when its hold time is at most the mean of all requests divided by this.
constexpr int short_request_divisor = 2;
/// Nine in ten requests hold a slot for less than this multiple of the mean.
constexpr int hold_p90_factor = 2;
/// Limits of the time between probes of a backend server that seems full, which doubles with each
/// one that is not served.
constexpr duration max_probe_gap = std::chrono::seconds(1);
constexpr int max_doublings = 4;
/// Span in which the requests of a cold backend server are counted.
constexpr duration cold_window = std::chrono::seconds(1);

} // namespace

void slot_queue::set_cold(time_point until, double per_second)
{
    cold_until_ = until;
    max_cold_starts_ =
        per_second > 0 ? std::max<std::size_t>(1, static_cast<std::size_t>(per_second)) : 0;
}

std::size_t slot_queue::recent_starts(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(cold_starts_.begin(), cold_starts_.end(),
                      [now](time_point start) { return now - start < cold_window; }));
}

duration slot_queue::cold_wait(std::size_t before, time_point now) const
{
    if (!is_cold(now)) {
        return {};
    }
    const auto due = recent_starts(now) + before + 1;
    if (due <= max_cold_starts_) {
        return {};
    }
    const auto over = static_cast<duration::rep>(due - max_cold_starts_);
    return std::min<duration>(cold_window * over / static_cast<duration::rep>(max_cold_starts_),
                              cold_until_ - now);
}

int slot_queue::free_slots(time_point now) const
{
    if (is_cold(now) && recent_starts(now) >= max_cold_starts_) {
        return 0;
    }
    return needs_probe(now) ? 1 : slots_ - running() - untracked_running_;
}

bool slot_queue::needs_probe(time_point now) const
{
    // A running request brings a newer report with its answer. Without one there is none to come,
    // so that a request has to be admitted; only one, since the backend server may still be full.
    if (slots_ == 0 || untracked_running_ < slots_ || !running_.empty()) {
        return false;
    }
    const auto time_to_end = mean_hold() * (1 + untracked_running_ / slots_);
    const auto gap = std::min<duration>(
        time_to_end * (1 << std::min(failed_probes_, max_doublings)), max_probe_gap);
    return now - untracked_reported_at_ > gap;
}

void slot_queue::run_request(const slot_request& request, time_point now)
{
    if (needs_probe(now)) {
        probe_ = request.run;
    }
    running_.emplace(request.run, running_request{request.route, now});
    while (!cold_starts_.empty() && now - cold_starts_.front() >= cold_window) {
        cold_starts_.pop_front();
    }
    if (is_cold(now)) {
        cold_starts_.push_back(now);
    }
}

duration slot_queue::expected_wait(std::map<waiting_key, slot_request>::const_iterator last,
                                   time_point now) const
{
    auto work = mean_hold();
    for (auto entry = waiting_.begin(); entry != last; ++entry) {
        work += hold(entry->second.route, mean_hold());
    }
    const auto before = static_cast<std::size_t>(std::distance(waiting_.begin(), last));
    return std::max(work / std::max(slots_, 1), cold_wait(before, now));
}

slot_queue::waiting_key slot_queue::make_key(const slot_request& request, time_point now) const
{
    const bool late = now + hold(request.route, mean_hold()) > request.objective;
    return {request.rank, late, request.objective, arrival_count_};
}

slot_queue::decision slot_queue::offer(const slot_request& request, time_point now)
{
    ++arrival_count_;
    if (has_free_slot(now)) {
        run_request(request, now);
        return {admission::run, {}};
    }
    const auto decided = wait_or_refuse(request, now);
    if (decided.result == admission::wait) {
        waiting_.emplace(make_key(request, now), request);
    }
    return decided;
}

slot_queue::decision slot_queue::wait_or_refuse(const slot_request& request, time_point now) const
{
    const auto key = make_key(request, now);
    const auto wait = expected_wait(waiting_.upper_bound(key), now);
    if (slots_ == 0 || !request.may_wait) {
        return {admission::refuse, wait};
    }
    const auto expected_end = now + wait + hold(request.route, mean_hold());
    if (expected_end > request.deadline) {
        return {admission::refuse, wait};
    }
    // A short request, such as a nested call that a running request waits for, delays others
    // little.
    if (hold(request.route, mean_hold()) * short_request_divisor <= mean_hold()) {
        return {admission::wait, wait};
    }
    // While other requests wait, serving one that has missed its objective makes another miss its
    // own.
    const auto p90_end = now + wait + hold(request.route, mean_hold()) * hold_p90_factor;
    if (key.late ? !waiting_.empty() : p90_end > request.objective) {
        return {admission::refuse, wait};
    }
    return {admission::wait, wait};
}

void slot_queue::finish(run_id run, bool answered, time_point now)
{
    const auto position = running_.find(run);
    if (position != running_.end()) {
        if (answered) {
            holds_.add(position->second.route, now - position->second.started_at, now);
        }
        running_.erase(position);
        untracked_running_ = std::max(untracked_running_, -running());
        if (probe_ == run) {
            probe_.reset();
            failed_probes_ = answered ? 0 : failed_probes_ + 1;
            untracked_reported_at_ = now;
        }
        return;
    }
    const auto queued = std::find_if(waiting_.begin(), waiting_.end(),
                                     [&](const auto& entry) { return entry.second.run == run; });
    if (queued != waiting_.end()) {
        waiting_.erase(queued);
    }
}

std::optional<run_id> slot_queue::start_next(time_point now)
{
    if (waiting_.empty() || slots_ == 0 || free_slots(now) <= 0) {
        return std::nullopt;
    }
    const auto first = waiting_.extract(waiting_.begin());
    run_request(first.mapped(), now);
    return first.mapped().run;
}

std::map<int, int> slot_queue::waiting_by_rank() const
{
    std::map<int, int> result;
    for (const auto& [key, request] : waiting_) {
        ++result[key.rank];
    }
    return result;
}

std::vector<run_id> slot_queue::expire(time_point now)
{
    std::vector<run_id> result;
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        const auto& request = entry->second;
        if (now + hold(request.route, mean_hold()) / 2 > request.deadline) {
            result.push_back(request.run);
            entry = waiting_.erase(entry);
        } else {
            ++entry;
        }
    }
    return result;
}

std::vector<run_id> slot_queue::clear_waiting()
{
    std::vector<run_id> result;
    for (const auto& [key, request] : waiting_) {
        result.push_back(request.run);
    }
    waiting_.clear();
    return result;
}

} // namespace camphor::mesh
