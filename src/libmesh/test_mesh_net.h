// Simulates several mesh nodes, their backend servers and the links between them in virtual time.
#pragma once

#include "libmesh/node.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace camphor::mesh::test {

using namespace std::chrono_literals;

/// How a client's request ended.
struct client_result {
    std::int32_t status = 0;
    duration took{};
    std::optional<milliseconds> retry_after;
    /// Reason of a refusal; empty for an answer.
    std::string reason{};
};

/// A simulated backend server. Runs up to `slots` requests at a time and counts how often each
/// request id ran.
struct simulated_backend {
    backend_id id;
    service_id service;
    release_id release{"v1"};
    int slots = 4;
    duration work = 100ms;
    /// HTTP status of every answer.
    std::int32_t status = 200;
    /// One in this many answers is a failure; 0: none.
    int failure_period = 0;
    int answers = 0;
    /// One in this many requests is rejected at once without being run; 0: none.
    int shed_period = 0;
    /// One in this many requests takes `slow_factor` times as long; 0: none.
    int slow_period = 0;
    int slow_factor = 1;
    /// Requests that it has at most, those of closed connections included; it rejects others. 0: no
    /// limit.
    int max_requests = 0;
    /// Goes on with a request whose connection was closed.
    bool keeps_aborted_runs = false;
    /// End of the warm-up time that the check-in reports.
    time_point cold_until{};
    /// Answers are lost: the request runs but the node receives no answer.
    bool loses_answers = false;
    bool crashed = false;
    /// A request with this target crashes the backend server, which restarts as a new instance
    /// after `down`. Empty: none.
    std::string crash_on_target;
    duration restart_delay = 800ms;
    /// Time that such a request runs before the crash.
    duration crash_delay{};
    /// On a crash, connections hang instead of closing.
    bool hangs_on_crash = false;
    /// Number of starts so far.
    std::int64_t life = 1;
    std::int64_t sequence = 0;
    int running = 0;
    int peak_running = 0;
    int arrivals = 0;
    /// Requests that arrived after the backend server announced that it leaves.
    int requests_after_leaving = 0;
    bool leaving = false;
};

