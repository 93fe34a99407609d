// State machine of one mesh node: consumes events and returns effects; does no I/O itself.
#pragma once

#include "libmesh/allowances.h"
#include "libmesh/crash_suspects.h"
#include "libmesh/directory.h"
#include "libmesh/mesh_config.h"
#include "libmesh/mesh_settings.h"
#include "libmesh/messages.h"
#include "libmesh/operator_table.h"
#include "libmesh/placement.h"
#include "libmesh/request_print.h"
#include "libmesh/retry_window.h"
#include "libmesh/rollouts.h"
#include "libmesh/slot_queue.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace camphor::mesh {

/// One attempt to run a client's request, on the local backend server or through the node that
/// owns the chosen one.
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
    /// Changes of the free slots that this node announced to its zone.
    std::uint64_t slot_announcements = 0;
    /// Times that the local backend server ended while it was running requests.
    std::uint64_t backend_ends = 0;
    /// Number of times that a read of the store exceeded its time limit.
    std::uint64_t late_reads = 0;
    /// Operators' rows that were dropped as older than the known row though their text differs.
    std::uint64_t older_rows = 0;
    /// Requests that ended without a backend server's answer, by reason.
    std::map<std::string, std::uint64_t> refusals_by_reason;

    struct latency_key {
        service_id service;
        route_id route;
        /// "in_time", "late", "refused" or "failed".
        std::string outcome;
        friend auto operator<=>(const latency_key&, const latency_key&) = default;
    };
    /// Latency of finished requests, from arrival at this node.
    std::map<latency_key, latency_histogram> latencies;
};

class node {
public:
    /// `boot` increases with every start of this node; `seed` initialises the random number
    /// generator.
    node(mesh_settings settings, std::int64_t boot, std::uint64_t seed);

    /// Handles one event and returns the resulting effects. Deterministic for a given seed. A
    /// `now` earlier than that of the previous call is replaced by the previous one.
    effect_list step(const event& input, time_point now);
    /// Latest time at which step() must be called with a timer_tick event.
    time_point next_step_due(time_point now) const;

    /// True when the node accepts new client requests: it has a configuration and is not stopping.
    bool is_ready() const { return config_ && !stopping_; }
    bool is_stopping() const { return stopping_; }
    const mesh_config_ptr& config() const { return config_; }
    const node_counters& counters() const { return counters_; }
    const slot_queue& queue() const { return queue_; }
    const directory& peers() const { return peers_; }
    /// Time since the current configuration was applied; zero when there is none.
    duration config_age() const { return config_ ? now_ - config_applied_at_ : duration{}; }
    const std::optional<backend>& own_backend() const { return own_backend_; }
    /// Number of requests in quarantine, which are not sent to any backend server.
    std::size_t quarantined() const { return quarantined_.size(); }
    /// Number of zones to whose backend servers nothing may be sent.
    std::size_t evacuated_zones() const;
    /// Number of organisations of which this node lets in a part only.
    std::size_t limited_organisations() const { return allowances_.limited(); }
    /// Whether the local backend server has started lately and bears few requests.
    bool is_backend_cold() const { return own_backend_ && own_backend_->cold_until > now_; }
    /// The record that this node sends to its peers.
    const mesh_wire::node_record& record() const { return record_; }

private:
    struct attempt {
        attempt_id id;
        /// Node that owns the backend server; this node's own name for the local backend server.
        node_id owner;
        backend_id backend;
        release_id release;
        time_point started;
        /// True when the owner may queue the run; otherwise it runs at once or is refused.
        bool may_wait = false;
    };

