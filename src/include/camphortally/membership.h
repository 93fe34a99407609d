// Who is in the mesh: nodes, the backend servers beside them, and how they are doing.
#pragma once

#include <camphortally/backoff.h>
#include <camphortally/event_backend.h>
#include <camphortally/failure_detector.h>
#include <camphortally/ids.h>
#include <camphortally/member_news.h>
#include <camphortally/platform_client.h>
#include <camphortally/roster.h>
#include <camphortally/roster_rows.h>
#include <camphortally/timer.h>

#include <map>
#include <optional>
#include <vector>

namespace camphor {

struct step_context;

/// A backend server beside this node, with the address that only this node uses.
struct local_backend {
    backend_view view;
    std::string host;
    std::uint16_t port = 0;
    time_point last_heard;
};

/// Every node holds the record of every other one. News spread at once down the push trees and
/// across zones; a digest exchange with a random peer repairs what was lost.
/// Invariant: the record of a node never goes back to an older (incarnation, revision).
class membership {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);
    void on_frame(step_context& context, const wire::frame& frame);
    void on_event(step_context& context, const backend_event& event);
    /// Announces that this node and its backend servers take no new work.
    void leave(step_context& context);

    /// Members that are alive or suspect, by id, this node included.
    const std::map<node_id, member>& members() const { return roster_.live(); }
    const std::map<backend_id, local_backend>& local_backends() const { return local_; }
    bool is_live(const node_id& node) const { return roster_.is_live(node); }
    /// Live nodes of a zone in id order.
    std::vector<node_id> live_nodes(const zone_id& zone) const { return roster_.live_nodes(zone); }
    /// Instances of one release that take new work, in (node, backend) order. The reference holds
    /// until generation() changes.
    const std::vector<instance_view>& instances(const service_id& service,
                                                const release_id& release) const
    {
        return roster_.instances(service, release);
    }
    /// Changes whenever instances() may answer differently.
    std::uint64_t generation() const { return roster_.generation(); }

    /// Zones with a live node, in id order.
    std::vector<zone_id> zones() const { return roster_.zones(); }
    const push_trees& trees(const zone_id& zone) const { return roster_.trees(zone); }
    /// Over all live records; equal on nodes that agree.
    std::uint64_t digest() const { return roster_.digest(); }
    /// The record in whatever state, or null.
    const member* find(const node_id& node) const { return roster_.find(node); }
    /// Sends to a node by its record; nothing happens when there is none.
    void send_to(step_context& context, const node_id& node, wire::frame frame) const;
    /// Records to attach to a probe of `target`.
    std::vector<wire::member_record> updates_for(const node_id& target);

    /// A live node to compare with, of the own zone when it has another. Empty when this node knows
    /// nobody.
    std::optional<node_id> random_peer(step_context& context) const;
    /// A live node of another zone.
    std::optional<node_id> random_peer_abroad(step_context& context) const;
    /// This node is a root of its zone's push trees.
    bool is_relay() const { return is_relay_; }
    /// The relays of the other zones at this relay's own place, so that both chains stay apart.
    std::vector<node_id> opposite_relays(const step_context& context) const;
    /// Probes a node out of turn to learn its version.
    void ping(step_context& context, const node_id& node) { detector_.ping(context, node); }

    /// Asks the node there to let this one into the mesh.
    void join_at(step_context& context, const peer_address& address) const;

    /// The failure detector got no answer.
    void suspect(step_context& context, const node_id& node);
    /// The suspicion was not refuted in time.
    void declare_dead(step_context& context, const node_id& node);

private:
    void take(step_context& context, const backend_announced& event);
    void take(step_context& context, const backend_gone& event);
    void on_ping(step_context& context, const wire::frame& frame);
    void on_roster_pull(step_context& context, const wire::frame& frame);
    void on_roster_push(step_context& context, const wire::frame& frame);
    void merge_all(step_context& context, const std::vector<wire::member_record>& records);
    void merge(step_context& context, const member& item, news_origin origin);
    void refute(step_context& context, const member& claim);
    void announce_self(step_context& context);
    void drop_silent_backends(step_context& context);
    void join(step_context& context);
    void write_row(step_context& context);
    void watch_relay_duty(step_context& context);
    void ask_digest(step_context& context, const node_id& peer);
    void pull_roster(step_context& context);
    void answer_join(step_context& context, const node_id& asker);
    void send_digests(step_context& context, const node_id& peer);
    void send_differing(step_context& context, const node_id& peer,
                        const std::vector<wire::zone_digest>& theirs);
    void return_newer(step_context& context, const wire::frame& frame);

    roster roster_;
    std::map<backend_id, local_backend> local_;
    failure_detector detector_;
    member_news news_;
    roster_rows rows_;
    decorrelated_backoff join_backoff_{std::chrono::milliseconds(200), std::chrono::seconds(10)};
    std::int64_t own_revision_ = 0;
    bool leaving_ = false;
    bool seeds_tried_ = false;
    /// This node is a root of its zone's push trees.
    bool is_relay_ = false;
    /// The last digest exchange showed a difference.
    bool roster_differs_ = true;
};

} // namespace camphor