/// Nodes "n0", "n1", … in zones "z0", "z1", …, each with one local backend server of the service
/// "s".
class simulated_mesh {
public:
    explicit simulated_mesh(std::size_t nodes, std::size_t zones = 3)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            add_node(i, "z" + std::to_string(i % zones));
        }
        std::vector<mesh_wire::node_record> records;
        for (const auto& entry : hosts_) {
            records.push_back(entry->core.record());
        }
        for (auto& entry : hosts_) {
            feed(*entry, nodes_listed{records});
            read_departures(*entry);
            start_reading(*entry);
        }
        run_for(1s);
    }

    simulated_backend& app(std::size_t i) { return hosts_.at(i)->app; }
    node& core(std::size_t i) { return hosts_.at(i)->core; }
    time_point now() const { return now_; }
    /// Number of times that the request ran, over all backend servers.
    int run_count(const std::string& id) const
    {
        const auto found = run_counts_.find(id);
        return found == run_counts_.end() ? 0 : found->second;
    }
    const std::map<std::string, int>& run_counts() const { return run_counts_; }
    std::map<std::string, client_result>& results() { return results_; }

    void configure(bool safe, milliseconds timeout = 1000ms, milliseconds objective = 400ms,
                   std::int64_t version = 1)
    {
        route new_route;
        new_route.name = route_id{"r"};
        new_route.host = "h";
        new_route.prefix = "/p/";
        new_route.safe = safe;
        new_route.timeout = timeout;
        new_route.objective = objective;
        new_route.priority = 1;
        new_route.max_attempts = 2;
        new_route.targets.push_back({service_id{"s"}, 1});
        route public_route = new_route;
        public_route.name = route_id{"public"};
        public_route.prefix = "/public/";
        public_route.is_public = true;
        config_ = std::make_shared<const mesh_config>(
            config_version{version}, std::vector<route>{new_route, public_route},
            std::vector<service_settings>{}, client_limits{},
            organisation_directory(organisations_));
        for (auto& entry : hosts_) {
            feed(*entry, config_read{config_});
        }
    }
    /// Organisations of the configurations that configure() makes from now on.
    void set_organisations(std::vector<organisation> organisations)
    {
        organisations_ = std::move(organisations);
    }
    /// Key that clients send from now on; none: no key.
    void set_key(std::optional<std::string> key) { key_ = std::move(key); }
    /// The organisation that was stated to the backend server; none when the request did not reach
    /// one.
    std::optional<organisation_id> stated_organisation(const std::string& id) const
    {
        const auto found = stated_organisations_.find(id);
        return found == stated_organisations_.end() ? std::nullopt : std::optional(found->second);
    }

    void check_in(std::size_t i, bool draining = false) { check_in(*hosts_.at(i), draining); }

    /// The backend server deregisters without draining first.
    void deregister_backend(std::size_t i)
    {
        hosts_.at(i)->app.leaving = true;
        feed(*hosts_.at(i), backend_deregistered{next_check_in(), hosts_.at(i)->app.id, {}});
    }
    /// A deregistration of the start `born` of the backend server arrives.
    void deregister_start(std::size_t i, std::int64_t born)
    {
        feed(*hosts_.at(i), backend_deregistered{next_check_in(), hosts_.at(i)->app.id, born});
    }
    /// When the last call of a backend server was acknowledged; none while it is not.
    std::optional<time_point> last_acknowledgement() const
    {
        const auto found = acknowledged_at_.find(check_in_id{last_check_in_});
        return found == acknowledged_at_.end() ? std::nullopt : std::optional(found->second);
    }

    /// A local client of node `i` sends a request.
    void send(std::size_t i, const std::string& id, milliseconds patience = 2000ms)
    {
        send_to(i, id, "/p/" + id, patience);
    }

    /// Like send(), with a target that several requests may share.
    void send_to(std::size_t i, const std::string& id, const std::string& target,
                 milliseconds patience = 2000ms)
    {
        auto& this_host = *hosts_.at(i);
        if (this_host.dead) {
            return;
        }
        const call_id call{++last_call_};
        auto content = std::make_shared<request>();
        content->method = "GET";
        content->host = "h";
        content->target = target;
        content->id = id;
        this_host.clients[call] = {id, now_};
        feed(this_host, client_request{call, content, patience, key_});
    }

    void disconnect_client(std::size_t i, const std::string& id)
    {
        auto& this_host = *hosts_.at(i);
        for (const auto& [call, client] : this_host.clients) {
            if (client.id == id) {
                feed(this_host, client_disconnected{call});
                return;
            }
        }
    }

    /// While the node is partitioned, frames from and to it are silently lost.
    void set_partitioned(std::size_t i, bool is_partitioned)
    {
        hosts_.at(i)->is_partitioned = is_partitioned;
    }

    /// Partitions the node, and its connections are given up at both ends.
    void cut_off(std::size_t i)
    {
        auto& cut = *hosts_.at(i);
        cut.is_partitioned = true;
        std::vector<std::uint64_t> keys;
        for (const auto& [key, entry] : links_) {
            if (entry.from == &cut || entry.to == &cut) {
                keys.push_back(key);
            }
        }
        for (const auto key : keys) {
            close_both_ends(key);
        }
    }

    /// The node's process is killed: its connections close.
    void kill(std::size_t i) { kill_host(*hosts_.at(i)); }

    /// The node's process restarts: it reads the store, and its backend server checks in.
    void restart_node(std::size_t i)
    {
        auto& restarted = *hosts_.at(i);
        restarted.core = node(restarted.settings, ++last_boot_, i + 1);
        restarted.dead = false;
        restarted.clients.clear();
        if (restarted.app.keeps_aborted_runs) {
            restarted.aborted_runs.merge(restarted.running_runs);
        } else {
            restarted.app.running = 0;
        }
        restarted.running_runs.clear();
        schedule_tick(restarted);
        std::vector<mesh_wire::node_record> records;
        for (const auto& entry : hosts_) {
            records.push_back(entry->core.record());
        }
        feed(restarted, nodes_listed{records});
        read_departures(restarted);
        if (config_) {
            feed(restarted, config_read{config_});
        }
        if (order_) {
            feed(restarted, rollout_order_read{*order_});
        }
        restarted.read_up_to = 0;
        start_reading(restarted);
        if (!statuses_.empty()) {
            feed(restarted, rollout_status_read{statuses_.back(), status_version_});
        }
        check_in(i);
    }

    /// Times at which a request that crashes its backend server arrived there, in order.
    const std::vector<time_point>& crash_times() const { return crash_times_; }

    /// Number of requests that the nodes refused or failed for this reason, over all nodes.
    std::uint64_t refusals(const std::string& reason) const
    {
        std::uint64_t total = 0;
        for (const auto& entry : hosts_) {
            const auto& all = entry->core.counters().refusals_by_reason;
            const auto found = all.find(reason);
            total += found == all.end() ? 0 : found->second;
        }
        return total;
    }

    /// The backend server crashes without a request as the cause.
    void crash_backend(std::size_t i) { crash_backend(*hosts_.at(i)); }

    /// Sets how many bytes the node's machine sends per millisecond, over all connections in
    /// sequence; 0: unlimited.
    void set_link_speed(std::size_t i, std::size_t bytes_per_ms)
    {
        hosts_.at(i)->bytes_per_ms = bytes_per_ms;
    }

    /// The node reads an operator's row from the store. A row with the key "config" stands for a
    /// configuration of that version.
    void read_row(std::size_t i, const mesh_wire::operator_row& row)
    {
        auto& this_host = *hosts_.at(i);
        apply(this_host, row);
        feed(this_host, rows_read{{row}, row.row_version, true});
    }

    /// The node learns of an order to evacuate a zone, or of its end.
    void feed_evacuation(std::size_t i, const evacuation_read& order)
    {
        feed(*hosts_.at(i), order);
    }

    /// The operators write a row, which the nodes that read the store receive. A row with the key
    /// "config" stands for a configuration of that version.
    void write_row(const mesh_wire::operator_row& row)
    {
        store_rows_[row.key] = row;
        for (auto& entry : hosts_) {
            read_store(*entry, entry->read_generation);
        }
    }

    /// While unavailable, the store does not answer the node's reads.
    void set_store_unavailable(std::size_t i, bool is_unavailable)
    {
        hosts_.at(i)->store_unavailable = is_unavailable;
        read_store(*hosts_.at(i), hosts_.at(i)->read_generation);
    }

    std::int64_t config_version_of(std::size_t i) const
    {
        const auto& current = hosts_.at(i)->core.config();
        return current ? current->version().value() : 0;
    }

    bool is_dead(std::size_t i) const { return hosts_.at(i)->dead; }

    /// Number of requests of the node's clients that ran and have not been answered.
    std::size_t unanswered_runs(std::size_t i) const
    {
        const auto& clients = hosts_.at(i)->clients;
        return static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(),
                          [this](const auto& entry) { return run_count(entry.second.id) > 0; }));
    }

    void set_bounds(std::size_t i, const mesh_bounds& bounds)
    {
        feed(*hosts_.at(i), bounds_changed{bounds});
    }

    /// Time of the last start of the request on a backend server; none when it never ran.
    std::optional<time_point> last_run_at(const std::string& id) const
    {
        const auto found = last_run_times_.find(id);
        return found == last_run_times_.end() ? std::nullopt : std::optional(found->second);
    }

    /// From now on, a node that dials the address of node `killed` reaches node `new_owner`.
    void reassign_address(std::size_t killed, std::size_t new_owner)
    {
        address_owners_["n" + std::to_string(killed)] = "n" + std::to_string(new_owner);
    }

    /// Schedules `callback` after `span` of virtual time; run_for() executes it.
    void after(duration span, std::function<void()> callback)
    {
        schedule(span, std::move(callback));
    }

    /// The node's process stands still: what arrives meanwhile waits for handle_deferred().
    void pause(std::size_t i) { hosts_.at(i)->paused = true; }
    /// Continues with a timer, which is handled before what has arrived. The steady clock may have
    /// stood still too, as on a suspended machine.
    void resume(std::size_t i, const std::optional<duration>& suspended = std::nullopt)
    {
        auto& resumed = *hosts_.at(i);
        resumed.paused = false;
        if (suspended) {
            resumed.clock_lag += *suspended;
            feed(resumed, machine_resumed{*suspended});
        }
        feed(resumed, timer_tick{});
    }
    /// Handles what arrived during the pause.
    void handle_deferred(std::size_t i)
    {
        auto& resumed = *hosts_.at(i);
        for (const auto& input : std::exchange(resumed.deferred, {})) {
            feed(resumed, input);
        }
    }
    /// Number of frames with the share of a running roll-out that the node sent.
    int share_frames(std::size_t i) const { return hosts_.at(i)->share_frames; }

    void stop(std::size_t i) { feed(*hosts_.at(i), shutdown_requested{}); }

    void order_rollout(const std::string& release, milliseconds within)
    {
        order_ = rollout_order{service_id{"s"}, release_id{release}, within, ++last_order_};
        for (auto& entry : hosts_) {
            feed(*entry, rollout_order_read{*order_});
        }
    }
    /// Roll-out statuses that the nodes wrote to the store, in order.
    const std::vector<rollout_status>& statuses() const { return statuses_; }

    void run_for(duration span)
    {
        const auto end = now_ + span;
        while (!scheduled_events_.empty() && scheduled_events_.top().at <= end) {
            const auto next = scheduled_events_.top();
            scheduled_events_.pop();
            now_ = next.at;
            (*next.callback)();
        }
        now_ = end;
    }