    /// State of one client request.
    /// Invariant: while `may_have_run` is false, no byte of the request has reached a backend
    /// server, except those that reported that they did not run it. Only then may the client be
    /// told "not run".
    struct call_state {
        call_id call;
        request_ptr content;
        request_fingerprint fingerprint;
        /// The configuration at arrival; used until the call ends.
        mesh_config_ptr config;
        const route* route_config = nullptr;
        service_id service;
        /// The organisation whose client sent the call; empty when there is none.
        organisation_id organisation;
        /// Priority; 0 is served first.
        int rank = 0;
        time_point arrived;
        /// Latest time for an answer: the earlier of the client's deadline and the route's
        /// timeout.
        time_point deadline;
        time_point client_deadline;
        /// Latest time at which an answer counts as in time.
        time_point objective;
        bool may_have_run = false;
        /// Number of times that the request was sent to a backend server.
        int backend_sends = 0;
        std::vector<attempt> attempts;
        /// Owners that refused an attempt, with the time until they expect a free slot.
        std::map<node_id, duration> refused_owners;
        /// Owner with a free slot, as named by one that refused.
        std::optional<node_id> suggested_owner;
        /// Owners that must not be asked again: they refused a place in their queue, or refused
        /// for another reason than overload.
        std::set<node_id> excluded_owners;
        /// Backend servers that received the request and did not serve it.
        std::set<backend_id> tried_backends;
        /// Release chosen for this call by a roll-out in progress.
        std::optional<release_id> release;
        std::string last_reason;
        answer_ptr last_failed_answer;
        std::multimap<time_point, call_id>::iterator deadline_entry;
    };

    /// Identifies the attempt that a run belongs to.
    struct run_origin {
        /// Connection to the requesting node; none for a call of a local client.
        std::optional<link_id> link;
        attempt_id id;

        bool operator==(const run_origin&) const = default;
    };

    struct run_state {
        run_origin origin;
        request_ptr content;
        organisation_id organisation;
        backend_id backend;
        /// Start identifier (`born`) of the backend server process that the run was sent to.
        std::int64_t born = 0;
        route_id route_name;
        request_fingerprint fingerprint;
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
        /// With a refusal: another owner that has a free slot.
        std::optional<node_id> free_owner{};
    };

    /// A run that ended without an answer; the backend server may have ended while running it.
    struct lost_run {
        request_fingerprint fingerprint;
        backend_incarnation life;
        time_point at;
    };

    struct observed_backend_end {
        backend_incarnation life;
        time_point at;
    };

    struct pending_acknowledgement {
        check_in_id call;
        /// Revision of the departures that the store has to hold.
        std::int64_t revision = 0;
        time_point received_at{};
    };

    struct service_in_zone {
        service_id service;
        zone_id zone;
        friend auto operator<=>(const service_in_zone&, const service_in_zone&) = default;
    };

    struct link_state {
        std::optional<node_id> peer;
        bool dialled = false;
    };

    // node.cpp
    void handle(const client_request& input);
    void handle(const client_disconnected& input);
    void handle(const backend_answered& input);
    void handle(const backend_not_listening& input);
    void handle(const backend_request_failed& input);
    void handle(const backend_checked_in& input);
    void handle(const backend_deregistered& input);
    void handle(const departures_read& input);
    void handle(const departures_stored& input);
    void handle(const link_opened& input);
    void handle(const link_closed& input);
    void handle(const frame_arrived& input);
    void handle(const config_read& input);
    void handle(const rollout_order_read& input);
    void handle(const evacuation_read& input);
    void handle(const rollout_status_read& input);
    void handle(const rollout_status_written& input);
    void handle(const nodes_listed& input);
    void handle(const rows_read& input);
    void handle(const store_restored& input);
    void handle(const crashes_read& input);
    void handle(const crashes_written& input);
    void handle(const timer_tick& input);
    void handle(const shutdown_requested& input);
    void handle(const machine_resumed& input);
    void handle(const exit_imminent& input);
    /// Gives up what other nodes may have taken over during a pause of `gap`, until the store has
    /// answered again: leading roll-outs and reading the store for the zone.
    void resume_after_pause(duration gap);
    void handle(const bounds_changed& input);
    void log(log_level level, std::string name, const std::string& request, log_fields fields);
    double random_fraction();
    /// Earliest time at which a stopping node may exit, provided that it is idle.
    time_point earliest_exit_at() const;
    /// Time at which a stopping node exits even if requests are still in progress.
    time_point latest_exit_at() const;
    /// True when a request that usually takes `mean_hold` and starts now ends by `end`.
    bool usually_ends_by(duration mean_hold, time_point end) const;
    /// True when the backend server beside this node takes a request that usually takes
    /// `mean_hold`: a stopping node lends it to the other nodes until shortly before it exits.
    bool lends_backend(duration mean_hold) const;

