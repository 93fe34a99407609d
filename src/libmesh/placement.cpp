// Placement by expected loss.
#include "libmesh/placement.h"

#include <algorithm>
#include <limits>

namespace camphor::mesh {

namespace {

/// An answer that takes this part of the time left or less is hardly ever late.
constexpr double safe_part = 0.5;
/// One that takes this part is nearly always late: single requests take up to twice the mean.
constexpr double late_part = 1.2;
/// Value lost by a late answer.
constexpr double late_loss = 0.7;
/// Weight of a backend server's use, to even it out among equals.
constexpr double use_weight = 0.012;
/// Extra loss of a backend server without a free slot: the wait is an estimate.
constexpr double full_loss = 0.1;
/// Value of an exchange with another node that is saved; decides among equals only.
constexpr double own_gain = 0.0005;
/// A backend server that did not serve the request once comes behind all others.
constexpr double tried_loss = 1;

} // namespace

int expected_load(const candidate& item)
{
    const int load = item.running + item.waiting;
    if (item.hold.count() <= 0) {
        return load;
    }
    const auto ended = item.age * std::max(item.slots, 1) / item.hold;
    return static_cast<int>(std::max<duration::rep>(0, load - ended));
}

double placement_cost(const candidate& item, const placement_request& wanted)
{
    const int slots = std::max(item.slots, 1);
    const int load = expected_load(item);
    const int over = load + 1 - slots;
    const auto wait = over > 0 ? item.hold * over / slots : duration{};
    const double left = std::max(1.0, static_cast<double>(wanted.objective_left.count()));
    const double part = static_cast<double>((item.hold + wait).count()) / left;
    const double late = std::clamp((part - safe_part) / (late_part - safe_part), 0.0, 1.0);
    // Beyond the objective the shorter wait is still the better one.
    const double overdue = std::max(0.0, part - late_part) * use_weight;
    const double use = static_cast<double>(load) / slots;
    return late * late_loss + overdue + item.failing + (item.same_zone ? 0 : wanted.crossing_cost) +
           use_weight * use * (0.5 + wanted.jitter) + (over > 0 ? full_loss : 0) +
           (item.tried ? tried_loss : 0) - (item.is_own ? own_gain : 0);
}

std::optional<std::size_t> choose(const std::vector<candidate>& items,
                                  const placement_request& wanted)
{
    std::optional<std::size_t> best;
    double lowest = std::numeric_limits<double>::infinity();
    // From another one each time: idle equals, a newcomer among them, all get their part.
    const auto first = static_cast<std::size_t>(wanted.jitter * static_cast<double>(items.size()));
    for (std::size_t step = 0; step < items.size(); ++step) {
        const auto i = (first + step) % items.size();
        const auto cost = placement_cost(items[i], wanted);
        if (cost < lowest) {
            lowest = cost;
            best = i;
        }
    }
    return best;
}

} // namespace camphor::mesh
