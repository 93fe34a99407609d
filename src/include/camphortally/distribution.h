// Carries accepted changes to every node and counts who holds them.
#pragma once

#include <camphortally/acknowledgements.h>
#include <camphortally/backoff.h>
#include <camphortally/effect.h>
#include <camphortally/platform_client.h>
#include <camphortally/snapshot.h>
#include <camphortally/snapshot_compactor.h>
#include <camphortally/table_poller.h>
#include <camphortally/timer.h>

#include <vector>

namespace camphor {

struct step_context;

/// Three ways, each enough alone: the accepting node pushes to the relays of every zone and they
/// down their push trees; the relays poll the table; every node compares with a random peer.
class distribution {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);
    void on_frame(step_context& context, const wire::frame& frame);
    /// This node accepted `item` as a new version: tells the relays of all zones.
    void on_accepted(step_context& context, const change& item);
    /// The store holds a newer version than before.
    void on_applied(step_context& context);
    /// This node was alone and has heard from peers.
    void on_peers_known(step_context& context);
    /// A frame of `node` told which version it holds.
    void note_version(step_context& context, const node_id& node, incarnation life,
                      config_version version);

    /// Live nodes not known to hold `version`, in id order.
    std::vector<node_id> missing_nodes(const step_context& context, config_version version) const
    {
        return acks_.missing_nodes(context, version);
    }

private:
    void push(step_context& context, config_version base, const std::vector<node_id>& peers);
    void compare_with_peer(step_context& context);
    void pull_from(step_context& context, const node_id& peer);
    void on_delta(step_context& context, const wire::frame& frame);
    void on_pull(step_context& context, const wire::frame& frame);
    void on_full(step_context& context, const wire::frame& frame);
    void on_busy(step_context& context, const wire::frame& frame);
    void answer_pull(step_context& context, const node_id& peer,
                     const wire::config_pull_message& pull);

    table_poller poller_;
    snapshot_compactor compactor_;
    acknowledgements acks_;
    /// Full snapshots served: a herd of restarted nodes must not take all of this node's time.
    token_bucket full_admission_{4, 8};
    /// Version that the children were last told of.
    config_version pushed_;
    /// Base of the last apply.
    config_version accepted_base_;
    /// No answer to the last pull is expected any more after this.
    time_point pull_expires_{};
    /// A delta did not fit: the next pull asks for everything.
    bool want_full_ = false;
};

} // namespace camphor
