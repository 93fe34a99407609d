// Connections to other nodes and the frames exchanged with them: membership, load reports,
// operators' rows and roll-outs.
#include "libmesh/body_parts.h"
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>
#include <utility>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Delay before the first redial of a lost node; doubled after each failed dial.
constexpr duration initial_redial_backoff = 50ms;
constexpr int max_backoff_doublings = 5;
/// A node that has been unreachable for this long has probably left, and is dialled less often. It
/// may also be cut off.
constexpr auto presumed_left_after = 120s;
constexpr duration presumed_left_redial_interval = 10s;
/// A node that has been unreachable for this long is removed from the directory. Longer than
/// regions are cut off from each other.
constexpr auto forget_peer_after = 2h;
constexpr double permille_of_one = 1000;
/// A node that reads the store for its zone sends keep-alives at this interval, and is replaced
/// when nothing was heard from it for the timeout. Both are short enough for a configuration to be
/// in force within two seconds, the shortest limit of any fleet.
constexpr auto zone_keepalive_interval = 400ms;
constexpr auto zone_reader_timeout = 1200ms;
/// Time allowed for this zone's reader to pass on a configuration that another zone already has,
/// before this node pulls it. On the slowest links of the grown fleets (10 Mbit/s) a large row
/// takes about a tenth of a second per relay step, and there are several steps.
constexpr auto zone_push_grace = 600ms;
/// Rows with more bytes in total than this are relayed from node to node within the zone.
constexpr std::size_t max_direct_bytes = 8'192;
/// Number of nodes to which one node sends large rows.
constexpr std::size_t relay_fanout = 2;
/// Minimum time between two answers to pulls. Two copies of the largest configurations of the
/// grown fleets take less than this on a link of 10 Mbit/s.
constexpr auto pull_answer_interval = 200ms;
/// A node that has owed an answer for this long is pinged at each timer_tick event.
constexpr auto ping_after = 150ms;
/// A node that has owed an answer for this long receives no new requests: it may be partitioned,
/// with its connections hanging. Longer than two times idle_poll_interval of node.cpp.
constexpr auto unresponsive_after = 600ms;
/// A zone is silent when nothing has arrived from it for this long and at least `min_owing_nodes`
/// of its nodes owe an answer for longer than ping_after. Longer than ping_after plus one
/// idle_poll_interval, so that a ping has been answered by then if the zone is reachable.
constexpr auto zone_silence_after = 400ms;
constexpr int min_owing_nodes = 2;
/// A new roll-out leader raises no share before this delay has passed: connections open within
/// some hundred milliseconds, and owners report every 200 ms.
constexpr auto leader_takeover_delay = 1s;
/// Minimum time between two pulls.
constexpr auto pull_interval = 500ms;

} // namespace

void node::handle(const nodes_listed& input)
{
    for (const auto& record : input.nodes) {
        if (record.node != settings_.node.value() && peers_.add_or_update(record)) {
            log(log_level::info, "peer.learned", "",
                {{"peer", record.node}, {"zone", record.zone}});
        }
    }
    dial_disconnected_peers();
}

void node::dial_disconnected_peers()
{
    for (auto entry = peers_.all().begin(); entry != peers_.all().end();) {
        auto& remote = entry->second;
        if (!remote.link && remote.lost_at && now_ - *remote.lost_at > forget_peer_after) {
            log(log_level::info, "peer.forgotten", "", {{"peer", entry->first.value()}});
            entry = peers_.all().erase(entry);
            continue;
        }
        if (!remote.link && !remote.dialling && now_ >= remote.next_dial) {
            remote.dialling = true;
            effects_.emplace_back(dial_peer{remote.record});
        }
        ++entry;
    }
}

