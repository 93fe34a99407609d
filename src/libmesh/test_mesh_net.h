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
struct test_app {
    backend_id id;
    service_id service;
    release_id release{"v1"};
    int slots = 4;
    duration work = 100ms;
    /// HTTP status of every answer.
    std::int32_t status = 200;
    /// One in this many answers is a failure; 0: none.
    int fails_each = 0;
    int answers = 0;
    /// One in this many requests takes `slow_factor` times as long; 0: none.
    int slow_each = 0;
    int slow_factor = 1;
    /// End of the warm-up time that the check-in reports.
    time_point cold_until{};
    /// Answers are lost: the request runs but the node receives no answer.
    bool loses_answers = false;
    bool crashed = false;
    /// A request with this target crashes the backend server, which restarts as a new instance
    /// after `down`. Empty: none.
    std::string ends_by;
    duration down = 800ms;
    /// Time that such a request runs before the crash.
    duration ends_after{};
    /// On a crash, connections hang instead of closing.
    bool ends_silently = false;
    /// Number of starts so far.
    std::int64_t life = 1;
    std::int64_t sequence = 0;
    int running = 0;
    int most_running = 0;
    int arrivals = 0;
    /// Requests that arrived after the backend server announced that it leaves.
    int after_leaving = 0;
    bool leaving = false;
};

