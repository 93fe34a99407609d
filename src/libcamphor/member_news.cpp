// Spreading of member records.
#include <camphortally/member_news.h>
#include <camphortally/node.h>

#include "membership_timers.h"
#include "wire_codec.h"

#include <algorithm>
#include <bit>

namespace camphor {

namespace {

using namespace std::chrono_literals;

/// News of this long go out as one frame for each peer.
constexpr duration flush_period = 50ms;
constexpr std::size_t attached_limit = 6;
/// A record is attached to this many probes for each doubling of the zone's size.
constexpr int attach_factor = 3;

std::vector<node_id> without(std::vector<node_id> nodes, const node_id& left_out)
{
    std::erase(nodes, left_out);
    return nodes;
}

} // namespace

void member_news::add(step_context& context, const member& item, news_origin origin)
{
    const auto& self = context.node.settings;
    const bool own_zone = item.zone == self.zone;
    const auto& members = context.node.members;
    if (origin == news_origin::suspicion) {
        if (own_zone) {
            const auto size = members.trees(self.zone).size();
            attached_[item.node] = attach_factor * static_cast<int>(std::bit_width(size));
        }
        return;
    }
    for_children_.insert(item.node);
    if (origin == news_origin::here) {
        for_relays_.insert(item.node);
    }
    if (own_zone && members.trees(self.zone).is_root(self.node)) {
        for_zones_.insert(item.node);
    }
    if (!flush_set_) {
        flush_set_ = true;
        const auto wait = std::max(duration{}, last_flush_ + flush_period - context.now);
        context.start_timer(timer_of(membership_timer::flush_news), wait);
    }
}

void member_news::flush(step_context& context)
{
    flush_set_ = false;
    last_flush_ = context.now;
    const auto& self = context.node.settings;
    const auto& members = context.node.members;
    const auto& trees = members.trees(self.zone);
    send(context, trees.children(self.node), for_children_);
    send(context, without(trees.roots(), self.node), for_relays_);
    if (!for_zones_.empty()) {
        send(context, members.opposite_relays(context), for_zones_);
    }
    for_children_.clear();
    for_relays_.clear();
    for_zones_.clear();
}

void member_news::send(step_context& context, const std::vector<node_id>& peers,
                       const std::set<node_id>& news) const
{
    if (news.empty() || peers.empty()) {
        return;
    }
    wire::roster_push_message message;
    for (const auto& node : news) {
        if (const auto* record = context.node.members.find(node)) {
            message.members.push_back(to_wire(*record));
        }
    }
    wire::frame frame;
    frame.__set_roster_push(message);
    for (const auto& peer : peers) {
        context.node.members.send_to(context, peer, frame);
    }
}

std::vector<node_id> member_news::attach()
{
    std::vector<std::pair<int, node_id>> order;
    for (const auto& [node, left] : attached_) {
        order.emplace_back(-left, node);
    }
    const auto count = std::min(order.size(), attached_limit);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    std::vector<node_id> out;
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = attached_.find(order[i].second);
        if (--found->second <= 0) {
            attached_.erase(found);
        }
        out.push_back(order[i].second);
    }
    return out;
}

} // namespace camphor