void node::handle(const link_opened& input)
{
    auto& link = links_[input.link];
    link.peer = input.dialled;
    link.dialled = input.dialled.has_value();
    if (!input.dialled) {
        return;
    }
    auto* remote = peers_.find(*input.dialled);
    if (remote == nullptr) {
        effects_.emplace_back(close_link{input.link});
        return;
    }
    remote->link = input.link;
    remote->dialling = false;
    remote->failed_dials = 0;
    remote->lost_at.reset();
    send_frame(input.link, make_state_frame());
    send_departures(input.link, *remote);
    for (const auto& share : rollouts_.shares(now_)) {
        mesh_wire::mesh_frame frame;
        frame.__set_share(share);
        send_frame(input.link, std::move(frame));
    }
    if (!suspects_.empty()) {
        mesh_wire::mesh_frame frame;
        frame.__set_crashes(suspects_.report(now_));
        send_frame(input.link, std::move(frame));
    }
}

void node::handle(const link_closed& input)
{
    links_.erase(input.link);
    std::vector<run_origin> orphans;
    for (const auto& [id, run] : runs_) {
        if (run.origin.link == input.link) {
            orphans.push_back(run.origin);
        }
    }
    for (const auto& origin : orphans) {
        cancel_run(origin);
    }
    auto* remote = input.dialled ? peers_.find(*input.dialled) : nullptr;
    if (remote == nullptr || (remote->link && *remote->link != input.link)) {
        return;
    }
    on_peer_lost(*remote);
}

void node::on_peer_lost(peer& lost)
{
    const bool was_open = lost.link.has_value();
    lost.link.reset();
    lost.store_fresh = false;
    lost.dialling = false;
    const bool has_probably_left = lost.lost_at && now_ - *lost.lost_at > presumed_left_after;
    lost.next_dial =
        now_ + (has_probably_left ? presumed_left_redial_interval
                                  : initial_redial_backoff *
                                        (1 << std::min(lost.failed_dials, max_backoff_doublings)));
    ++lost.failed_dials;
    if (!lost.lost_at) {
        lost.lost_at = now_;
    }
    if (!was_open) {
        return;
    }
    ++counters_.membership_changes;
    log(log_level::warning, "peer.lost", "", {{"peer", lost.record.node}});
    const node_id name{lost.record.node};
    std::vector<attempt_id> lost_attempts;
    for (const auto& [id, call] : attempts_) {
        const auto& call_attempts = calls_.at(call).attempts;
        const auto match =
            std::find_if(call_attempts.begin(), call_attempts.end(),
                         [&, lost_id = id](const attempt& entry) { return entry.id == lost_id; });
        if (match != call_attempts.end() && match->owner == name) {
            lost_attempts.push_back(id);
        }
    }
    for (const auto id : lost_attempts) {
        on_result(id, {mesh_wire::run_outcome::failed, nullptr, "peer_lost", {}});
    }
}

void node::handle_replaced_peer(link_id link, const node_id& gone, const node_id& found)
{
    log(log_level::warning, "peer.replaced", "",
        {{"peer", gone.value()}, {"found", found.value()}});
    if (auto* remote = peers_.find(gone); remote != nullptr && remote->link == link) {
        on_peer_lost(*remote);
        peers_.forget(gone);
    }
    effects_.emplace_back(close_link{link});
}

void node::send_frame(link_id link, mesh_wire::mesh_frame frame, body_ptr body)
{
    const auto known = links_.find(link);
    if (known == links_.end()) {
        return;
    }
    effects_.emplace_back(send_to_peer{link, std::move(frame), std::move(body)});
}

mesh_wire::mesh_frame node::make_state_frame() const
{
    mesh_wire::node_state state;
    state.__set_sender(record_);
    state.__set_revision(revision_);
    if (own_backend_) {
        state.__set_backend(to_wire(*own_backend_, now_));
    }
    state.__set_load(current_load(route_id{}));
    state.__set_stopping(stopping_);
    if (stopping_ && now_ < earliest_exit_at()) {
        state.__set_lends_for_ms(
            static_cast<std::int32_t>((earliest_exit_at() - now_) / milliseconds(1)));
    }
    state.__set_config_version(config_ ? config_->version().value() : 0);
    state.__set_store_fresh(store_fresh_);
    state.__set_reads_late(reads_late_);
    state.__set_store_era(store_era_);
    mesh_wire::mesh_frame frame;
    frame.__set_state(state);
    return frame;
}

