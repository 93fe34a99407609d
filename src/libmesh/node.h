// The decisions of one node of a mesh: one reducer over all events, with effects as data.
#pragma once

#include "libmesh/crash_suspects.h"
#include "libmesh/directory.h"
#include "libmesh/mesh_config.h"
#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"
#include "libmesh/placement.h"
#include "libmesh/request_print.h"
#include "libmesh/retry_window.h"
#include "libmesh/rollouts.h"
#include "libmesh/slot_queue.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace camphor::mesh {

/// One request sent on behalf of a client's call, to the own backend server or through its owner.
using attempt_id = strong_value<struct attempt_id_tag, std::uint64_t>;

/// Counters since the start of the process.
struct node_counters {
    std::uint64_t requests = 0;
    std::uint64_t delivered = 0;
    std::uint64_t failed = 0;
    std::uint64_t retries = 0;
    std::uint64_t runs = 0;
    std::uint64_t owner_refusals = 0;
    std::uint64_t membership_changes = 0;
    /// Ends of the backend server beside this node while it ran requests.
    std::uint64_t backend_ends = 0;
    /// Times that the store did not answer this node's reads in time.
    std::uint64_t late_reads = 0;
    /// Requests that ended without a backend server's answer.
    std::map<std::string, std::uint64_t> refusals_by_reason;

    struct latency_key {
        service_id service;
        route_id route;
        /// "in_time", "late", "refused" or "failed".
        std::string outcome;
        friend auto operator<=>(const latency_key&, const latency_key&) = default;
    };
    /// Time from a request's arrival to its end.
    std::map<latency_key, latency_histogram> latencies;
};

class node {
public:
    /// `boot` orders the lives of this node; `seed` feeds every random choice.
    node(mesh_settings settings, std::int64_t boot, std::uint64_t seed);

    /// Handles one event. Pure: `now` never decreases.
    effect_list step(const event& happened, time_point now);
    /// When step() wants a time_passed at the latest.
    time_point next_due(time_point now) const;

    /// Takes new requests from clients: knows a configuration and is not stopping.
    bool is_ready() const { return config_ && !stopping_; }
    bool is_stopping() const { return stopping_; }
    const mesh_config_ptr& config() const { return config_; }
    const node_counters& counters() const { return counters_; }
    const slot_queue& queue() const { return queue_; }
    const directory& peers() const { return peers_; }
    /// Time since the configuration was applied; zero before the first.
    duration config_age() const { return config_ ? now_ - config_at_ : duration{}; }
    const std::optional<backend>& own_backend() const { return own_; }
    /// Requests that are kept from backend servers.
    std::size_t quarantined() const { return quarantined_.size(); }
    /// This node, as it introduces itself.
    const mesh_wire::node_record& record() const { return record_; }

private:
    struct attempt {
        attempt_id id;
        /// Owner; the own node's name for the backend server beside this node.
        node_id owner;
        backend_id backend;
        release_id release;
        time_point started;
        bool may_wait = false;
    };

    /// Invariant: while `may_have_run` is false no byte of the call reached a backend server that
    /// has not said that it did not run it; only then the client is told "not run".
    struct call_state {
        call_id call;
        request_ptr content;
        request_print print;
        /// One call keeps one configuration from start to end.
        mesh_config_ptr config;
        const route* way = nullptr;
        service_id service;
        time_point arrived;
        /// The client or the route allows no later answer.
        time_point deadline;
        time_point client_deadline;
        time_point objective;
        bool may_have_run = false;
        /// Backend servers that the call was sent to.
        int arrivals = 0;
        std::vector<attempt> attempts;
        /// Owners without a free slot, with the wait that they named.
        std::map<node_id, duration> refused_by;
        /// Owners that have no place in their queue either.
        std::set<node_id> full;
        /// Backend servers that had it and did not serve it.
        std::set<backend_id> tried;
        /// Release that the call was given by a roll-out.
        std::optional<release_id> release;
        std::string last_reason;
        answer_ptr failed_answer;
        std::multimap<time_point, call_id>::iterator timer;
    };

    /// Who asked for a run.
    struct run_origin {
        /// None for a call of this node.
        std::optional<link_id> link;
        attempt_id id;

        bool operator==(const run_origin&) const = default;
    };

    struct run_state {
        run_origin origin;
        request_ptr content;
        backend_id backend;
        /// Start of the backend server that it was sent to.
        std::int64_t born = 0;
        route_id way;
        request_print print;
        time_point deadline;
        bool safe = false;
        bool sent = false;
        time_point offered_at;
        time_point sent_at;
    };

    struct run_result {
        mesh_wire::run_outcome::type outcome{};
        answer_ptr content;
        std::string reason;
        duration wait{};
    };

    /// A run that got no answer. The backend server may have ended under it.
    struct cut_run {
        request_print print;
        backend_life life;
        time_point at;
    };

    struct life_end {
        backend_life life;
        time_point at;
    };

    struct link_state {
        std::optional<node_id> peer;
        bool dialled = false;
    };

