// Records of all known nodes.
#include <camphortally/roster.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace camphor {

namespace {

std::uint64_t record_hash(const member& item)
{
    const std::array<std::int64_t, 2> version{item.life.value(), item.revision};
    const auto seed = XXH3_64bits(version.data(), sizeof(version));
    return XXH3_64bits_withSeed(item.node.value().data(), item.node.value().size(), seed);
}

bool before(const instance_view& left, const instance_view& right)
{
    return std::tie(left.node, left.backend.backend) < std::tie(right.node, right.backend.backend);
}

bool is_live_state(member_state state)
{
    return state <= member_state::suspect;
}

} // namespace

bool is_newer(const member& left, const member& right)
{
    return std::tie(left.life, left.revision, left.state) >
           std::tie(right.life, right.revision, right.state);
}

bool roster::merge(const member& item)
{
    const auto* known = find(item.node);
    if (known != nullptr && !is_newer(item, *known)) {
        return false;
    }
    if (const auto old = live_.find(item.node); old != live_.end()) {
        remove_live(old->second);
        live_.erase(old);
    }
    gone_.erase(item.node);
    if (is_live_state(item.state)) {
        add_live(live_[item.node] = item);
    } else {
        gone_[item.node] = item;
    }
    return true;
}

void roster::add_live(const member& item)
{
    auto& zone = zones_[item.zone];
    const auto place = std::lower_bound(zone.nodes.begin(), zone.nodes.end(), item.node);
    zone.nodes.insert(place, item.node);
    zone.digest += record_hash(item);
    zone.trees_valid = false;
    index_instances(item);
}

void roster::remove_live(const member& item)
{
    auto& zone = zones_[item.zone];
    zone.nodes.erase(std::lower_bound(zone.nodes.begin(), zone.nodes.end(), item.node));
    zone.digest -= record_hash(item);
    zone.trees_valid = false;
    unindex_instances(item);
}

void roster::index_instances(const member& item)
{
    for (const auto& backend : item.backends) {
        if (backend.state == backend_state::draining) {
            continue;
        }
        auto& list = instances_[{backend.service, backend.release}];
        instance_view view{item.node, item.zone, item.peer.host, item.call_port, backend};
        list.insert(std::lower_bound(list.begin(), list.end(), view, before), view);
        ++generation_;
    }
}

void roster::unindex_instances(const member& item)
{
    for (const auto& backend : item.backends) {
        const auto found = instances_.find({backend.service, backend.release});
        if (found == instances_.end()) {
            continue;
        }
        std::erase_if(found->second,
                      [&](const instance_view& view) { return view.node == item.node; });
        if (found->second.empty()) {
            instances_.erase(found);
        }
        ++generation_;
    }
}

const member* roster::find(const node_id& node) const
{
    if (const auto found = live_.find(node); found != live_.end()) {
        return &found->second;
    }
    const auto found = gone_.find(node);
    return found == gone_.end() ? nullptr : &found->second;
}

std::vector<node_id> roster::live_nodes(const zone_id& zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? std::vector<node_id>{} : found->second.nodes;
}

std::vector<zone_id> roster::zones() const
{
    std::vector<zone_id> out;
    for (const auto& [zone, entry] : zones_) {
        if (!entry.nodes.empty()) {
            out.push_back(zone);
        }
    }
    return out;
}

std::uint64_t roster::digest(const zone_id& zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? 0 : found->second.digest;
}

std::uint64_t roster::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [zone, entry] : zones_) {
        sum += entry.digest;
    }
    return sum;
}

const push_trees& roster::trees(const zone_id& zone) const
{
    static const push_trees none;
    const auto found = zones_.find(zone);
    if (found == zones_.end()) {
        return none;
    }
    const auto& entry = found->second;
    if (!entry.trees_valid) {
        entry.trees = push_trees(rank_nodes(zone, entry.nodes));
        entry.trees_valid = true;
    }
    return entry.trees;
}

const std::vector<instance_view>& roster::instances(const service_id& service,
                                                    const release_id& release) const
{
    static const std::vector<instance_view> none;
    const auto found = instances_.find({service, release});
    return found == instances_.end() ? none : found->second;
}

} // namespace camphor