    // node_calls.cpp: requests from local clients.
    /// Answers a request that does not become a call; `wait` is stated with 429 and 503 only.
    void refuse_early(const client_request& input, std::int32_t status, const std::string& reason,
                      duration wait);
    /// The organisation whose key came with the request; null when it is unknown.
    const organisation* sender_of(const client_request& input) const;
    call_state make_call(const client_request& input, const route& route_config,
                         const organisation* sender);
    service_id choose_service(const route& route_config);
    /// True when the call may still be in progress when this node, which is stopping, exits.
    bool may_outlast_stop(const call_state& call) const;
    /// Estimated time that the client has spent on earlier attempts of the same request.
    duration estimated_prior_wait(const route& route_config, milliseconds patience);
    void place(call_state& call);
    /// Whether the owner is worth asking for a free slot.
    bool may_have_free_slot(const call_state& call, const candidate& option) const;
    /// An owner that gets no requests since it was slow or failing, and whose turn it is to show
    /// whether it still is; none when there is no such owner.
    std::optional<std::size_t> choose_probe(const call_state& call,
                                            const std::vector<candidate>& options) const;
    /// No owner has a free slot: sends the call to the queue with the lowest expected cost.
    void queue_at_best_owner(call_state& call, std::vector<candidate> queues,
                             const placement_request& placement);
    std::vector<candidate> candidates(const call_state& call) const;
    bool can_serve(const backend& app, const call_state& call) const;
    void send_attempt(call_state& call, const candidate& to, bool may_wait);
    void on_result(attempt_id id, const run_result& result);
    void on_attempt_refused(call_state& call, const attempt& refused, const run_result& result);
    /// Retries a call that a backend server received and did not serve, if `allowed` and the
    /// limits permit it; otherwise ends the call with a failure.
    void retry_or_fail(call_state& call, const run_result& result, bool allowed);
    bool try_reserve_retry(call_state& call, duration expected);
    /// Sends a hedged request for each overdue safe call, to a second owner with a free slot.
    void hedge_overdue_calls();
    bool is_overdue(const call_state& call) const;
    void hedge_call(call_state& call);
    void fail_call(call_state& call, const std::string& reason);
    void refuse_call(call_state& call, const std::string& reason);
    /// Ends a call whose attempts, if any, can no longer be waited for.
    void give_up_call(call_id id, const std::string& reason);
    void cancel_attempts(call_state& call);
    /// Age of the owner's last load report; zero for the local backend server.
    duration load_report_age(const node_id& owner) const;
    void record_latency(const call_state& call, const char* outcome);
    void end_call(call_id id);
    double cross_zone_cost(const call_state& call) const;
    void update_mean_answer_size(const call_state& call, const answer& content);

    /// Whether nothing may be sent to the backend servers of the zone.
    bool is_evacuated(const zone_id& zone) const;