void node::broadcast_state(audience to)
{
    ++revision_;
    const auto frame = make_state_frame();
    // Only nodes that dialled this one send it requests and need its state.
    for (const auto& [id, link] : links_) {
        const auto* remote = link.peer ? peers_.find(*link.peer) : nullptr;
        const bool is_other_zone = remote != nullptr && !in_own_zone(*remote);
        if (!link.dialled && (to == audience::all || !is_other_zone)) {
            effects_.emplace_back(send_to_peer{id, frame});
        }
    }
}

void node::handle(const frame_arrived& input)
{
    const auto known = links_.find(input.link);
    if (known == links_.end()) {
        return;
    }
    if (auto* from = known->second.peer ? peers_.find(*known->second.peer) : nullptr) {
        from->heard_at = now_;
        from->unanswered_since.reset();
    }
    const auto& frame = *input.frame;
    if (frame.__isset.state) {
        on_node_state(input.link, frame.state);
    }
    if (frame.__isset.run) {
        on_run_request(input.link, input.frame);
    }
    if (frame.__isset.answer) {
        on_run_answer(input.link, frame.answer);
    }
    if (frame.__isset.cancel) {
        cancel_run({input.link, attempt_id{static_cast<std::uint64_t>(frame.cancel.call)}});
    }
    if (frame.__isset.rows) {
        on_rows_push(input.link, frame.rows);
    }
    if (frame.__isset.pull) {
        on_rows_pull(input.link);
    }
    if (frame.__isset.ping && frame.ping) {
        mesh_wire::mesh_frame reply;
        reply.__set_ping(false);
        send_frame(input.link, std::move(reply));
    }
    if (frame.__isset.share) {
        on_rollout_share(input.link, frame.share);
    }
    if (frame.__isset.crashes) {
        on_crash_report(input.link, frame.crashes);
    }
    if (frame.__isset.load) {
        if (auto* from = known->second.peer ? peers_.find(*known->second.peer) : nullptr) {
            from->announces_free_slots = true;
            update_peer_load(*from, frame.load, nullptr);
        }
    }
    if (frame.__isset.usage) {
        on_allowance_report(input.link, frame.usage);
    }
    if (frame.__isset.grants) {
        on_allowance_grants(frame.grants);
    }
    if (frame.__isset.departed) {
        on_departures(frame.departed);
    }
    if (frame.__isset.report) {
        const auto* from = known->second.peer ? peers_.find(*known->second.peer) : nullptr;
        rollouts_.on_evidence(frame.report, zone_id{from == nullptr ? "" : from->record.zone});
    }
}

void node::on_run_request(link_id link, const std::shared_ptr<const mesh_wire::mesh_frame>& frame)
{
    const auto& run = frame->run;
    auto content = std::make_shared<request>();
    content->method = run.method;
    content->target = run.target;
    content->head = run.head;
    content->body = run.body;
    content->id = run.request_id;
    if (content->body.size() > body_part_bytes) {
        content->held = frame;
    }
    offer_run({link, attempt_id{static_cast<std::uint64_t>(run.call)}}, run, std::move(content));
}

void node::send_departures(link_id link, peer& to)
{
    to.departed.forget_old(now_, unknown_start_memory());
    if (to.departed.all().empty()) {
        return;
    }
    std::vector<mesh_wire::departed_backend> departed;
    for (const auto& [id, left] : to.departed.all()) {
        mesh_wire::departed_backend entry;
        entry.__set_id(id.value());
        entry.__set_born(left.born);
        entry.__set_age_ms((now_ - left.at) / milliseconds(1));
        departed.push_back(std::move(entry));
    }
    mesh_wire::mesh_frame frame;
    frame.__set_departed(departed);
    send_frame(link, std::move(frame));
}

