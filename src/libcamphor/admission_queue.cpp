// Order of service and of refusal under overload.
#include <camphortally/admission_queue.h>

#include <algorithm>
#include <map>
#include <utility>

namespace camphor {

std::optional<call_id> admission_queue::add(waiting_call item)
{
    waiting_.push_back(std::move(item));
    if (waiting_.size() <= limit_) {
        return std::nullopt;
    }
    const auto loser = least_deserving();
    const auto call = loser->call;
    waiting_.erase(loser);
    return call;
}

/// Of the lowest priority, the oldest call of the caller with most calls waiting.
std::deque<waiting_call>::const_iterator admission_queue::least_deserving() const
{
    const auto lowest =
        std::min_element(waiting_.begin(), waiting_.end(), [](const auto& left, const auto& right) {
            return left.priority < right.priority;
        })->priority;
    std::map<std::string, std::size_t> counts;
    for (const auto& item : waiting_) {
        counts[item.caller] += item.priority == lowest ? 1 : 0;
    }
    const auto busiest =
        std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    return std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& item) {
        return item.priority == lowest && item.caller == busiest->first;
    });
}

std::optional<call_id> admission_queue::next() const
{
    const bool newest_first = waiting_.size() * 2 > limit_;
    const waiting_call* best = nullptr;
    for (const auto& item : waiting_) {
        const bool better = best == nullptr || item.priority > best->priority ||
                            (newest_first && item.priority == best->priority);
        best = better ? &item : best;
    }
    return best == nullptr ? std::nullopt : std::optional(best->call);
}

void admission_queue::remove(const call_id& call)
{
    std::erase_if(waiting_, [&](const auto& item) { return item.call == call; });
}

std::vector<call_id> admission_queue::expire(time_point now)
{
    std::vector<call_id> out;
    std::erase_if(waiting_, [&](const auto& item) {
        const bool over = item.give_up <= now;
        if (over) {
            out.push_back(item.call);
        }
        return over;
    });
    return out;
}

} // namespace camphor