    // node_owner.cpp: runs on the local backend server.
    void offer_run(const run_origin& origin, const mesh_wire::run_request& run_frame,
                   request_ptr content);
    void start_run(run_id id);
    void finish_run(run_id id, const run_result& result, bool is_hold_sample);
    void refuse_queued_runs(const std::string& reason);
    std::map<run_id, run_state>::iterator find_run(const run_origin& origin);
    void cancel_run(const run_origin& origin);
    void start_queued_runs();
    /// Share of failed answers, 0 to 1; old answers count less.
    double failure_ratio() const;
    void update_failure_ratio(bool failed);
    void log_broken_run(const run_state& run, const std::string& reason);
    void record_release_result(const run_state& run, run_verdict verdict);
    void retire_backend(backend_state state, const std::string& reason);
    /// Limits the requests to the local backend server while it is cold.
    void limit_cold_start();
    /// Requests per second that a cold backend server of the service bears; 0: no limit.
    double cold_rate(const service_id& service) const;
    mesh_wire::owner_load current_load(const route_id& route_name) const;
    bool has_free_slot() const;
    /// Tells some nodes of the own zone when the first slot becomes free and when the last one is
    /// taken, so that they neither ask a full owner nor pass over a free one.
    void announce_free_slots();
    /// A node of the own zone that is likely to admit at once a request which this node refuses.
    std::optional<node_id> owner_with_free_slot() const;
    mesh_wire::run_answer make_run_answer(const run_origin& origin, const run_result& result,
                                          const route_id& route_name) const;

    // node_allowances.cpp: allowances of organisations.
    /// The node to which this one reports what organisations use: the first by name that it hears.
    node_id allowance_lender() const;
    /// Reports the usage of organisations to the lender, when it is time.
    void exchange_allowances();
    void on_allowance_report(link_id link, const mesh_wire::allowance_report& report);
    void on_allowance_grants(const mesh_wire::allowance_grants& grants);
    /// Adds a report to the ledger of this node and returns the shares of the reporting node.
    std::vector<organisation_share> lend_allowances(const node_id& to,
                                                    const std::vector<organisation_usage>& usage);

    // node_check_ins.cpp: check-ins and departures of the local backend server.
    void accept_check_in(const backend_checked_in& input);
    /// Whether the check-in can be trusted not to be a delayed one of a backend server that left.
    bool is_current(const backend_checked_in& input) const;
    /// Records a departure that the local backend server or another node announced.
    void record_departure(const backend_start& start, time_point at);
    /// Takes the local backend server out of use if a departure of it is known.
    void retire_departed_backend();
    /// Acknowledges a departure once the store holds it, or some time later.
    void acknowledge_when_stored(check_in_id call);
    void acknowledge_overdue_departures();
    /// How long a departure with an unknown start keeps away every start under its id.
    duration unknown_start_memory() const;

    // node_crashes.cpp: requests that may make backend servers crash.
    void record_lost_run(const run_state& run);
    /// Records that the backend server answered `run` and therefore has not ended.
    void record_run_answer(const run_state& run, bool served);
    /// Records the end of a backend server process. The runs that it left unanswered become crash
    /// suspects.
    void record_backend_end(const backend_incarnation& life, const std::string& reason);
    void on_crash_report(link_id link, const mesh_wire::crash_report& report);
    /// Remaining quarantine of the request; none when it is not in quarantine.
    std::optional<duration> quarantine_time_left(const request_fingerprint& fingerprint) const;
    void broadcast_crash_report(const mesh_wire::crash_report& report);
    /// Updates the set of quarantined requests and logs each change.
    void update_quarantine();
    /// Reads the quarantine from the store after the start and while nodes are unreachable, and,
    /// on the roll-out leader, writes it there so that it survives a restart of all nodes.
    void sync_quarantine_with_store();
    bool needs_crash_report() const;