    // node.cpp
    void take(const client_request& happened);
    void take(const client_gone& happened);
    void take(const app_answered& happened);
    void take(const app_gone& happened);
    void take(const app_failed& happened);
    void take(const backend_checked_in& happened);
    void take(const backend_left& happened);
    void take(const link_opened& happened);
    void take(const link_closed& happened);
    void take(const frame_arrived& happened);
    void take(const config_read& happened);
    void take(const order_read& happened);
    void take(const rollout_status_read& happened);
    void take(const rollout_status_written& happened);
    void take(const nodes_listed& happened);
    void take(const rows_read& happened);
    void take(const crashes_read& happened);
    void take(const crashes_written& happened);
    void take(const time_passed& happened);
    void take(const stop_asked& happened);
    void take(const bounds_changed& happened);
    void log(log_level level, std::string name, const std::string& request, log_fields fields);
    double random_part();
    /// A stopping node ends from then on when it is idle.
    time_point notice_ends_at() const;
    /// A stopping node ends then, whatever is under way.
    time_point stops_at() const;

    // node_calls.cpp: requests of the clients on this machine.
    service_id choose_service(const route& way);
    /// Whether the call could still be under way when this node, which is stopping, ends.
    bool may_outlast_stop(const call_state& call) const;
    /// Time that the client has waited already, before this attempt.
    duration waited_before(const route& way, milliseconds patience);
    void place(call_state& call);
    /// No slot is free: asks for a place in the queue where the wait is shortest.
    void wait_somewhere(call_state& call, std::vector<candidate> queues,
                        const placement_request& wanted);
    std::vector<candidate> candidates(const call_state& call) const;
    bool fits(const backend& app, const call_state& call) const;
    void send(call_state& call, const candidate& to, bool may_wait);
    void on_result(attempt_id id, const run_result& result);
    void on_refused(call_state& call, const attempt& tried, const run_result& result);
    /// A backend server had the call and did not serve it: sends it once more if `allowed`.
    void try_again(call_state& call, const run_result& result, bool allowed);
    bool may_retry(call_state& call, duration expected);
    /// Sends safe requests whose answer seems lost to a second owner with a free slot.
    void hedge_overdue();
    bool is_overdue(const call_state& call) const;
    void hedge(call_state& call);
    void give_up(call_state& call, const std::string& reason);
    void refuse(call_state& call, const std::string& reason);
    void on_call_due(call_id id);
    void drop_attempts(call_state& call);
    /// Age of what the owner last said of its load; zero for the own backend server.
    duration report_age(const node_id& owner) const;
    void note_end(const call_state& call, const char* outcome);
    void end_call(call_id id);
    double crossing_cost(const call_state& call) const;
    void learn_size(const call_state& call, const answer& content);

    // node_owner.cpp: the backend server beside this node.
    void offer_run(const run_origin& origin, const mesh_wire::run_request& wanted,
                   request_ptr content);
    void start_run(run_id id);
    void finish_run(run_id id, const run_result& result, bool learned);
    void refuse_waiting(const std::string& reason);
    std::map<run_id, run_state>::iterator find_run(const run_origin& origin);
    void cancel_run(const run_origin& origin);
    void start_waiting();
    bool has_left(const backend_checked_in& happened);
    void note_outcome(bool failed);
    void log_broken(const run_state& run, const std::string& reason);
    void note_release(const run_state& run, bool good);
    void retire_backend(backend_state state, const std::string& reason);
    mesh_wire::owner_load load(const route_id& way) const;
    mesh_wire::run_answer answer_frame(const run_origin& origin, const run_result& result,
                                       const route_id& way) const;

    // node_crashes.cpp: requests under which backend servers end.
    void note_cut(const run_state& run);
    /// The backend server answered `run`, so that it has not ended.
    void note_answer(const run_state& run, bool served);
    /// The life is over: the runs that it left without an answer are suspects.
    void note_end(const backend_life& life, const std::string& reason);
    void on_crashes(link_id link, const mesh_wire::crash_report& report);
    /// Time until the call may be sent; none when nothing keeps it.
    std::optional<duration> quarantine_left(const request_print& print) const;
    void spread_crashes(const mesh_wire::crash_report& report);
    /// Logs which requests came into quarantine and which left it.
    void review_quarantine();
    /// Keeps what outlasts all nodes in the store, and reads it once after the start.
    void sync_crashes_with_store();
    bool wants_crashes() const;