private:
    struct client {
        std::string id;
        time_point sent_at;
    };
    struct host {
        host(const mesh_settings& own, std::uint64_t seed) : settings(own), core(own, 1, seed) {}
        mesh_settings settings;
        node core;
        simulated_backend app;
        std::map<call_id, client> clients;
        bool paused = false;
        std::vector<event> deferred;
        /// Time for which the machine was suspended.
        duration clock_lag{};
        int share_frames = 0;
        std::set<run_id> running_runs;
        /// Runs that the backend server goes on with though their connections were closed.
        std::set<run_id> aborted_runs;
        bool is_partitioned = false;
        bool dead = false;
        bool store_unavailable = false;
        /// Incremented each time the node begins to read the store, to discard reads from before.
        std::uint64_t read_generation = 0;
        bool is_reading = false;
        std::int64_t read_up_to = 0;
        std::size_t bytes_per_ms = 0;
        /// Time at which the machine's link has sent all queued bytes.
        time_point link_idle_at{};
    };
    struct link {
        host* from = nullptr;
        host* to = nullptr;
        link_id local_id;
        link_id remote_id;
        /// Name of the node that was dialled.
        node_id name;
    };
    struct scheduled_event {
        time_point at;
        std::uint64_t sequence = 0;
        std::shared_ptr<std::function<void()>> callback;
        bool operator<(const scheduled_event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    static constexpr duration link_delay = 1ms;
    static constexpr duration tick_interval = 25ms;
    static constexpr duration store_delay = 4ms;
    static constexpr duration store_retry_delay = 200ms;
    /// Delay after a lost connection until the shell has checked whether something still listens.
    static constexpr duration probe_delay = 50ms;
    /// Time from a node's shutdown_complete effect until its process ends.
    static constexpr duration exit_delay = 500ms;
    /// Bytes of a frame without its rows and bodies.
    static constexpr std::size_t frame_overhead = 200;

    void check_in(host& this_host, bool draining = false)
    {
        auto& app = this_host.app;
        backend_checked_in check_in_event;
        check_in_event.call = next_check_in();
        check_in_event.id = app.id;
        check_in_event.born = app.life;
        check_in_event.sequence = ++app.sequence;
        check_in_event.service = app.service;
        check_in_event.release = app.release;
        check_in_event.slots = app.slots;
        check_in_event.draining = draining;
        check_in_event.cold_left =
            std::max(0ms, std::chrono::duration_cast<milliseconds>(app.cold_until - now_));
        app.leaving = app.leaving || draining;
        feed(this_host, check_in_event);
    }

    check_in_id next_check_in() { return check_in_id{++last_check_in_}; }

    void add_node(std::size_t i, const std::string& zone)
    {
        mesh_settings settings;
        settings.node = node_id{"n" + std::to_string(i)};
        settings.zone = zone_id{zone};
        settings.service = service_id{"s"};
        settings.peers = {settings.node.value(), 1};
        settings.bounds.retry_extra = 60;
        auto new_host = std::make_unique<host>(settings, i + 1);
        new_host->app.id = backend_id{"b" + std::to_string(i)};
        new_host->app.service = service_id{"s"};
        hosts_.push_back(std::move(new_host));
        schedule_tick(*hosts_.back());
    }

    void schedule_tick(host& this_host)
    {
        schedule(tick_interval, [this, &this_host] {
            if (!this_host.dead) {
                feed(this_host, timer_tick{});
                schedule_tick(this_host);
            }
        });
    }

    void schedule(duration after, std::function<void()> callback)
    {
        scheduled_events_.push({now_ + after, ++last_event_,
                                std::make_shared<std::function<void()>>(std::move(callback))});
    }

    void feed(host& this_host, const event& input)
    {
        if (this_host.dead) {
            return;
        }
        if (this_host.paused) {
            if (!std::holds_alternative<timer_tick>(input)) {
                this_host.deferred.push_back(input);
            }
            return;
        }
        for (const auto& entry : this_host.core.step(input, now_ - this_host.clock_lag)) {
            std::visit([&](const auto& command) { perform(this_host, command); }, entry);
        }
    }

    template <class Other>
    void perform(host&, const Other&)
    {
    }

    void perform(host& from, const deliver_answer& command)
    {
        finish(from, command.call, {command.content->status, {}, std::nullopt, ""});
    }
    void perform(host& from, const deliver_refusal& command)
    {
        finish(from, command.call, {command.status, {}, command.retry_after, command.reason});
    }
    void finish(host& from, call_id call, client_result result)
    {
        const auto known = from.clients.at(call);
        result.took = now_ - known.sent_at;
        results_[known.id] = result;
        from.clients.erase(call);
    }

    void perform(host& from, const send_to_backend& command)
    {
        auto& app = from.app;
        if (app.crashed) {
            schedule(0ms, [this, &from, run = command.run] {
                feed(from, backend_not_listening{});
                feed(from, backend_request_failed{run, backend_request_failure::unsent, true});
            });
            return;
        }
        if (!app.crash_on_target.empty() && command.content->target == app.crash_on_target) {
            ++run_counts_[command.content->id];
            last_run_times_[command.content->id] = now_;
            from.running_runs.insert(command.run);
            crash_times_.push_back(now_);
            // The crash happens after the node's step has returned.
            schedule(app.crash_delay, [this, &from, life = app.life] {
                if (from.app.life == life) {
                    crash_backend(from);
                }
            });
            return;
        }
        stated_organisations_[command.content->id] = command.organisation;
        app.requests_after_leaving += app.leaving ? 1 : 0;
        ++app.running;
        ++app.arrivals;
        from.running_runs.insert(command.run);
        const bool is_full = app.max_requests > 0 && app.running > app.max_requests;
        if (is_full || (app.shed_period > 0 && app.arrivals % app.shed_period == 0)) {
            schedule(0ms, [this, &from, run = command.run] { shed_run(from, run); });
            return;
        }
        ++run_counts_[command.content->id];
        last_run_times_[command.content->id] = now_;
        app.peak_running = std::max(app.peak_running, app.running);
        const bool slow = app.slow_period > 0 && app.arrivals % app.slow_period == 0;
        schedule(app.work * (slow ? app.slow_factor : 1),
                 [this, &from, run = command.run] { finish_run(from, run); });
    }
    void crash_backend(host& from)
    {
        auto& app = from.app;
        if (app.crashed) {
            return;
        }
        app.crashed = true;
        app.running = 0;
        const auto lost = std::exchange(from.running_runs, {});
        for (const auto run : lost) {
            if (!app.hangs_on_crash) {
                feed(from, backend_request_failed{run, backend_request_failure::broken, false});
            }
        }
        if (!app.hangs_on_crash) {
            schedule(probe_delay, [this, &from] {
                if (from.app.crashed) {
                    feed(from, backend_not_listening{});
                }
            });
        }
        schedule(app.restart_delay, [this, &from] {
            auto& restarted = from.app;
            restarted.crashed = false;
            restarted.id =
                backend_id{from.core.record().node + "-" + std::to_string(++restarted.life)};
            restarted.sequence = 0;
            check_in(from);
        });
    }
    void finish_run(host& from, run_id run)
    {
        auto& app = from.app;
        if (from.aborted_runs.erase(run) > 0) {
            --app.running;
        }
        if (from.running_runs.erase(run) == 0) {
            return;
        }
        const backend_load_report load{app.running, 0, app.slots};
        --app.running;
        if (app.loses_answers) {
            return;
        }
        if (app.crashed) {
            feed(from, backend_request_failed{run, backend_request_failure::broken, false});
            return;
        }
        auto content = std::make_shared<answer>();
        ++app.answers;
        const bool fails = app.failure_period > 0 && app.answers % app.failure_period == 0;
        content->status = fails ? 500 : app.status;
        feed(from, backend_answered{run, content, false, false, load});
    }
    void shed_run(host& from, run_id run)
    {
        if (from.running_runs.erase(run) == 0) {
            return;
        }
        const backend_load_report load{from.app.running, 0, from.app.slots};
        --from.app.running;
        auto content = std::make_shared<answer>();
        content->status = 503;
        feed(from, backend_answered{run, content, true, false, load});
    }
    void perform(host& from, const abort_run& command)
    {
        if (from.running_runs.erase(command.run) == 0) {
            return;
        }
        if (from.app.keeps_aborted_runs) {
            from.aborted_runs.insert(command.run);
        } else {
            --from.app.running;
        }
    }

    void perform(host& from, const dial_peer& command)
    {
        const auto new_owner = address_owners_.find(command.peer.node);
        const auto& at_address =
            new_owner == address_owners_.end() ? command.peer.node : new_owner->second;
        host* to = nullptr;
        for (auto& entry : hosts_) {
            to = entry->core.record().node == at_address ? entry.get() : to;
        }
        const link_id local_id{++last_link_};
        const node_id name{command.peer.node};
        if (to == nullptr || to->dead || to->is_partitioned || from.is_partitioned) {
            schedule(500ms, [this, &from, local_id, name] {
                feed(from, link_closed{local_id, name});
            });
            return;
        }
        const link_id remote_id{++last_link_};
        links_[local_id.value()] = {&from, to, local_id, remote_id, name};
        schedule(link_delay, [this, &from, to, local_id, remote_id, name] {
            feed(*to, link_opened{remote_id, std::nullopt});
            feed(from, link_opened{local_id, name});
        });
    }

    void perform(host& from, const close_link& command)
    {
        for (const auto& [key, entry] : links_) {
            if ((entry.local_id == command.link && entry.from == &from) ||
                (entry.remote_id == command.link && entry.to == &from)) {
                schedule(link_delay, [this, key = key] { close_both_ends(key); });
                return;
            }
        }
    }

    void kill_host(host& dead)
    {
        dead.dead = true;
        dead.is_reading = false;
        for (const auto& [id, entry] : links_) {
            if (entry.from == &dead || entry.to == &dead) {
                schedule(link_delay, [this, key = id] { close_both_ends(key); });
            }
        }
    }

    void apply(host& this_host, const mesh_wire::operator_row& row)
    {
        if (row.key == "config" && config_) {
            feed(this_host, config_read{std::make_shared<const mesh_config>(
                                config_version{row.row_version}, config_->routes(),
                                std::vector<service_settings>{}, client_limits{})});
        }
    }

    void perform(host& this_host, const apply_rows& command)
    {
        for (const auto& row : command.rows) {
            apply(this_host, row);
        }
    }

    /// Time until the frame has left the machine: the queue before it and its own transmission.
    duration transmission_delay(host& from, const mesh_wire::mesh_frame& frame)
    {
        if (from.bytes_per_ms == 0) {
            return {};
        }
        std::size_t bytes = frame_overhead + frame.run.body.size() + frame.answer.body.size();
        for (const auto& row : frame.rows.rows) {
            bytes += row.document.size();
            for (const auto& part : row.parts) {
                bytes += part.literal.size();
            }
        }
        from.link_idle_at = std::max(from.link_idle_at, now_) + 1ms * bytes / from.bytes_per_ms;
        return from.link_idle_at - now_;
    }

    void perform(host& from, const set_store_reading& command)
    {
        from.is_reading = false;
        if (command.follow) {
            schedule(store_delay, [this, &from] { start_reading(from); });
        }
    }

    void perform(host& from, const store_departures& command)
    {
        schedule(store_delay, [this, &from, command] {
            if (from.store_unavailable) {
                schedule(store_retry_delay, [this, &from, command] { perform(from, command); });
                return;
            }
            stored_departures_[from.settings.node.value()] = command.starts;
            feed(from, departures_stored{command.revision});
        });
    }
    void perform(host&, const acknowledge_check_in& command)
    {
        acknowledged_at_[command.call] = now_;
    }
    void read_departures(host& from)
    {
        schedule(store_delay, [this, &from, boot = from.core.record().boot] {
            if (from.core.record().boot != boot) {
                return;
            }
            if (from.store_unavailable) {
                schedule(store_retry_delay, [this, &from] { read_departures(from); });
                return;
            }
            feed(from, departures_read{stored_departures_[from.settings.node.value()]});
        });
    }

    void perform(host& from, const read_crashes&)
    {
        schedule(store_delay, [this, &from] {
            crashes_read input{{}, !from.store_unavailable};
            for (const auto& [writer, report] : quarantine_rows_) {
                input.report.ends.insert(input.report.ends.end(), report.ends.begin(),
                                         report.ends.end());
            }
            feed(from, input);
        });
    }

    void perform(host& from, const write_crashes& command)
    {
        schedule(store_delay, [this, &from, report = command.report] {
            if (!from.store_unavailable) {
                quarantine_rows_[from.settings.node.value()] = report;
            }
            feed(from, crashes_written{!from.store_unavailable});
        });
    }

    void start_reading(host& from)
    {
        from.is_reading = true;
        read_store(from, ++from.read_generation);
    }

    void read_store(host& from, std::uint64_t read_generation)
    {
        if (!from.is_reading || from.read_generation != read_generation || from.store_unavailable) {
            return;
        }
        rows_read input{{}, std::max<std::int64_t>(1, from.read_up_to), true};
        for (const auto& [key, row] : store_rows_) {
            if (row.row_version > from.read_up_to) {
                input.rows.push_back(row);
                input.read_up_to = std::max(input.read_up_to, row.row_version);
                apply(from, row);
            }
        }
        from.read_up_to = input.read_up_to;
        feed(from, input);
        schedule(max_read_wait(from.settings.bounds),
                 [this, &from, read_generation] { read_store(from, read_generation); });
    }

    void perform(host& from, const shutdown_complete&)
    {
        schedule(exit_delay, [this, &from] {
            feed(from, exit_imminent{});
            kill_host(from);
        });
    }

    void perform(host& from, const send_to_peer& command)
    {
        from.share_frames += command.frame.__isset.share && command.frame.share.phase == 0 ? 1 : 0;
        for (const auto& [key, entry] : links_) {
            const bool forward = entry.local_id == command.link && entry.from == &from;
            const bool backward = entry.remote_id == command.link && entry.to == &from;
            if (!forward && !backward) {
                continue;
            }
            host* to = forward ? entry.to : entry.from;
            const auto receiver_link = forward ? entry.remote_id : entry.local_id;
            if (from.is_partitioned || to->is_partitioned) {
                return;
            }
            auto with_body = command.frame;
            if (command.body) {
                (with_body.__isset.run ? with_body.run.body : with_body.answer.body) =
                    *command.body;
            }
            auto frame = std::make_shared<const mesh_wire::mesh_frame>(std::move(with_body));
            schedule(link_delay + transmission_delay(from, *frame),
                     [this, to, receiver_link, frame] {
                         feed(*to, frame_arrived{receiver_link, frame});
                     });
            return;
        }
    }

    void close_both_ends(std::uint64_t key)
    {
        const auto found = links_.find(key);
        if (found == links_.end()) {
            return;
        }
        const auto entry = found->second;
        links_.erase(found);
        feed(*entry.from, link_closed{entry.local_id, entry.name});
        feed(*entry.to, link_closed{entry.remote_id, std::nullopt});
    }

    void perform(host& from, const write_rollout_status& command)
    {
        const bool version_matches = command.expected_version == status_version_;
        rollout_status_written written;
        written.status = command.status;
        if (version_matches) {
            statuses_.push_back(command.status);
            status_version_ = ++last_row_version_;
            written.row_version = status_version_;
        }
        written.result = version_matches ? rollout_status_written::outcome::written
                                         : rollout_status_written::outcome::conflict;
        const rollout_status_read current{statuses_.back(), status_version_};
        schedule(4ms, [this, &from, written, current, version_matches] {
            feed(from, written);
            if (!version_matches) {
                // After a conflict the shell reads the row that it found instead.
                feed(from, current);
            }
        });
    }

    std::vector<std::unique_ptr<host>> hosts_;
    std::map<std::uint64_t, link> links_;
    /// Name of the node that now has the address of a killed node, by the name of the killed node.
    std::map<std::string, std::string> address_owners_;
    std::priority_queue<scheduled_event> scheduled_events_;
    /// The operators' rows in the store, by key.
    std::map<std::string, mesh_wire::operator_row> store_rows_;
    std::vector<organisation> organisations_;
    std::optional<std::string> key_;
    std::map<std::string, organisation_id> stated_organisations_;
    std::map<std::string, int> run_counts_;
    std::map<std::string, time_point> last_run_times_;
    std::map<std::string, client_result> results_;
    /// Quarantined requests in the store, by the node that wrote them.
    std::map<std::string, mesh_wire::crash_report> quarantine_rows_;
    /// Backend servers that left, in the store, by node.
    std::map<std::string, std::vector<backend_start>> stored_departures_;
    std::map<check_in_id, time_point> acknowledged_at_;
    std::uint64_t last_check_in_ = 0;
    std::vector<rollout_status> statuses_;
    std::vector<time_point> crash_times_;
    time_point now_{1h};
    std::uint64_t last_event_ = 0;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_link_ = 0;
    std::int64_t last_order_ = 0;
    std::int64_t last_boot_ = 1;
    mesh_config_ptr config_;
    std::optional<rollout_order> order_;
    std::int64_t last_row_version_ = 0;
    std::int64_t status_version_ = 0;
};

} // namespace camphor::mesh::test