    // node_peers.cpp: connections to other nodes and the frames exchanged with them.
    void dial_disconnected_peers();
    void send_frame(link_id link, mesh_wire::mesh_frame frame, body_ptr body = nullptr);
    mesh_wire::mesh_frame make_state_frame() const;
    enum class audience : std::uint8_t { all, own_zone };
    /// Sends the state of this node to the nodes that dialled it.
    void broadcast_state(audience to = audience::all);
    void on_node_state(link_id link, const mesh_wire::node_state& state);
    void on_rollout_share(link_id link, const mesh_wire::rollout_share& share);
    /// Tells the node which of its backend servers left before it may have restarted.
    void send_departures(link_id link, peer& to);
    void on_departures(const std::vector<mesh_wire::departed_backend>& departed);
    void on_run_request(link_id link, const std::shared_ptr<const mesh_wire::mesh_frame>& frame);
    void on_run_answer(link_id link, const mesh_wire::run_answer& frame);
    void on_rows_push(link_id link, const mesh_wire::rows_push& frame);
    void on_rows_pull(link_id link);
    void update_peer_load(peer& from, const mesh_wire::owner_load& load,
                          const route_id* route_name);
    void on_peer_lost(peer& lost);
    /// Drops the dialled peer `gone`: another node, `found`, answers at its address.
    void handle_replaced_peer(link_id link, const node_id& gone, const node_id& found);
    void pull_config_if_behind();
    /// Decides whether this node reads the store for its zone. One node of each zone does so,
    /// normally the first by name; a node takes over by itself when no node before it is reading.
    void elect_zone_reader();
    bool is_reading_for_zone(const peer& remote) const;
    bool is_read_overdue() const;
    void detect_late_reads();
    void push_rows(const std::vector<mesh_wire::operator_row>& rows);
    void log_dropped_rows(const std::vector<operator_table::dropped_row>& rows,
                          const std::string& source);
    /// Another node knows that the store has come back from a copy.
    void enter_store_era(std::int64_t era);
    /// Sends the rows to a few of the nodes, each of which relays them to a part of the rest. The
    /// number of copies that one node sends is limited, since requests queue behind them on its
    /// connection to the network.
    void relay_rows(const mesh_wire::rows_push& push, const std::vector<node_id>& names);
    /// Sends all rows to the nodes that requested them since the last answer, relayed through each
    /// other.
    void answer_pulls();
    /// Pings the nodes that have not answered a request for a while.
    void ping_unresponsive_peers();
    bool is_unresponsive(const peer& remote) const;
    /// Finds the zones from which nothing arrives though several of their nodes owe an answer: they
    /// are probably cut off, so that the other nodes there need not be tried one by one.
    void detect_silent_zones();
    /// Sends a keep-alive to the zone while this node reads the store for it.
    void send_zone_keepalive();
    bool in_own_zone(const peer& remote) const
    {
        return remote.record.zone == settings_.zone.value();
    }
    /// The node that decides on roll-outs: the first by name among the nodes that are in contact
    /// with the store and not stopping.
    std::optional<node_id> rollout_leader() const;
    void update_rollout_leader(const std::optional<node_id>& leader);
    void evaluate_rollouts();
    /// On the roll-out leader: repeats the state of the running roll-outs, so that the other nodes
    /// know that the leader is alive.
    void broadcast_running_rollouts();
    void send_to_all(const mesh_wire::mesh_frame& frame);
    void send_to_zone(const mesh_wire::mesh_frame& frame);
    void broadcast_rollout_shares(const std::vector<mesh_wire::rollout_share>& shares);

    mesh_settings settings_;
    mesh_wire::node_record record_;
    std::mt19937_64 random_;
    time_point now_{};
    effect_list effects_;

    mesh_config_ptr config_;
    time_point config_applied_at_{};
    rollouts rollouts_;
    time_point next_rollout_evaluation_{};
    /// The roll-out leader at the last evaluation.
    std::optional<node_id> rollout_leader_;
    time_point leader_since_{};
    /// The operators' rows; sent to nodes that pull them.
    operator_table operator_rows_;
    /// Latest known era of the store; 0 when it states none.
    std::int64_t store_era_ = 0;

