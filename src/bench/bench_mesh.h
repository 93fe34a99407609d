// Simulates many nodes of the core in one process. Frames are encoded as on the wire and their
// bytes counted; the store is an in-memory table that counts reads.
#pragma once

#include <camphortally/node.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphor::bench {

/// Traffic and processor time of one node.
struct node_cost {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t frames_in = 0;
    std::uint64_t frames_out = 0;
    /// Time spent in the core's event handling and in encoding and decoding frames.
    duration step_time{};
    duration codec_time{};
};

/// Size and network of the simulated mesh.
struct mesh_options {
    std::size_t nodes = 12;
    std::size_t zones = 3;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    /// Probability from 0 to 1 that a frame is lost.
    double loss_ratio = 0;
    /// Measures push alone: drops config_pull frames, clears the configuration versions in probes
    /// and leaves reads of the distribution module without a result.
    bool push_only = false;
};

/// Discrete-event simulation of a mesh. Simulated time advances only between events; processor time
/// is real time measured around each event.
class bench_mesh {
public:
    explicit bench_mesh(const mesh_options& options);

    void start(std::size_t node);
    void kill(std::size_t node);
    bool is_running(std::size_t node) const { return nodes_[node] != nullptr; }
    void post(std::size_t node, event node_event);
    /// Installs a configuration on a node as if the node had fetched it.
    void preload(std::size_t node, const snapshot_ptr& config);
    /// Advances the simulated time by `span`.
    void run(duration span);

    std::size_t size() const { return nodes_.size(); }
    const node_state& node(std::size_t index) const { return *nodes_[index]; }
    time_point now() const { return now_; }
    /// Time of the node's latest start.
    time_point started_at(std::size_t node) const { return started_at_[node]; }

    const std::vector<node_cost>& costs() const { return costs_; }
    void reset_costs();
    /// Counts since the last reset_costs().
    std::uint64_t table_reads() const { return table_reads_; }
    std::uint64_t full_fetches() const { return full_fetches_; }
    /// Bytes sent by kind of frame since the last reset_costs().
    const std::map<std::string, std::uint64_t>& bytes_by_kind() const { return bytes_by_kind_; }
    std::map<std::string, std::string>& table() { return table_; }

    /// Called when a node has applied a configuration version.
    std::function<void(std::size_t node, std::int64_t version)> on_config_applied;

private:
    struct scheduled_event {
        time_point due;
        std::uint64_t sequence;
        std::size_t node;
        /// The node's kill_counts_ when scheduled; the event is dropped when the node was killed
        /// since.
        std::size_t kill_count;
        std::shared_ptr<const event> node_event;
        /// Nonzero for timers: the event is dropped unless this is the latest generation of the
        /// timer key.
        std::uint64_t timer_generation;
    };
    struct due_later {
        bool operator()(const scheduled_event& left, const scheduled_event& right) const
        {
            return std::tie(left.due, left.sequence) > std::tie(right.due, right.sequence);
        }
    };

    void schedule(time_point due, std::size_t node, event node_event,
                  std::uint64_t timer_generation = 0);
    void handle(const scheduled_event& scheduled);
    void apply_effects(std::size_t node, effect_list& effects);
    void apply_effect(std::size_t node, send_frame& send);
    void apply_effect(std::size_t node, platform_call& call);
    void apply_effect(std::size_t node, set_timer& timer);
    void apply_effect(std::size_t node, cancel_timer& timer);
    void apply_effect(std::size_t node, config_applied& applied);
    template <class Effect>
    void apply_effect(std::size_t /*node*/, Effect& /*effect*/)
    {
    }
    platform_reply serve(const table_read& request);
    platform_reply serve(const table_scan& request);
    platform_reply serve(const table_transact& request);
    platform_reply serve(const object_get& request);
    platform_reply serve(const object_put& request);
    duration latency(std::size_t from, std::size_t to) const;
    /// Draws whether the frame is lost. With push_only, also clears the versions in its probes.
    bool should_drop(wire::frame& frame);

    mesh_options options_;
    std::vector<node_settings> settings_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    std::vector<std::size_t> kill_counts_;
    std::vector<time_point> started_at_;
    std::vector<node_cost> costs_;
    std::vector<std::map<timer_key, std::uint64_t>> timers_;
    std::unordered_map<std::string, std::size_t> node_by_host_;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, due_later> event_queue_;
    std::map<std::string, std::string> table_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, std::uint64_t> bytes_by_kind_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t last_sequence_ = 0;
    std::uint64_t table_reads_ = 0;
    std::uint64_t full_fetches_ = 0;
};

} // namespace camphor::bench