void node::on_departures(const std::vector<mesh_wire::departed_backend>& departed)
{
    for (const auto& entry : departed) {
        const auto age = std::max<duration>(milliseconds(entry.age_ms), duration{});
        record_departure({backend_id{entry.id}, entry.born}, now_ - age);
    }
    retire_departed_backend();
}

void node::on_rollout_share(link_id link, const mesh_wire::rollout_share& share)
{
    if (!rollouts_.on_share(share, now_)) {
        return;
    }
    const auto& from = links_.at(link).peer;
    log(log_level::info, "rollout.heard", "",
        {{"peer", from ? from->value() : "unknown"},
         {"service", share.service_name},
         {"release", share.target},
         {"share", std::to_string(share.permille)},
         {"phase", std::to_string(share.phase)},
         {"sequence", std::to_string(share.sequence)}});
}

void node::send_to_all(const mesh_wire::mesh_frame& frame)
{
    for (const auto& [name, remote] : peers_.all()) {
        if (remote.link) {
            send_frame(*remote.link, frame);
        }
    }
}

void node::send_to_zone(const mesh_wire::mesh_frame& frame)
{
    for (const auto& [name, remote] : peers_.all()) {
        if (remote.link && in_own_zone(remote)) {
            send_frame(*remote.link, frame);
        }
    }
}

void node::broadcast_rollout_shares(const std::vector<mesh_wire::rollout_share>& shares)
{
    for (const auto& share : shares) {
        mesh_wire::mesh_frame frame;
        frame.__set_share(share);
        send_to_all(frame);
    }
}

std::optional<node_id> node::rollout_leader() const
{
    std::optional<node_id> leader;
    if (store_fresh_ && !stopping_) {
        leader = settings_.node;
    }
    for (const auto& [name, remote] : peers_.all()) {
        if (remote.link && remote.store_fresh && !remote.stopping && (!leader || name < *leader)) {
            leader = name;
        }
    }
    return leader;
}

void node::update_rollout_leader(const std::optional<node_id>& leader)
{
    if (leader == rollout_leader_) {
        return;
    }
    const auto name = [](const std::optional<node_id>& node_name) {
        return node_name ? node_name->value() : std::string("none");
    };
    log(log_level::info, "rollout.decider", "",
        {{"before", name(rollout_leader_)}, {"decider", name(leader)}});
    rollout_leader_ = leader;
    leader_since_ = now_;
}

void node::evaluate_rollouts()
{
    if (now_ < next_rollout_evaluation_) {
        return;
    }
    next_rollout_evaluation_ = now_ + move_policy::window;
    const auto leader = rollout_leader();
    update_rollout_leader(leader);
    if (!leader) {
        return;
    }
    if (const auto evidence = rollouts_.take_evidence()) {
        auto* remote = peers_.find(*leader);
        if (*leader == settings_.node) {
            rollouts_.on_evidence(*evidence, settings_.zone);
        } else if (remote != nullptr && remote->link) {
            mesh_wire::mesh_frame frame;
            frame.__set_report(*evidence);
            send_frame(*remote->link, std::move(frame));
        }
    }
    if (*leader != settings_.node) {
        return;
    }
    const auto longest_request = [this](const service_id& service) {
        duration longest{};
        if (config_) {
            for (const auto& route_config : config_->routes()) {
                const bool is_target =
                    std::any_of(route_config.targets.begin(), route_config.targets.end(),
                                [&](const auto& target) { return target.service == service; });
                longest = is_target ? std::max<duration>(longest, route_config.timeout) : longest;
            }
        }
        return longest;
    };
    const auto has_backend = [this](const service_id& service, const release_id& release) {
        const auto is_in_use = [&](const std::optional<backend>& app) {
            return app && app->service == service && app->release == release &&
                   app->accepts_requests();
        };
        return is_in_use(own_backend_) ||
               std::any_of(peers_.all().begin(), peers_.all().end(), [&](const auto& entry) {
                   return entry.second.link && is_in_use(entry.second.app);
               });
    };
    const bool is_settled = now_ >= leader_since_ + leader_takeover_delay;
    auto decision = rollouts_.decide(
        now_, {settings_.bounds.exposure_share, is_settled, longest_request, has_backend});
    for (auto& line : decision.lines) {
        effects_.emplace_back(std::move(line));
    }
    broadcast_rollout_shares(decision.shares);
    for (auto& write : decision.writes) {
        effects_.emplace_back(std::move(write));
    }
}

