// SWIM-style failure detection within an availability zone: direct probes, indirect probes through
// other nodes, then suspicion that the suspect can refute.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/timer.h>
#include <wire_types.h>

#include <map>
#include <optional>
#include <vector>

namespace camphor {

struct step_context;

/// Invariant: a node is declared dead only after a failed direct probe, failed indirect probes and
/// the suspicion time, all judged while this node itself ran on time and heard some other node.
class failure_detector {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_ping_request(step_context& context, const wire::frame& frame);
    void on_ping_ack(step_context& context, const wire::frame& frame);
    /// A newer record cleared the suspicion or settled it.
    void clear(const node_id& node) { suspects_.erase(node); }
    /// Another node's suspicion was heard of; it runs out here too.
    void note_suspect(step_context& context, const node_id& node);
    /// Some node, of whatever zone, was heard.
    void note_heard(time_point now) { heard_at_ = now; }
    /// Probes out of turn; silence counts for nothing.
    void ping(step_context& context, const node_id& node);

private:
    struct probe {
        node_id target;
        std::int64_t sequence = 0;
        bool answered = false;
    };
    /// A probe run on behalf of another node.
    struct relayed_probe {
        node_id asker;
        std::int64_t asker_sequence = 0;
        time_point expires;
    };

    void tick(step_context& context);
    bool can_judge(const step_context& context) const;
    std::vector<node_id> helpers_for(step_context& context, const node_id& target) const;
    /// True when some probe of the last period went unanswered.
    bool judge_last_probes(step_context& context);
    void expire_suspects(step_context& context);
    void probe_next(step_context& context);
    void probe_indirectly(step_context& context, const probe& unanswered);
    std::optional<node_id> next_target(step_context& context);
    void send_ping(step_context& context, const node_id& target, std::int64_t sequence);

    /// Of this period; more than one after a failure.
    std::vector<probe> probes_;
    std::map<std::int64_t, relayed_probe> relayed_;
    /// With the time at which each is declared dead.
    std::map<node_id, time_point> suspects_;
    /// Targets left in this round; each round probes every zone member once in random order.
    std::vector<node_id> round_;
    std::int64_t next_sequence_ = 0;
    time_point last_tick_{};
    time_point heard_at_{};
};

} // namespace camphor
