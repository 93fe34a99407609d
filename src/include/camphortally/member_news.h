// Member records on their way out: down the push trees, to the zone's relays, to other zones, and
// attached to probes.
#pragma once

#include <camphortally/ids.h>
#include <wire_types.h>

#include <map>
#include <set>
#include <vector>

namespace camphor {

struct step_context;
struct member;

/// Where a record that is new here came from.
enum class news_origin : std::uint8_t {
    /// This node made it: its own announcement, or a death that it declared.
    here,
    /// A peer sent it.
    peer,
    /// A suspicion: spreads by probes only.
    suspicion,
};

class member_news {
public:
    /// The record changed and has to spread.
    void add(step_context& context, const member& item, news_origin origin);
    /// Sends what waits, in one frame for each peer.
    void flush(step_context& context);
    /// Nodes whose records go with a probe, those sent least often first.
    std::vector<node_id> attach();

private:
    void send(step_context& context, const std::vector<node_id>& peers,
              const std::set<node_id>& news) const;

    /// Suspicions and what settled them, with the number of probes that still carry each.
    std::map<node_id, int> attached_;
    std::set<node_id> for_children_;
    std::set<node_id> for_relays_;
    std::set<node_id> for_zones_;
    time_point last_flush_{};
    bool flush_set_ = false;
};

} // namespace camphor