void node::on_node_state(link_id link, const mesh_wire::node_state& state)
{
    const node_id sender{state.sender.node};
    if (sender == settings_.node) {
        return;
    }
    if (peers_.add_or_update(state.sender)) {
        ++counters_.membership_changes;
        log(log_level::info, "peer.learned", "",
            {{"peer", state.sender.node}, {"zone", state.sender.zone}});
    }
    auto& connection = links_.at(link);
    if (connection.dialled && connection.peer && *connection.peer != sender) {
        handle_replaced_peer(link, *connection.peer, sender);
        return;
    }
    auto& from = *peers_.find(sender);
    const bool was_introduced = connection.peer.has_value();
    connection.peer = sender;
    if (!connection.dialled && !was_introduced) {
        send_frame(link, make_state_frame());
        // The peer is alive: dial it now instead of at its next scheduled dial.
        from.next_dial = now_;
        dial_disconnected_peers();
    }
    if (state.sender.boot < from.record.boot || state.revision < from.revision) {
        return;
    }
    from.heard_at = now_;
    from.revision = state.revision;
    from.stopping = state.stopping;
    from.lends_until = now_ + milliseconds(state.lends_for_ms);
    from.config_version = state.config_version;
    enter_store_era(state.store_era);
    const bool was_reading_for_zone = is_reading_for_zone(from);
    from.store_fresh = state.store_fresh;
    from.reads_late = state.reads_late;
    if (was_reading_for_zone && !is_reading_for_zone(from)) {
        elect_zone_reader();
    }
    if (state.__isset.backend) {
        const auto reported = from_wire(state.backend, now_);
        if (!from.app || from.app->id != reported.id || from.app->born != reported.born) {
            from.load = {};
        }
        from.app = reported;
        if (reported.state == backend_state::draining || reported.state == backend_state::gone) {
            from.departed.add(reported.id, {reported.born, now_});
        }
    } else {
        from.app.reset();
    }
    update_peer_load(from, state.load, nullptr);
}

void node::update_peer_load(peer& from, const mesh_wire::owner_load& load,
                            const route_id* route_name)
{
    from.load.running = load.running;
    from.load.waiting = load.waiting;
    from.load.reported_at = now_;
    from.load.sent_since = 0;
    from.load.failure_ratio = load.failing_permille / permille_of_one;
    const milliseconds hold(load.hold_ms);
    if (route_name == nullptr) {
        from.load.mean_hold = hold;
    } else if (hold.count() > 0) {
        from.load.holds.add(*route_name, hold, now_);
    }
    if (from.app) {
        from.app->slots = load.slots > 0 ? load.slots : from.app->slots;
    }
}

void node::on_run_answer(link_id link, const mesh_wire::run_answer& frame)
{
    const attempt_id id{static_cast<std::uint64_t>(frame.call)};
    const auto& connection = links_.at(link);
    auto* from = connection.peer ? peers_.find(*connection.peer) : nullptr;
    const auto known = attempts_.find(id);
    if (from != nullptr) {
        const auto* route_name =
            known == attempts_.end() ? nullptr : &calls_.at(known->second).route_config->name;
        if (route_name != nullptr && frame.reason != no_memory_reason) {
            update_peer_load(*from, frame.load, route_name);
        }
    }
    run_result result;
    result.outcome = frame.outcome;
    result.reason = frame.reason;
    result.wait = milliseconds(frame.wait_ms);
    if (from != nullptr && known != attempts_.end() && !frame.__isset.free_owner &&
        frame.outcome == mesh_wire::run_outcome::refused && frame.reason == overload_reason) {
        full_zones_[{calls_.at(known->second).service, zone_id{from->record.zone}}] = now_;
    }
    if (frame.__isset.free_owner) {
        result.free_owner = node_id{frame.free_owner};
    }
    if (frame.outcome == mesh_wire::run_outcome::answered) {
        auto content = std::make_shared<answer>();
        content->status = frame.status;
        content->head = frame.head;
        content->body = frame.body;
        result.content = std::move(content);
    }
    on_result(id, result);
}

