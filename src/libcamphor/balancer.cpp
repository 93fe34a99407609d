// Choice of an instance: zone, health, then power of two choices.
#include <camphortally/balancer.h>
#include <camphortally/node.h>

#include <xxhash.h>

#include <algorithm>

namespace camphor {

namespace {

using namespace std::chrono_literals;

constexpr std::int32_t ejection_failures = 5;
constexpr duration ejection_base = 5s;
constexpr std::int32_t ejection_longest = 12; // times ejection_base
constexpr duration saturation_span = 50ms;
/// Stands for an instance whose latency is not known yet.
constexpr duration unknown_latency = 1ms;
constexpr double latency_weight = 0.1;
constexpr double least_warm = 0.1;

bool was_tried(const pick_request& request, const instance_view& view)
{
    return std::any_of(request.tried.begin(), request.tried.end(), [&](const instance_key& key) {
        return key.node == view.node && key.backend == view.backend.backend;
    });
}

/// Part of its share that an instance gets while it is cold.
double warmth(const instance_stats& stats, const instance_view& view, duration cold_start,
              time_point now)
{
    if (view.backend.state == backend_state::warming) {
        return least_warm;
    }
    if (cold_start <= 0ns) {
        return 1.0;
    }
    const double age = static_cast<double>((now - stats.first_seen).count());
    return std::clamp(age / static_cast<double>(cold_start.count()), least_warm, 1.0);
}

double cost(const instance_stats& stats, const instance_view& view, duration cold_start,
            time_point now)
{
    const auto latency = std::max(stats.latency, unknown_latency);
    const double load = static_cast<double>(stats.in_flight) + 1.0;
    return static_cast<double>(latency.count()) * load / warmth(stats, view, cold_start, now);
}

std::uint64_t rank_of(const instance_view& view, std::uint64_t key)
{
    return affinity_rank(view.node, view.backend.backend, key);
}

} // namespace

std::uint64_t affinity_rank(const node_id& node, const backend_id& backend, std::uint64_t key)
{
    return stable_hash(node.value() + "/" + backend.value(), key);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

const instance_view* balancer::pick(step_context& context, const pick_request& request)
{
    auto& from = refreshed(context, request.service, request.upstream.release);
    for (const bool own_zone : {true, false}) {
        collect(context, from, request, own_zone);
        drop_ejected(context.now);
        prefer_unsaturated(context.now);
        const bool saturated =
            !candidates_.empty() && candidates_.front()->stats.saturated_until > context.now;
        if (saturated && own_zone) {
            continue; // spill over to the other zones
        }
        if (const auto* chosen = choose(context, request)) {
            return &chosen->view;
        }
    }
    collect(context, from, request, true);
    const auto* chosen = choose(context, request);
    return chosen == nullptr ? nullptr : &chosen->view;
}

balancer::group& balancer::refreshed(step_context& context, const service_id& service,
                                     const release_id& release)
{
    auto& held = groups_[{service, release}];
    const auto generation = context.node.members.generation() + 1;
    if (held.generation == generation) {
        return held;
    }
    group next;
    next.generation = generation;
    for (const auto& view : context.node.members.instances(service, release)) {
        if (view.node == context.node.settings.node) {
            continue;
        }
        const auto* old = stats(service, release, {view.node, view.backend.backend});
        instance_stats kept;
        kept.first_seen = context.now;
        next.entries.push_back({view, old == nullptr ? kept : *old});
    }
    held = std::move(next);
    return held;
}

void balancer::collect(step_context& context, group& from, const pick_request& request,
                       bool own_zone)
{
    candidates_.clear();
    for (auto& item : from.entries) {
        const bool fits = (item.view.zone == context.node.settings.zone) == own_zone;
        if (fits && !was_tried(request, item.view)) {
            candidates_.push_back(&item);
        }
    }
}

void balancer::drop_ejected(time_point now)
{
    scratch_.clear();
    std::copy_if(candidates_.begin(), candidates_.end(), std::back_inserter(scratch_),
                 [&](const entry* item) { return item->stats.ejected_until <= now; });
    if (scratch_.size() * 2 >= candidates_.size()) {
        candidates_.swap(scratch_);
    }
}

void balancer::prefer_unsaturated(time_point now)
{
    scratch_.clear();
    std::copy_if(candidates_.begin(), candidates_.end(), std::back_inserter(scratch_),
                 [&](const entry* item) { return item->stats.saturated_until <= now; });
    if (!scratch_.empty()) {
        candidates_.swap(scratch_);
    }
}

const balancer::entry* balancer::choose(step_context& context, const pick_request& request) const
{
    if (candidates_.empty()) {
        return nullptr;
    }
    if (request.affinity) {
        return *std::max_element(candidates_.begin(), candidates_.end(),
                                 [&](const entry* left, const entry* right) {
                                     return rank_of(left->view, *request.affinity) <
                                            rank_of(right->view, *request.affinity);
                                 });
    }
    if (candidates_.size() == 1) {
        return candidates_.front();
    }
    const auto draw = context.node.random();
    const auto first = draw % candidates_.size();
    const auto step = 1 + (draw >> 32U) % (candidates_.size() - 1);
    const auto* left = candidates_[first];
    const auto* right = candidates_[(first + step) % candidates_.size()];
    const auto cold = request.upstream.cold_start;
    const bool left_wins = cost(left->stats, left->view, cold, context.now) <=
                           cost(right->stats, right->view, cold, context.now);
    return left_wins ? left : right;
}

void balancer::started(const instance_view& instance)
{
    auto* item = find(instance.backend.service, instance.backend.release,
                      {instance.node, instance.backend.backend});
    if (item != nullptr) {
        ++item->stats.in_flight;
    }
}

void balancer::finished(const service_id& service, const release_id& release,
                        const instance_key& who, instance_outcome outcome, duration latency,
                        time_point now)
{
    auto* item = find(service, release, who);
    if (item == nullptr) {
        return;
    }
    auto& stats = item->stats;
    stats.in_flight = std::max(0, stats.in_flight - 1);
    if (outcome == instance_outcome::overloaded) {
        stats.saturated_until = now + saturation_span;
    }
    if (outcome == instance_outcome::success) {
        stats.consecutive_failures = 0;
        stats.ejections = 0;
        const auto blend = duration(static_cast<duration::rep>(
            static_cast<double>(stats.latency.count()) * (1 - latency_weight) +
            static_cast<double>(latency.count()) * latency_weight));
        stats.latency = std::max(latency, blend);
    }
    if (outcome == instance_outcome::failure && ++stats.consecutive_failures >= ejection_failures) {
        eject(groups_.at({service, release}), *item, now);
    }
}

void balancer::eject(group& from, entry& item, time_point now)
{
    const auto ejected =
        std::count_if(from.entries.begin(), from.entries.end(),
                      [&](const entry& other) { return other.stats.ejected_until > now; });
    const auto limit = std::max<std::ptrdiff_t>(
        from.entries.size() > 1 ? 1 : 0, static_cast<std::ptrdiff_t>(from.entries.size() / 3));
    if (ejected >= limit) {
        return;
    }
    item.stats.consecutive_failures = 0;
    item.stats.ejections = std::min(item.stats.ejections + 1, ejection_longest);
    item.stats.ejected_until = now + ejection_base * item.stats.ejections;
}

balancer::entry* balancer::find(const service_id& service, const release_id& release,
                                const instance_key& who)
{
    const auto held = groups_.find({service, release});
    if (held == groups_.end()) {
        return nullptr;
    }
    auto& entries = held->second.entries;
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const entry& item) {
        return item.view.node == who.node && item.view.backend.backend == who.backend;
    });
    return found == entries.end() ? nullptr : &*found;
}

const instance_stats* balancer::stats(const service_id& service, const release_id& release,
                                      const instance_key& who) const
{
    const auto* item = const_cast<balancer*>(this)->find(service, release, who);
    return item == nullptr ? nullptr : &item->stats;
}

} // namespace camphor