    // node_peers.cpp: connections to other nodes and what they tell.
    void dial_missing();
    void send_frame(link_id link, mesh_wire::mesh_frame frame);
    mesh_wire::mesh_frame state_frame() const;
    enum class audience : std::uint8_t { all, own_zone };
    /// Tells the nodes that dialled this one how it stands.
    void broadcast_state(audience to = audience::all);
    void on_state(link_id link, const mesh_wire::node_state& state);
    void on_share(link_id link, const mesh_wire::rollout_share& share);
    void on_answer(link_id link, const mesh_wire::run_answer& frame);
    void on_rows(link_id link, const mesh_wire::rows_push& frame);
    void on_pull(link_id link);
    void update_room(peer& from, const mesh_wire::owner_load& load, const route_id* way);
    void lose_peer(peer& lost);
    /// Another node answers at the address of one that was dialled: that one is gone.
    void forget_replaced(link_id link, const node_id& gone, const node_id& found);
    void pull_if_behind();
    /// One node in each zone reads the store for the others; each of them takes over by itself.
    void choose_watcher();
    bool covers_zone(const peer& other) const;
    bool is_read_overdue() const;
    void notice_late_reads();
    void push_rows(const std::vector<mesh_wire::operator_row>& rows);
    /// Sends the rows to some of the nodes, each of which passes them on to a part of the others:
    /// no node sends more than a few copies, since requests wait behind them at its link.
    void relay_rows(const mesh_wire::rows_push& push, const std::vector<node_id>& names);
    /// Sends the rows to the nodes that asked for them since the last answer, by way of each other.
    void answer_pullers();
    /// Asks nodes that owe answers whether they live.
    void ping_owing();
    bool is_silent(const peer& other) const;
    /// A watcher shows the others of its zone that it lives.
    void ping_zone();
    bool in_own_zone(const peer& other) const
    {
        return other.record.zone == settings_.zone.value();
    }
    /// The node that decides on roll-outs: the first by name of those in contact with the store.
    std::optional<node_id> rollout_holder() const;
    void note_holder(const std::optional<node_id>& holder);
    void judge_rollouts();
    /// The holder repeats how roll-outs stand, so that the others know that it lives.
    void tell_shares();
    void send_to_all(const mesh_wire::mesh_frame& frame);
    void send_to_zone(const mesh_wire::mesh_frame& frame);
    void send_shares(const std::vector<mesh_wire::rollout_share>& shares);

    mesh_settings settings_;
    mesh_wire::node_record record_;
    std::mt19937_64 random_;
    time_point now_{};
    effect_list out_;

    mesh_config_ptr config_;
    time_point config_at_{};
    rollouts rollouts_;
    time_point next_judgement_{};
    /// The node that decided on roll-outs at the last look.
    std::optional<node_id> rollout_holder_;
    time_point holder_since_{};
    /// Operators' rows by key, as last read, for nodes that ask.
    std::map<std::string, mesh_wire::operator_row> rows_;
    std::int64_t read_up_to_ = 0;

    std::unordered_map<call_id, call_state> calls_;
    std::unordered_map<attempt_id, call_id> attempts_;
    std::multimap<time_point, call_id> timers_;
    std::uint64_t last_attempt_ = 0;
    std::map<service_id, retry_window> budgets_;
    /// Smooth weighted round robin: what each service of a route is owed.
    std::map<route_id, std::map<service_id, double>> credits_;
    /// Longest patience seen of a route's clients. One that has less left is back after a refusal:
    /// its objective runs since its first attempt.
    std::map<route_id, milliseconds> full_patience_;
    /// Bytes that an answer of a route has on the average.
    std::map<route_id, double> answer_bytes_;

    std::optional<backend> own_;
    std::int64_t own_sequence_ = 0;
    /// Backend servers that said goodbye to this life of the node, and when. A check-in that was
    /// delayed must not bring one back.
    std::map<backend_id, time_point> left_;
    /// Runs without an answer; the backend server has answered no other since.
    std::vector<cut_run> cut_runs_;
    /// Life of the backend server that ended last, as far as this node knows.
    std::optional<life_end> ended_life_;
    crash_suspects suspects_;
    std::set<request_print> quarantined_;
    /// What the store holds of it by this node's hand.
    std::set<request_print> quarantine_written_;
    bool crash_write_pending_ = false;
    bool crashes_known_ = false;
    bool crash_read_pending_ = false;
    time_point next_crash_sync_{};
    slot_queue queue_;
    std::map<run_id, run_state> runs_;
    std::uint64_t last_run_ = 0;
    /// Part of the recent answers that were failures.
    double failing_ = 0;

    directory peers_;
    std::map<link_id, link_state> links_;
    std::int64_t revision_ = 0;
    bool store_fresh_ = false;
    /// Last answer to a read of the operators' rows, or since when this node reads them.
    std::optional<time_point> read_at_;
    /// Invariant: only while `following_`.
    bool reads_late_ = false;
    time_point next_pull_{};
    /// Nodes that asked for rows and have no answer yet.
    std::set<node_id> pullers_;
    time_point next_pull_answer_{};
    /// Since when some node is known to have a newer configuration.
    std::optional<time_point> behind_since_;
    time_point next_ping_{};
    time_point next_report_{};
    /// Periodic reports so far.
    std::uint64_t reports_ = 0;
    bool following_ = true;

    bool stopping_ = false;
    bool told_stopped_ = false;
    time_point stop_asked_at_{};
    node_counters counters_;
};

} // namespace camphor::mesh