/// Nodes "n0", "n1", … in zones "z0", "z1", …, each with one local backend server of the service
/// "s".
class test_net {
public:
    explicit test_net(std::size_t nodes, std::size_t zones = 3)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            add_node(i, "z" + std::to_string(i % zones));
        }
        std::vector<mesh_wire::node_record> records;
        for (const auto& item : hosts_) {
            records.push_back(item->core.record());
        }
        for (auto& item : hosts_) {
            feed(*item, nodes_listed{records});
            start_reading(*item);
        }
        run_for(1s);
    }

    test_app& app(std::size_t i) { return hosts_.at(i)->app; }
    node& core(std::size_t i) { return hosts_.at(i)->core; }
    time_point now() const { return now_; }
    /// Number of times that the request ran, over all backend servers.
    int runs(const std::string& id) const
    {
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }
    const std::map<std::string, int>& all_runs() const { return runs_; }
    std::map<std::string, client_result>& results() { return results_; }

    void configure(bool safe, milliseconds timeout = 1000ms, milliseconds objective = 400ms,
                   std::int64_t version = 1)
    {
        route way;
        way.name = route_id{"r"};
        way.host = "h";
        way.prefix = "/p/";
        way.safe = safe;
        way.timeout = timeout;
        way.objective = objective;
        way.priority = 1;
        way.max_attempts = 2;
        way.targets.push_back({service_id{"s"}, 1});
        config_ =
            std::make_shared<const mesh_config>(config_version{version}, std::vector<route>{way},
                                                std::vector<service_settings>{}, client_limits{});
        for (auto& item : hosts_) {
            feed(*item, config_read{config_});
        }
    }

    void check_in(std::size_t i, bool draining = false) { check_in(*hosts_.at(i), draining); }

    /// The backend server deregisters without draining first.
    void say_goodbye(std::size_t i)
    {
        hosts_.at(i)->app.leaving = true;
        feed(*hosts_.at(i), backend_left{hosts_.at(i)->app.id});
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
        auto& at = *hosts_.at(i);
        if (at.dead) {
            return;
        }
        const call_id call{++calls_};
        auto content = std::make_shared<request>();
        content->method = "GET";
        content->host = "h";
        content->target = target;
        content->id = id;
        at.clients[call] = {id, now_};
        feed(at, client_request{call, content, patience});
    }

    void leave(std::size_t i, const std::string& id)
    {
        auto& at = *hosts_.at(i);
        for (const auto& [call, client] : at.clients) {
            if (client.id == id) {
                feed(at, client_gone{call});
                return;
            }
        }
    }

    /// While the node is partitioned, frames from and to it are silently lost.
    void cut(std::size_t i, bool is_cut) { hosts_.at(i)->cut = is_cut; }

    /// The node's process is killed: its connections close.
    void kill(std::size_t i) { kill_host(*hosts_.at(i)); }

    /// The node's process restarts: it reads the store, and its backend server checks in.
    void start_again(std::size_t i)
    {
        auto& again = *hosts_.at(i);
        again.core = node(again.settings, ++boots_, i + 1);
        again.dead = false;
        again.clients.clear();
        again.at_work.clear();
        again.app.running = 0;
        schedule_tick(again);
        std::vector<mesh_wire::node_record> records;
        for (const auto& item : hosts_) {
            records.push_back(item->core.record());
        }
        feed(again, nodes_listed{records});
        if (config_) {
            feed(again, config_read{config_});
        }
        if (order_) {
            feed(again, order_read{*order_});
        }
        again.read_up_to = 0;
        start_reading(again);
        if (!statuses_.empty()) {
            feed(again, rollout_status_read{statuses_.back(), status_version_});
        }
        check_in(i);
    }

    /// Times at which a request that crashes its backend server arrived there, in order.
    const std::vector<time_point>& ends() const { return ends_; }

    /// Number of requests that the nodes refused or failed for this reason, over all nodes.
    std::uint64_t refusals(const std::string& reason) const
    {
        std::uint64_t out = 0;
        for (const auto& item : hosts_) {
            const auto& all = item->core.counters().refusals_by_reason;
            const auto found = all.find(reason);
            out += found == all.end() ? 0 : found->second;
        }
        return out;
    }

    /// The backend server crashes without a request as the cause.
    void end_app(std::size_t i) { end_app(*hosts_.at(i)); }

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
        auto& at = *hosts_.at(i);
        apply(at, row);
        feed(at, rows_read{{row}, row.row_version, true});
    }

    /// The operators write a row, which the nodes that read the store receive. A row with the key
    /// "config" stands for a configuration of that version.
    void write_row(const mesh_wire::operator_row& row)
    {
        store_rows_[row.key] = row;
        for (auto& item : hosts_) {
            read_store(*item, item->reading);
        }
    }

    /// While unavailable, the store does not answer the node's reads.
    void turn_away(std::size_t i, bool is_away)
    {
        hosts_.at(i)->is_turned_away = is_away;
        read_store(*hosts_.at(i), hosts_.at(i)->reading);
    }

    std::int64_t config_version_of(std::size_t i) const
    {
        const auto& held = hosts_.at(i)->core.config();
        return held ? held->version().value() : 0;
    }

    bool is_dead(std::size_t i) const { return hosts_.at(i)->dead; }

    /// Number of requests of the node's clients that ran and have not been answered.
    std::size_t unanswered_runs(std::size_t i) const
    {
        const auto& clients = hosts_.at(i)->clients;
        return static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(),
                          [this](const auto& entry) { return runs(entry.second.id) > 0; }));
    }

    void set_bounds(std::size_t i, const mesh_bounds& bounds)
    {
        feed(*hosts_.at(i), bounds_changed{bounds});
    }

    /// Time of the last start of the request on a backend server; none when it never ran.
    std::optional<time_point> last_run(const std::string& id) const
    {
        const auto found = last_runs_.find(id);
        return found == last_runs_.end() ? std::nullopt : std::optional(found->second);
    }

    /// From now on, a node that dials the address of node `gone` reaches node `heir`.
    void pass_address(std::size_t gone, std::size_t heir)
    {
        heirs_["n" + std::to_string(gone)] = "n" + std::to_string(heir);
    }

    /// Schedules `act` after `span` of virtual time; run_for() executes it.
    void after(duration span, std::function<void()> act) { at(span, std::move(act)); }

    void stop(std::size_t i) { feed(*hosts_.at(i), stop_asked{}); }

    void order_rollout(const std::string& release, milliseconds within)
    {
        order_ = rollout_order{service_id{"s"}, release_id{release}, within, ++orders_};
        for (auto& item : hosts_) {
            feed(*item, order_read{*order_});
        }
    }
    /// Roll-out statuses that the nodes wrote to the store, in order.
    const std::vector<rollout_status>& statuses() const { return statuses_; }

    void run_for(duration span)
    {
        const auto end = now_ + span;
        while (!queue_.empty() && queue_.top().at <= end) {
            const auto next = queue_.top();
            queue_.pop();
            now_ = next.at;
            (*next.act)();
        }
        now_ = end;
    }