void node::broadcast_running_rollouts()
{
    if (rollout_leader() != settings_.node || !rollouts_.any_running()) {
        return;
    }
    broadcast_rollout_shares(rollouts_.shares(now_));
}

void node::handle(const rows_read& input)
{
    // After a reader has just started, or when the store delayed its reads, it is not the only
    // source of rows: the other nodes of the zone read the store too, or pull the rows that they
    // lack.
    const bool is_sole_reader = store_fresh_ && !reads_late_;
    const bool was_late = reads_late_;
    if (input.fresh && reads_store_) {
        if (reads_late_ && !is_read_overdue()) {
            reads_late_ = false;
            log(log_level::info, "store.read_in_time", "",
                {{"read_up_to",
                  std::to_string(store_position::from_packed(input.read_up_to).version())}});
        }
        last_read_at_ = now_;
    }
    const bool is_status_changed =
        store_fresh_ != (input.fresh && reads_store_) || was_late != reads_late_;
    store_fresh_ = input.fresh && reads_store_;
    std::vector<mesh_wire::operator_row> removed;
    auto changes = operator_rows_.read(input, removed);
    if (!removed.empty()) {
        effects_.emplace_back(apply_rows{std::move(removed), input.read_up_to});
    }
    log_dropped_rows(changes.dropped, "store");
    store_era_ = std::max(store_era_, operator_rows_.read_up_to().era());
    const bool has_changes = !changes.deltas.empty();
    if (!is_sole_reader) {
        std::erase_if(changes.deltas,
                      [](const auto& row) { return document_bytes({row}) > max_direct_bytes; });
    }
    push_rows(changes.deltas);
    if (is_status_changed || has_changes) {
        // The state carries the configuration version, from which other zones learn of the change.
        broadcast_state();
    }
}

void node::handle(const store_restored& input)
{
    rollouts_.on_store_restored(input.era);
    stored_quarantine_.clear();
    if (input.era > store_era_) {
        // This node was not told by another one: the others learn of it from the state.
        store_era_ = input.era;
        broadcast_state();
    }
}

void node::enter_store_era(std::int64_t era)
{
    if (era > store_era_) {
        store_era_ = era;
        effects_.emplace_back(mesh::enter_store_era{era});
    }
}

void node::log_dropped_rows(const std::vector<operator_table::dropped_row>& rows,
                            const std::string& source)
{
    counters_.older_rows += rows.size();
    for (const auto& row : rows) {
        log(log_level::warning, "row.older_dropped", "",
            {{"key", row.key},
             {"from", source},
             {"row_version", std::to_string(row.row_version)},
             {"known_version", std::to_string(row.known_version)}});
    }
}

void node::on_rows_push(link_id, const mesh_wire::rows_push& frame)
{
    std::vector<node_id> relay_targets;
    for (const auto& name : frame.relay_to) {
        relay_targets.emplace_back(name);
    }
    relay_rows(frame, relay_targets);
    auto changes = operator_rows_.receive(frame);
    log_dropped_rows(changes.dropped, "peer");
    if (!changes.rows.empty()) {
        effects_.emplace_back(
            apply_rows{std::move(changes.rows), operator_rows_.read_up_to().packed()});
    }
}

void node::on_rows_pull(link_id link)
{
    if (const auto& from = links_.at(link).peer) {
        pending_pulls_.insert(*from);
        answer_pulls();
    }
}

