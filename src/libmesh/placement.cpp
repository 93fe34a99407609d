// Load balancing by expected loss.
#include "libmesh/placement.h"

#include <algorithm>
#include <limits>

namespace camphor::mesh {

namespace {

/// An answer expected within this fraction of the time left is hardly ever late.
constexpr double on_time_fraction = 0.5;
/// An answer expected after this multiple of the time left is nearly always late; single requests
/// take up to twice the mean.
constexpr double late_fraction = 1.2;
/// Fraction of its value that a late answer loses.
constexpr double late_answer_loss = 0.7;
/// Weight of the utilization, which evens out the load among otherwise equal backend servers.
constexpr double utilization_weight = 0.012;
/// Added for a backend server without a free slot, since its queueing time is only an estimate.
constexpr double no_free_slot_loss = 0.1;
/// Benefit of the backend server beside this node, which saves a round trip to another node. Small
/// enough to decide only among otherwise equal candidates.
constexpr double local_gain = 0.0005;
/// Ranks a backend server that has already failed to serve the request behind all others.
constexpr double already_tried_loss = 1;

/// A backend server is slow when its requests may be late and take longer than this percentage of
/// another one's.
constexpr int slow_percent = 150;

} // namespace

int expected_load(const candidate& target)
{
    const int load = target.running + target.waiting;
    if (target.mean_hold.count() <= 0) {
        return load;
    }
    const auto expected_ended = target.report_age * std::max(target.slots, 1) / target.mean_hold;
    return static_cast<int>(std::max<duration::rep>(0, load - expected_ended));
}

bool seems_free(const candidate& target)
{
    const int load =
        target.announces_free_slots ? target.running + target.waiting : expected_load(target);
    return load < target.slots;
}

bool is_avoided(const candidate& target, const std::vector<candidate>& options, duration objective,
                bool safe)
{
    if (target.failure_ratio > 0) {
        return safe;
    }
    const bool may_be_late = static_cast<double>(target.mean_hold.count()) >
                             on_time_fraction * static_cast<double>(objective.count());
    return may_be_late && std::any_of(options.begin(), options.end(), [&](const auto& option) {
               return option.hold_is_measured &&
                      target.mean_hold > option.mean_hold * slow_percent / 100;
           });
}

double placement_cost(const candidate& target, const placement_request& request)
{
    const int slots = std::max(target.slots, 1);
    const int load = expected_load(target);
    const int excess = load + 1 - slots;
    const auto wait = excess > 0 ? target.mean_hold * excess / slots : duration{};
    const double time_left = std::max(1.0, static_cast<double>(request.objective_left.count()));
    const double time_fraction = static_cast<double>((target.mean_hold + wait).count()) / time_left;
    const double late = std::clamp(
        (time_fraction - on_time_fraction) / (late_fraction - on_time_fraction), 0.0, 1.0);
    // Keeps preferring the shorter wait when every candidate misses the objective.
    const double overdue = std::max(0.0, time_fraction - late_fraction) * utilization_weight;
    const double utilization = static_cast<double>(load) / slots;
    return late * late_answer_loss + overdue + target.failure_ratio +
           (target.same_zone ? 0 : request.crossing_cost) +
           utilization_weight * utilization * (0.5 + request.jitter) +
           (excess > 0 ? no_free_slot_loss : 0) + (target.tried ? already_tried_loss : 0) -
           (target.is_local ? local_gain : 0);
}

std::optional<std::size_t> choose_candidate(const std::vector<candidate>& candidates,
                                            const placement_request& request)
{
    std::optional<std::size_t> best;
    double lowest = std::numeric_limits<double>::infinity();
    // A random start spreads requests evenly over equal candidates, also to one that has just
    // joined.
    const auto first =
        static_cast<std::size_t>(request.jitter * static_cast<double>(candidates.size()));
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto i = (first + step) % candidates.size();
        const auto cost = placement_cost(candidates[i], request);
        if (cost < lowest) {
            lowest = cost;
            best = i;
        }
    }
    return best;
}

} // namespace camphor::mesh
