// Rendezvous ranking and push trees.
#include <camphortally/rendezvous.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

/// Children of one node in one tree.
constexpr std::size_t fan_out = 4;

void add_children(const std::vector<node_id>& ranking, std::size_t position, bool backwards,
                  std::vector<node_id>& out)
{
    const auto last = ranking.size() - 1;
    const auto place = backwards ? last - position : position;
    for (std::size_t i = 1; i <= fan_out; ++i) {
        const auto child = place * fan_out + i;
        if (child > last) {
            break;
        }
        const auto& node = ranking[backwards ? last - child : child];
        if (std::find(out.begin(), out.end(), node) == out.end()) {
            out.push_back(node);
        }
    }
}

} // namespace

std::uint64_t rendezvous_weight(const std::string& key, const node_id& node)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.value().data(), node.value().size(), seed);
}

std::vector<node_id> rank_nodes(const zone_id& zone, std::vector<node_id> nodes)
{
    std::vector<std::pair<std::uint64_t, node_id>> weighted;
    weighted.reserve(nodes.size());
    for (auto& node : nodes) {
        weighted.emplace_back(rendezvous_weight(zone.value(), node), std::move(node));
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<node_id> out;
    out.reserve(weighted.size());
    for (auto& item : weighted) {
        out.push_back(std::move(item.second));
    }
    return out;
}

push_trees::push_trees(std::vector<node_id> ranking) : ranking_(std::move(ranking))
{
    if (!ranking_.empty()) {
        roots_.push_back(ranking_.front());
    }
    if (ranking_.size() > 1) {
        roots_.push_back(ranking_.back());
    }
}

bool push_trees::is_root(const node_id& node) const
{
    return std::find(roots_.begin(), roots_.end(), node) != roots_.end();
}

std::vector<node_id> push_trees::children(const node_id& node) const
{
    std::vector<node_id> out;
    const auto found = std::find(ranking_.begin(), ranking_.end(), node);
    if (found == ranking_.end()) {
        return out;
    }
    const auto position = static_cast<std::size_t>(found - ranking_.begin());
    add_children(ranking_, position, false, out);
    add_children(ranking_, position, true, out);
    return out;
}

} // namespace camphor
