// Chooses among the instances of a release behind other nodes.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/membership.h>
#include <camphortally/resource.h>

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace camphor {

/// Identity of a backend server behind a node.
struct instance_key {
    node_id node;
    backend_id backend;
    friend auto operator<=>(const instance_key&, const instance_key&) = default;
};

/// How an attempt at an instance ended, as far as its health is concerned.
enum class instance_outcome : std::uint8_t { success, failure, overloaded, abandoned };

/// What this node has seen of one instance.
struct instance_stats {
    /// Attempts of this node that are not over.
    std::int32_t in_flight = 0;
    /// Exponentially weighted, jumps up to a peak at once; zero before the first answer.
    duration latency{};
    std::int32_t consecutive_failures = 0;
    /// Ejections without a success in between; lengthens the next one.
    std::int32_t ejections = 0;
    time_point first_seen{};
    time_point ejected_until{};
    /// It refused for overload; others come first until then.
    time_point saturated_until{};
};

/// What a choice has to respect.
struct pick_request {
    const service_id& service;
    const upstream_spec& upstream;
    /// Instances that this call already tried.
    const std::vector<instance_key>& tried;
    /// For calls with an idempotency key: always the same instance while members stay the same.
    std::optional<std::uint64_t> affinity;
};

/// Power of two choices by peak latency and own attempts in flight, same zone first.
/// Invariants: at most a third of a release's instances (but one of two) are ejected; ejection is
/// ignored while it would leave less than half of the zone's instances.
class balancer {
public:
    /// Null when no other node has an instance that takes new work and was not tried.
    const instance_view* pick(step_context& context, const pick_request& request);

    void started(const instance_view& instance);
    void finished(const service_id& service, const release_id& release, const instance_key& who,
                  instance_outcome outcome, duration latency, time_point now);

    /// Null when unknown; for tests and metrics.
    const instance_stats* stats(const service_id& service, const release_id& release,
                                const instance_key& who) const;

private:
    struct entry {
        instance_view view;
        instance_stats stats;
    };
    /// Instances of one release, in key order.
    struct group {
        std::uint64_t generation = 0;
        std::vector<entry> entries;
    };
    using group_key = std::pair<service_id, release_id>;
    using entry_list = std::vector<entry*>;

    group& refreshed(step_context& context, const service_id& service, const release_id& release);
    void collect(step_context& context, group& from, const pick_request& request, bool own_zone);
    void drop_ejected(time_point now);
    void prefer_unsaturated(time_point now);
    const entry* choose(step_context& context, const pick_request& request) const;
    static void eject(group& from, entry& item, time_point now);
    entry* find(const service_id& service, const release_id& release, const instance_key& who);

    std::map<group_key, group> groups_;
    /// Candidates of the choice in progress; kept to spare allocations.
    entry_list candidates_;
    entry_list scratch_;
};

/// Hash for affinity and fingerprints; the same on every node.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);
/// Rank of an instance for a key; the highest one serves it.
std::uint64_t affinity_rank(const node_id& node, const backend_id& backend, std::uint64_t key);

} // namespace camphor
