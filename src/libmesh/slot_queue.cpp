// Admission to the slots of a backend server.
#include "libmesh/slot_queue.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

/// A request that holds a slot for the mean time divided by this is short.
constexpr int short_ratio = 2;
/// Nine in ten requests hold a slot for less than this many times the mean.
constexpr int safe_holds = 2;

} // namespace

int slot_queue::free_slots() const
{
    return slots_ - running() - foreign_;
}

duration slot_queue::wait_behind(std::map<waiting_key, slot_request>::const_iterator last) const
{
    auto work = mean_hold();
    for (auto entry = waiting_.begin(); entry != last; ++entry) {
        work += hold(entry->second.route, mean_hold());
    }
    return work / std::max(slots_, 1);
}

slot_queue::waiting_key slot_queue::key_of(const slot_request& item, time_point now) const
{
    const bool late = now + hold(item.route, mean_hold()) > item.objective;
    return {item.rank, late, item.objective, arrivals_};
}

slot_queue::decision slot_queue::offer(const slot_request& item, time_point now)
{
    ++arrivals_;
    if (slots_ > 0 && free_slots() > 0 && waiting_.empty()) {
        running_.emplace(item.run, started{item.route, now});
        return {verdict::run, {}};
    }
    const auto wanted = decide_wait(item, now);
    if (wanted.what == verdict::wait) {
        waiting_.emplace(key_of(item, now), item);
    }
    return wanted;
}

slot_queue::decision slot_queue::decide_wait(const slot_request& item, time_point now) const
{
    const auto key = key_of(item, now);
    const auto wait = wait_behind(waiting_.upper_bound(key));
    if (slots_ == 0 || !item.may_wait) {
        return {verdict::refuse, wait};
    }
    const auto done = now + wait + hold(item.route, mean_hold());
    if (done > item.deadline) {
        return {verdict::refuse, wait};
    }
    // A short request, such as a call that a running one waits for, costs the others little.
    if (hold(item.route, mean_hold()) * short_ratio <= mean_hold()) {
        return {verdict::wait, wait};
    }
    // While others wait, serving one that is late already makes one late that could be in time.
    const auto safely_done = now + wait + hold(item.route, mean_hold()) * safe_holds;
    if (key.late ? !waiting_.empty() : safely_done > item.objective) {
        return {verdict::refuse, wait};
    }
    return {verdict::wait, wait};
}

void slot_queue::finish(run_id run, bool answered, time_point now)
{
    const auto found = running_.find(run);
    if (found != running_.end()) {
        if (answered) {
            holds_.add(found->second.route, now - found->second.at);
        }
        running_.erase(found);
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
    if (waiting_.empty() || free_slots() <= 0) {
        return std::nullopt;
    }
    const auto first = waiting_.begin();
    const auto run = first->second.run;
    running_.emplace(run, started{first->second.route, now});
    waiting_.erase(first);
    return run;
}

std::map<int, int> slot_queue::waiting_by_rank() const
{
    std::map<int, int> out;
    for (const auto& [key, item] : waiting_) {
        ++out[key.rank];
    }
    return out;
}

std::vector<run_id> slot_queue::expire(time_point now)
{
    std::vector<run_id> out;
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        const auto& item = entry->second;
        if (now + hold(item.route, mean_hold()) / 2 > item.deadline) {
            out.push_back(item.run);
            entry = waiting_.erase(entry);
        } else {
            ++entry;
        }
    }
    return out;
}

std::vector<run_id> slot_queue::clear_waiting()
{
    std::vector<run_id> out;
    for (const auto& [key, item] : waiting_) {
        out.push_back(item.run);
    }
    waiting_.clear();
    return out;
}

} // namespace camphor::mesh