private:
    struct client {
        std::string id;
        time_point since;
    };
    struct host {
        host(const mesh_settings& own, std::uint64_t seed) : settings(own), core(own, 1, seed) {}
        mesh_settings settings;
        node core;
        test_app app;
        std::map<call_id, client> clients;
        std::set<run_id> at_work;
        bool cut = false;
        bool dead = false;
        bool is_turned_away = false;
        /// Incremented each time the node begins to read the store, to discard reads from before.
        std::uint64_t reading = 0;
        bool reads = false;
        std::int64_t read_up_to = 0;
        std::size_t bytes_per_ms = 0;
        /// Time at which the machine's link has sent all queued bytes.
        time_point link_free_at{};
    };
    struct link {
        host* from = nullptr;
        host* to = nullptr;
        link_id here;
        link_id there;
        /// Name of the node that was dialled.
        node_id name;
    };
    struct timed {
        time_point at;
        std::uint64_t order = 0;
        std::shared_ptr<std::function<void()>> act;
        bool operator<(const timed& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    static constexpr duration link_delay = 1ms;
    static constexpr duration tick = 25ms;
    static constexpr duration store_delay = 4ms;
    /// Delay after a lost connection until the shell has checked whether something still listens.
    static constexpr duration probe_delay = 50ms;
    /// Time from a node's may_stop effect until its process ends.
    static constexpr duration goodbye = 500ms;
    /// Bytes of a frame without its rows and bodies.
    static constexpr std::size_t frame_overhead = 200;

    void check_in(host& at_host, bool draining = false)
    {
        auto& app = at_host.app;
        backend_checked_in seen;
        seen.id = app.id;
        seen.born = app.life;
        seen.sequence = ++app.sequence;
        seen.service = app.service;
        seen.release = app.release;
        seen.slots = app.slots;
        seen.draining = draining;
        seen.cold_left =
            std::max(0ms, std::chrono::duration_cast<milliseconds>(app.cold_until - now_));
        app.leaving = app.leaving || draining;
        feed(at_host, seen);
    }

    void add_node(std::size_t i, const std::string& zone)
    {
        mesh_settings settings;
        settings.node = node_id{"n" + std::to_string(i)};
        settings.zone = zone_id{zone};
        settings.service = service_id{"s"};
        settings.peers = {settings.node.value(), 1};
        settings.bounds.retry_extra = 60;
        auto made = std::make_unique<host>(settings, i + 1);
        made->app.id = backend_id{"b" + std::to_string(i)};
        made->app.service = service_id{"s"};
        hosts_.push_back(std::move(made));
        schedule_tick(*hosts_.back());
    }

    void schedule_tick(host& at_host)
    {
        at(tick, [this, &at_host] {
            if (!at_host.dead) {
                feed(at_host, time_passed{});
                schedule_tick(at_host);
            }
        });
    }

    void at(duration after, std::function<void()> act)
    {
        queue_.push(
            {now_ + after, ++events_, std::make_shared<std::function<void()>>(std::move(act))});
    }

    void feed(host& at_host, const event& happened)
    {
        if (at_host.dead) {
            return;
        }
        for (const auto& item : at_host.core.step(happened, now_)) {
            std::visit([&](const auto& order) { perform(at_host, order); }, item);
        }
    }

    template <class Other>
    void perform(host&, const Other&)
    {
    }

    void perform(host& from, const deliver_answer& order)
    {
        finish(from, order.call, {order.content->status, {}, std::nullopt, ""});
    }
    void perform(host& from, const deliver_refusal& order)
    {
        finish(from, order.call, {order.status, {}, order.retry_after, order.reason});
    }
    void finish(host& from, call_id call, client_result result)
    {
        const auto known = from.clients.at(call);
        result.took = now_ - known.since;
        results_[known.id] = result;
        from.clients.erase(call);
    }

    void perform(host& from, const send_to_app& order)
    {
        auto& app = from.app;
        if (app.crashed) {
            at(0ms, [this, &from, run = order.run] {
                feed(from, app_gone{});
                feed(from, app_failed{run, app_failure::unsent, true});
            });
            return;
        }
        if (!app.ends_by.empty() && order.content->target == app.ends_by) {
            ++runs_[order.content->id];
            last_runs_[order.content->id] = now_;
            from.at_work.insert(order.run);
            ends_.push_back(now_);
            // The crash happens after the node's step has returned.
            at(app.ends_after, [this, &from, life = app.life] {
                if (from.app.life == life) {
                    end_app(from);
                }
            });
            return;
        }
        app.after_leaving += app.leaving ? 1 : 0;
        ++runs_[order.content->id];
        last_runs_[order.content->id] = now_;
        ++app.running;
        ++app.arrivals;
        app.most_running = std::max(app.most_running, app.running);
        from.at_work.insert(order.run);
        const bool slow = app.slow_each > 0 && app.arrivals % app.slow_each == 0;
        at(app.work * (slow ? app.slow_factor : 1),
           [this, &from, run = order.run] { finish_run(from, run); });
    }
    void end_app(host& from)
    {
        auto& app = from.app;
        if (app.crashed) {
            return;
        }
        app.crashed = true;
        app.running = 0;
        const auto cut = std::exchange(from.at_work, {});
        for (const auto run : cut) {
            if (!app.ends_silently) {
                feed(from, app_failed{run, app_failure::broken, false});
            }
        }
        if (!app.ends_silently) {
            at(probe_delay, [this, &from] {
                if (from.app.crashed) {
                    feed(from, app_gone{});
                }
            });
        }
        at(app.down, [this, &from] {
            auto& again = from.app;
            again.crashed = false;
            again.id = backend_id{from.core.record().node + "-" + std::to_string(++again.life)};
            again.sequence = 0;
            check_in(from);
        });
    }
    void finish_run(host& from, run_id run)
    {
        if (from.at_work.erase(run) == 0) {
            return;
        }
        auto& app = from.app;
        const reported_load load{app.running, 0, app.slots};
        --app.running;
        if (app.loses_answers) {
            return;
        }
        if (app.crashed) {
            feed(from, app_failed{run, app_failure::broken, false});
            return;
        }
        auto content = std::make_shared<answer>();
        ++app.answers;
        const bool fails = app.fails_each > 0 && app.answers % app.fails_each == 0;
        content->status = fails ? 500 : app.status;
        feed(from, app_answered{run, content, false, false, load});
    }
    void perform(host& from, const drop_run& order)
    {
        if (from.at_work.erase(order.run) > 0) {
            --from.app.running;
        }
    }

    void perform(host& from, const dial_peer& order)
    {
        const auto heir = heirs_.find(order.peer.node);
        const auto& at_address = heir == heirs_.end() ? order.peer.node : heir->second;
        host* to = nullptr;
        for (auto& item : hosts_) {
            to = item->core.record().node == at_address ? item.get() : to;
        }
        const link_id here{++last_link_};
        const node_id name{order.peer.node};
        if (to == nullptr || to->dead || to->cut || from.cut) {
            at(500ms, [this, &from, here, name] { feed(from, link_closed{here, name}); });
            return;
        }
        const link_id there{++last_link_};
        links_[here.value()] = {&from, to, here, there, name};
        at(link_delay, [this, &from, to, here, there, name] {
            feed(*to, link_opened{there, std::nullopt});
            feed(from, link_opened{here, name});
        });
    }

    void perform(host& from, const close_link& order)
    {
        for (const auto& [key, item] : links_) {
            if ((item.here == order.link && item.from == &from) ||
                (item.there == order.link && item.to == &from)) {
                at(link_delay, [this, key = key] { break_link(key); });
                return;
            }
        }
    }

    void kill_host(host& dead)
    {
        dead.dead = true;
        dead.reads = false;
        for (const auto& [id, item] : links_) {
            if (item.from == &dead || item.to == &dead) {
                at(link_delay, [this, key = id] { break_link(key); });
            }
        }
    }

    void apply(host& at, const mesh_wire::operator_row& row)
    {
        if (row.key == "config" && config_) {
            feed(at, config_read{std::make_shared<const mesh_config>(
                         config_version{row.row_version}, config_->routes(),
                         std::vector<service_settings>{}, client_limits{})});
        }
    }

    void perform(host& at, const take_rows& order)
    {
        for (const auto& row : order.rows) {
            apply(at, row);
        }
    }

    /// Time until the frame has left the machine: the queue before it and its own transmission.
    duration time_at_link(host& from, const mesh_wire::mesh_frame& frame)
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
        from.link_free_at = std::max(from.link_free_at, now_) + 1ms * bytes / from.bytes_per_ms;
        return from.link_free_at - now_;
    }

    void perform(host& from, const follow_store& order)
    {
        from.reads = false;
        if (order.follow) {
            at(store_delay, [this, &from] { start_reading(from); });
        }
    }

    void perform(host& from, const read_crashes&)
    {
        at(store_delay, [this, &from] {
            crashes_read happened{{}, !from.is_turned_away};
            for (const auto& [writer, report] : crash_rows_) {
                happened.report.ends.insert(happened.report.ends.end(), report.ends.begin(),
                                            report.ends.end());
            }
            feed(from, happened);
        });
    }

    void perform(host& from, const write_crashes& order)
    {
        at(store_delay, [this, &from, report = order.report] {
            if (!from.is_turned_away) {
                crash_rows_[from.settings.node.value()] = report;
            }
            feed(from, crashes_written{!from.is_turned_away});
        });
    }

    void start_reading(host& from)
    {
        from.reads = true;
        read_store(from, ++from.reading);
    }

    void read_store(host& from, std::uint64_t reading)
    {
        if (!from.reads || from.reading != reading || from.is_turned_away) {
            return;
        }
        rows_read happened{{}, std::max<std::int64_t>(1, from.read_up_to), true};
        for (const auto& [key, row] : store_rows_) {
            if (row.row_version > from.read_up_to) {
                happened.rows.push_back(row);
                happened.read_up_to = std::max(happened.read_up_to, row.row_version);
                apply(from, row);
            }
        }
        from.read_up_to = happened.read_up_to;
        feed(from, happened);
        at(longest_read(from.settings.bounds),
           [this, &from, reading] { read_store(from, reading); });
    }

    void perform(host& from, const may_stop&)
    {
        at(goodbye, [this, &from] { kill_host(from); });
    }

    void perform(host& from, const send_to_peer& order)
    {
        for (const auto& [key, item] : links_) {
            const bool forward = item.here == order.link && item.from == &from;
            const bool backward = item.there == order.link && item.to == &from;
            if (!forward && !backward) {
                continue;
            }
            host* to = forward ? item.to : item.from;
            const auto far = forward ? item.there : item.here;
            if (from.cut || to->cut) {
                return;
            }
            auto frame = std::make_shared<const mesh_wire::mesh_frame>(order.frame);
            at(link_delay + time_at_link(from, order.frame), [this, to, far, frame] {
                feed(*to, frame_arrived{far, frame});
            });
            return;
        }
    }

    void break_link(std::uint64_t key)
    {
        const auto found = links_.find(key);
        if (found == links_.end()) {
            return;
        }
        const auto item = found->second;
        links_.erase(found);
        feed(*item.from, link_closed{item.here, item.name});
        feed(*item.to, link_closed{item.there, std::nullopt});
    }

    void perform(host& from, const write_rollout_status& order)
    {
        const bool fits = order.expected_version == status_version_;
        rollout_status_written done;
        done.status = order.status;
        if (fits) {
            statuses_.push_back(order.status);
            status_version_ = ++version_;
            done.row_version = status_version_;
        }
        done.result = fits ? rollout_status_written::outcome::written
                           : rollout_status_written::outcome::conflict;
        const rollout_status_read held{statuses_.back(), status_version_};
        at(4ms, [this, &from, done, held, fits] {
            feed(from, done);
            if (!fits) {
                // After a conflict the shell reads the row that it found instead.
                feed(from, held);
            }
        });
    }

    std::vector<std::unique_ptr<host>> hosts_;
    std::map<std::uint64_t, link> links_;
    /// Name of the node that now has the address of a killed node, by the name of the killed node.
    std::map<std::string, std::string> heirs_;
    std::priority_queue<timed> queue_;
    /// The operators' rows in the store, by key.
    std::map<std::string, mesh_wire::operator_row> store_rows_;
    std::map<std::string, int> runs_;
    std::map<std::string, time_point> last_runs_;
    std::map<std::string, client_result> results_;
    /// Quarantined requests in the store, by the node that wrote them.
    std::map<std::string, mesh_wire::crash_report> crash_rows_;
    std::vector<rollout_status> statuses_;
    std::vector<time_point> ends_;
    time_point now_{1h};
    std::uint64_t events_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t last_link_ = 0;
    std::int64_t orders_ = 0;
    std::int64_t boots_ = 1;
    mesh_config_ptr config_;
    std::optional<rollout_order> order_;
    std::int64_t version_ = 0;
    std::int64_t status_version_ = 0;
};

} // namespace camphor::mesh::test