void node::answer_pulls()
{
    if (pending_pulls_.empty() || now_ < next_pull_answer_) {
        return;
    }
    next_pull_answer_ = now_ + pull_answer_interval;
    mesh_wire::rows_push answer;
    answer.__set_rows(operator_rows_.all());
    answer.__set_read_up_to(operator_rows_.read_up_to().packed());
    log(log_level::info, "rows.pull_answered", "",
        {{"peers", std::to_string(pending_pulls_.size())},
         {"rows", std::to_string(answer.rows.size())},
         {"bytes", std::to_string(document_bytes(answer.rows))}});
    relay_rows(answer, {pending_pulls_.begin(), pending_pulls_.end()});
    pending_pulls_.clear();
}

void node::push_rows(const std::vector<mesh_wire::operator_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    log(log_level::info, "rows.pushed", "",
        {{"rows", std::to_string(rows.size())}, {"bytes", std::to_string(document_bytes(rows))}});
    mesh_wire::rows_push push;
    push.__set_rows(rows);
    push.__set_read_up_to(operator_rows_.read_up_to().packed());
    if (document_bytes(rows) > max_direct_bytes) {
        std::vector<node_id> zone_peers;
        for (const auto& [name, remote] : peers_.all()) {
            if (remote.link && in_own_zone(remote)) {
                zone_peers.push_back(name);
            }
        }
        relay_rows(push, zone_peers);
        return;
    }
    mesh_wire::mesh_frame frame;
    frame.__set_rows(push);
    send_to_zone(frame);
}

void node::relay_rows(const mesh_wire::rows_push& push, const std::vector<node_id>& names)
{
    std::vector<const peer*> direct;
    std::vector<std::string> indirect;
    for (const auto& name : names) {
        const auto* remote = peers_.find(name);
        const bool reachable = remote != nullptr && remote->link && !is_unresponsive(*remote);
        if (direct.size() < relay_fanout && reachable) {
            direct.push_back(remote);
        } else {
            indirect.push_back(name.value());
        }
    }
    for (std::size_t index = 0; index < direct.size(); ++index) {
        mesh_wire::mesh_frame frame;
        frame.__set_rows(push);
        frame.rows.relay_to.clear();
        for (auto i = index; i < indirect.size(); i += direct.size()) {
            frame.rows.relay_to.push_back(indirect[i]);
        }
        frame.rows.__isset.relay_to = true;
        send_frame(*direct[index]->link, std::move(frame));
    }
}

bool node::is_reading_for_zone(const peer& remote) const
{
    return remote.link && in_own_zone(remote) && !remote.stopping && remote.store_fresh &&
           !remote.reads_late && now_ - remote.heard_at < zone_reader_timeout;
}

bool node::is_read_overdue() const
{
    return last_read_at_ &&
           now_ - *last_read_at_ > max_read_wait(settings_.bounds) + read_slack(settings_.bounds);
}

void node::detect_late_reads()
{
    if (!reads_store_ || reads_late_) {
        return;
    }
    last_read_at_ = last_read_at_.value_or(now_);
    if (!is_read_overdue()) {
        return;
    }
    reads_late_ = true;
    ++counters_.late_reads;
    log(log_level::warning, "store.read_late", "",
        {{"age_ms", format_ms(now_ - *last_read_at_)},
         {"read_up_to", std::to_string(operator_rows_.read_up_to().version())},
         {"in_contact", store_fresh_ ? "true" : "false"}});
    broadcast_state();
}

void node::elect_zone_reader()
{
    const bool is_covered =
        std::any_of(peers_.all().begin(), peers_.all().end(), [&](const auto& entry) {
            return entry.first < settings_.node && is_reading_for_zone(entry.second);
        });
    if (is_covered == reads_store_) {
        reads_store_ = !is_covered;
        effects_.emplace_back(set_store_reading{reads_store_});
        log(log_level::info, reads_store_ ? "store.watching" : "store.watched_by_other", "", {});
        last_read_at_ = now_;
        reads_late_ = false;
        if (std::exchange(store_fresh_, false)) {
            // The other nodes elect the roll-out leader by this flag.
            broadcast_state();
        }
    }
}