    std::unordered_map<call_id, call_state> calls_;
    std::unordered_map<attempt_id, call_id> attempts_;
    std::multimap<time_point, call_id> call_deadlines_;
    std::uint64_t last_attempt_ = 0;
    std::map<service_id, retry_window> retry_budgets_;
    /// When an owner of another zone last refused and knew no owner there with a free slot.
    std::map<service_in_zone, time_point> full_zones_;
    /// Credits of the smooth weighted round robin, for each service of a route.
    std::map<route_id, std::map<service_id, double>> round_robin_credits_;
    /// Longest client timeout seen on each route. A client with clearly less time left is assumed
    /// to be retrying after a refusal; its latency objective counts from its first attempt.
    std::map<route_id, milliseconds> longest_patience_;
    /// Moving average of the size of each route's answers, in bytes.
    std::map<route_id, double> mean_answer_bytes_;

    allowance_gate allowances_;
    allowance_ledger allowance_ledger_;
    time_point last_allowance_report_{};

    std::optional<backend> own_backend_;
    std::int64_t last_check_in_sequence_ = 0;
    departures departures_;
    /// False until the departures that an earlier process of this node stored are known.
    bool departures_known_ = false;
    /// Latest check-in that was received before they were known.
    std::optional<backend_checked_in> unconfirmed_check_in_;
    /// Changes with each departure to be stored. Invariant: not below stored_departures_revision_.
    std::int64_t departures_revision_ = 0;
    std::int64_t stored_departures_revision_ = 0;
    /// Calls that announced a departure and are not acknowledged yet, oldest first.
    std::deque<pending_acknowledgement> pending_acknowledgements_;
    /// Runs that ended without an answer and after which the backend server has answered no other
    /// run.
    std::vector<lost_run> lost_runs_;
    /// The last end of a local backend server process that this node observed.
    std::optional<observed_backend_end> last_backend_end_;
    crash_suspects suspects_;
    std::set<request_fingerprint> quarantined_;
    /// The quarantined requests that this node last wrote to the store.
    std::set<request_fingerprint> stored_quarantine_;
    bool crash_write_pending_ = false;
    bool crash_report_loaded_ = false;
    bool crash_read_pending_ = false;
    time_point next_crash_sync_{};
    slot_queue queue_;
    /// What announce_free_slots() told last.
    bool announced_free_slot_ = true;
    time_point next_slot_announcement_{};
    std::map<run_id, run_state> runs_;
    std::uint64_t last_run_ = 0;
    /// Moving average of the share of failed answers, 0 to 1, at the last answer.
    double failure_ratio_at_answer_ = 0;
    time_point failure_ratio_updated_at_{};
    /// When this node last offered a request to the local backend server.
    time_point own_attempted_at_{};

    directory peers_;
    /// Latest known order about each zone that was evacuated.
    std::map<zone_id, evacuation_read> evacuations_;
    /// Zones found by detect_silent_zones().
    std::set<zone_id> silent_zones_;
    std::map<link_id, link_state> links_;
    std::int64_t revision_ = 0;
    bool store_fresh_ = false;
    /// Time of the last answer to a read of the operators' rows or, before the first, the time at
    /// which this node began to read them.
    std::optional<time_point> last_read_at_;
    /// True while reads of the store exceed their time limit. Invariant: true only while
    /// `reads_store_`.
    bool reads_late_ = false;
    time_point next_pull_{};
    /// Nodes that requested all rows and have not been answered yet.
    std::set<node_id> pending_pulls_;
    time_point next_pull_answer_{};
    /// Since when another node is known to have a newer configuration.
    std::optional<time_point> config_behind_since_;
    time_point next_keepalive_{};
    time_point next_state_report_{};
    /// Number of periodic state reports sent.
    std::uint64_t state_reports_sent_ = 0;
    bool reads_store_ = true;

    bool stopping_ = false;
    bool exit_allowed_ = false;
    time_point stop_requested_at_{};
    node_counters counters_;
};

} // namespace camphor::mesh