void node::send_zone_keepalive()
{
    if (!reads_store_ || now_ < next_keepalive_) {
        return;
    }
    next_keepalive_ = now_ + zone_keepalive_interval;
    mesh_wire::mesh_frame frame;
    frame.__set_ping(false);
    send_to_zone(frame);
}

void node::ping_unresponsive_peers()
{
    mesh_wire::mesh_frame frame;
    frame.__set_ping(true);
    for (const auto& [name, remote] : peers_.all()) {
        if (remote.link && remote.unanswered_since &&
            now_ - *remote.unanswered_since > ping_after) {
            send_frame(*remote.link, frame);
        }
    }
}

bool node::is_unresponsive(const peer& remote) const
{
    return (remote.unanswered_since && now_ - *remote.unanswered_since > unresponsive_after) ||
           silent_zones_.contains(zone_id{remote.record.zone});
}

void node::detect_silent_zones()
{
    struct zone_silence {
        time_point last_heard{};
        int owing = 0;
        /// A node that owes no answer, to be asked as well.
        peer* unasked = nullptr;
    };
    std::map<zone_id, zone_silence> zones;
    for (auto& [name, remote] : peers_.all()) {
        if (!remote.link || in_own_zone(remote)) {
            continue;
        }
        auto& zone = zones[zone_id{remote.record.zone}];
        zone.last_heard = std::max(zone.last_heard, remote.heard_at);
        if (!remote.unanswered_since) {
            zone.unasked = &remote;
        } else if (now_ - *remote.unanswered_since > ping_after) {
            ++zone.owing;
        }
    }
    std::set<zone_id> silent;
    for (auto& [name, zone] : zones) {
        const auto silence = now_ - zone.last_heard;
        const bool was_silent = silent_zones_.contains(name);
        const bool is_silent =
            silence > zone_silence_after && (was_silent || zone.owing >= min_owing_nodes);
        if (is_silent) {
            silent.insert(name);
        } else if (zone.owing > 0 && silence > ping_after && zone.unasked != nullptr) {
            zone.unasked->unanswered_since = now_;
            mesh_wire::mesh_frame frame;
            frame.__set_ping(true);
            send_frame(*zone.unasked->link, std::move(frame));
        }
        if (is_silent != was_silent) {
            log(log_level::warning, is_silent ? "zone.silent" : "zone.heard", "",
                {{"of", name.value()},
                 {"silent_ms", format_ms(silence)},
                 {"owing", std::to_string(zone.owing)}});
        }
    }
    silent_zones_ = std::move(silent);
}

void node::pull_config_if_behind()
{
    const auto own_version = config_ ? config_->version().value() : 0;
    std::vector<link_id> ahead;
    std::vector<link_id> ahead_in_zone;
    for (const auto& [name, remote] : peers_.all()) {
        if (remote.link && remote.config_version > own_version) {
            ahead.push_back(*remote.link);
            if (in_own_zone(remote)) {
                ahead_in_zone.push_back(*remote.link);
            }
        }
    }
    if (ahead.empty()) {
        config_behind_since_.reset();
        return;
    }
    config_behind_since_ = config_behind_since_.value_or(now_);
    // A node without a configuration cannot serve requests, so it pulls at once.
    const duration grace = config_ ? zone_push_grace : duration{};
    if (now_ < next_pull_ || now_ < *config_behind_since_ + grace) {
        return;
    }
    next_pull_ = now_ + pull_interval;
    const auto& from = ahead_in_zone.empty() ? ahead : ahead_in_zone;
    mesh_wire::mesh_frame frame;
    frame.__set_pull({});
    log(log_level::info, "config.pulled", "",
        {{"own_version", std::to_string(own_version)}, {"ahead", std::to_string(ahead.size())}});
    send_frame(from[static_cast<std::size_t>(random_fraction() * static_cast<double>(from.size()))],
               std::move(frame));
}

} // namespace camphor::mesh
