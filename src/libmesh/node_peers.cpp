// Connections to other nodes, and what they tell each other.
#include "libmesh/document_delta.h"
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <camphortally/balancer.h>

#include <algorithm>
#include <utility>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Pause before the first dial of a lost node; doubled for each dial that fails.
constexpr duration first_redial = 50ms;
constexpr int most_doublings = 5;
/// A node that could not be reached for this long is forgotten; its return tells of itself.
constexpr auto forget_after = 120s;
constexpr double permille_of_one = 1000;
/// A watcher pings so often, and is passed over when nothing was heard of it for the silence: a
/// configuration is in force within two seconds on the fleets with the shortest bound.
constexpr auto watcher_ping = 400ms;
constexpr auto watcher_silence = 1200ms;
/// Time for the own zone's watcher to pass on what another zone has already: a large row takes a
/// tenth of a second at each of some steps, over the slowest links of the grown fleets (10 Mbit/s).
constexpr auto push_grace = 600ms;
/// Larger rows go through the zone by way of its nodes.
constexpr std::size_t relayed_bytes = 8'192;
/// Nodes that one node passes large rows on to.
constexpr std::size_t relay_fanout = 2;
/// Pause between two answers to pullers: two copies of the largest configurations of the grown
/// fleets take a link of 10 Mbit/s less.
constexpr auto pull_answer_pause = 200ms;
/// A node that owes an answer for so long is asked whether it lives, at each look at the peers.
constexpr auto ping_after = 150ms;
/// One that was asked and said nothing for so long gets no new requests: it may be cut off, and its
/// connections hang. Longer than two looks at the peers.
constexpr auto silent_after = 600ms;
/// A node that has become the decider on roll-outs raises no share before: connections open within
/// some hundred ms, and owners report each 200 ms.
constexpr auto takeover_pause = 1s;
/// Pause between two pulls.
constexpr auto pull_pause = 500ms;

/// Shorter documents go whole.
constexpr std::size_t least_delta_document = 2'048;

/// `next` as a difference to `base`, or as it is where that does not pay.
mesh_wire::operator_row as_delta(const mesh_wire::operator_row& base,
                                 const mesh_wire::operator_row& next)
{
    if (base.document.size() < least_delta_document || next.removed) {
        return next;
    }
    mesh_wire::operator_row out;
    out.__set_key(next.key);
    out.__set_row_version(next.row_version);
    out.__set_base_version(base.row_version);
    out.__set_parts(make_delta(base.document, next.document));
    out.__set_digest(static_cast<std::int64_t>(stable_hash(next.document)));
    return out;
}

/// The whole row; none when it is a difference to something else than `base`.
std::optional<mesh_wire::operator_row> as_whole(const mesh_wire::operator_row& base,
                                                const mesh_wire::operator_row& news)
{
    if (news.base_version == 0) {
        return news;
    }
    if (news.base_version != base.row_version) {
        return std::nullopt;
    }
    auto document = apply_delta(base.document, news.parts);
    if (!document || static_cast<std::int64_t>(stable_hash(*document)) != news.digest) {
        return std::nullopt;
    }
    mesh_wire::operator_row out;
    out.__set_key(news.key);
    out.__set_row_version(news.row_version);
    out.__set_document(*document);
    return out;
}

/// Bytes of documents, whole or as differences.
std::size_t bytes_of(const std::vector<mesh_wire::operator_row>& rows)
{
    std::size_t out = 0;
    for (const auto& row : rows) {
        out += row.document.size();
        for (const auto& part : row.parts) {
            out += part.literal.size();
        }
    }
    return out;
}

} // namespace

void node::take(const nodes_listed& happened)
{
    for (const auto& record : happened.nodes) {
        if (record.node != settings_.node.value() && peers_.learn(record)) {
            log(log_level::info, "peer.learned", "",
                {{"peer", record.node}, {"zone", record.zone}});
        }
    }
    dial_missing();
}

void node::dial_missing()
{
    for (auto entry = peers_.all().begin(); entry != peers_.all().end();) {
        auto& other = entry->second;
        if (!other.link && other.lost_at && now_ - *other.lost_at > forget_after) {
            log(log_level::info, "peer.forgotten", "", {{"peer", entry->first.value()}});
            entry = peers_.all().erase(entry);
            continue;
        }
        if (!other.link && !other.dialling && now_ >= other.next_dial) {
            other.dialling = true;
            out_.emplace_back(dial_peer{other.record});
        }
        ++entry;
    }
}

void node::take(const link_opened& happened)
{
    auto& link = links_[happened.link];
    link.peer = happened.dialled;
    link.dialled = happened.dialled.has_value();
    if (!happened.dialled) {
        return;
    }
    auto* other = peers_.find(*happened.dialled);
    if (other == nullptr) {
        out_.emplace_back(close_link{happened.link});
        return;
    }
    other->link = happened.link;
    other->dialling = false;
    other->failed_dials = 0;
    other->lost_at.reset();
    send_frame(happened.link, state_frame());
    for (const auto& share : rollouts_.shares(now_)) {
        mesh_wire::mesh_frame frame;
        frame.__set_share(share);
        send_frame(happened.link, std::move(frame));
    }
    if (!suspects_.empty()) {
        mesh_wire::mesh_frame frame;
        frame.__set_crashes(suspects_.report(now_));
        send_frame(happened.link, std::move(frame));
    }
}

void node::take(const link_closed& happened)
{
    links_.erase(happened.link);
    std::vector<run_origin> orphans;
    for (const auto& [id, run] : runs_) {
        if (run.origin.link == happened.link) {
            orphans.push_back(run.origin);
        }
    }
    for (const auto& origin : orphans) {
        cancel_run(origin);
    }
    auto* other = happened.dialled ? peers_.find(*happened.dialled) : nullptr;
    if (other == nullptr || (other->link && *other->link != happened.link)) {
        return;
    }
    lose_peer(*other);
}

void node::lose_peer(peer& lost)
{
    const bool was_open = lost.link.has_value();
    lost.link.reset();
    lost.store_fresh = false;
    lost.dialling = false;
    lost.next_dial = now_ + first_redial * (1 << std::min(lost.failed_dials, most_doublings));
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
    std::vector<attempt_id> broken;
    for (const auto& [id, call] : attempts_) {
        const auto& made = calls_.at(call).attempts;
        const auto hit = std::find_if(made.begin(), made.end(), [&, key = id](const attempt& item) {
            return item.id == key;
        });
        if (hit != made.end() && hit->owner == name) {
            broken.push_back(id);
        }
    }
    for (const auto id : broken) {
        on_result(id, {mesh_wire::run_outcome::failed, nullptr, "peer_lost", {}});
    }
}

void node::forget_replaced(link_id link, const node_id& gone, const node_id& found)
{
    log(log_level::warning, "peer.replaced", "",
        {{"peer", gone.value()}, {"found", found.value()}});
    if (auto* other = peers_.find(gone); other != nullptr && other->link == link) {
        lose_peer(*other);
        peers_.forget(gone);
    }
    out_.emplace_back(close_link{link});
}

void node::send_frame(link_id link, mesh_wire::mesh_frame frame)
{
    const auto known = links_.find(link);
    if (known == links_.end()) {
        return;
    }
    out_.emplace_back(send_to_peer{link, std::move(frame)});
}

mesh_wire::mesh_frame node::state_frame() const
{
    mesh_wire::node_state state;
    state.__set_sender(record_);
    state.__set_revision(revision_);
    if (own_) {
        state.__set_backend(to_wire(*own_, now_));
    }
    state.__set_load(load(route_id{}));
    state.__set_stopping(stopping_);
    state.__set_config_version(config_ ? config_->version().value() : 0);
    state.__set_store_fresh(store_fresh_);
    state.__set_reads_late(reads_late_);
    mesh_wire::mesh_frame frame;
    frame.__set_state(state);
    return frame;
}

void node::broadcast_state(audience to)
{
    ++revision_;
    const auto frame = state_frame();
    // Those that dialled this node send it requests: they need to know.
    for (const auto& [id, link] : links_) {
        const auto* other = link.peer ? peers_.find(*link.peer) : nullptr;
        const bool far = other != nullptr && !in_own_zone(*other);
        if (!link.dialled && (to == audience::all || !far)) {
            out_.emplace_back(send_to_peer{id, frame});
        }
    }
}

void node::take(const frame_arrived& happened)
{
    const auto known = links_.find(happened.link);
    if (known == links_.end()) {
        return;
    }
    if (auto* from = known->second.peer ? peers_.find(*known->second.peer) : nullptr) {
        from->heard_at = now_;
        from->asked_at.reset();
    }
    const auto& frame = *happened.frame;
    if (frame.__isset.state) {
        on_state(happened.link, frame.state);
    }
    if (frame.__isset.run) {
        auto content = std::make_shared<request>();
        content->method = frame.run.method;
        content->target = frame.run.target;
        content->head = frame.run.head;
        content->body = frame.run.body;
        content->id = frame.run.request_id;
        offer_run({happened.link, attempt_id{static_cast<std::uint64_t>(frame.run.call)}},
                  frame.run, std::move(content));
    }
    if (frame.__isset.answer) {
        on_answer(happened.link, frame.answer);
    }
    if (frame.__isset.cancel) {
        cancel_run({happened.link, attempt_id{static_cast<std::uint64_t>(frame.cancel.call)}});
    }
    if (frame.__isset.rows) {
        on_rows(happened.link, frame.rows);
    }
    if (frame.__isset.pull) {
        on_pull(happened.link);
    }
    if (frame.__isset.ping && frame.ping) {
        mesh_wire::mesh_frame reply;
        reply.__set_ping(false);
        send_frame(happened.link, std::move(reply));
    }
    if (frame.__isset.share) {
        on_share(happened.link, frame.share);
    }
    if (frame.__isset.crashes) {
        on_crashes(happened.link, frame.crashes);
    }
    if (frame.__isset.report) {
        const auto* from = known->second.peer ? peers_.find(*known->second.peer) : nullptr;
        rollouts_.on_evidence(frame.report, zone_id{from == nullptr ? "" : from->record.zone});
    }
}

void node::on_share(link_id link, const mesh_wire::rollout_share& share)
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
    for (const auto& [name, other] : peers_.all()) {
        if (other.link) {
            send_frame(*other.link, frame);
        }
    }
}

void node::send_to_zone(const mesh_wire::mesh_frame& frame)
{
    for (const auto& [name, other] : peers_.all()) {
        if (other.link && in_own_zone(other)) {
            send_frame(*other.link, frame);
        }
    }
}

void node::send_shares(const std::vector<mesh_wire::rollout_share>& shares)
{
    for (const auto& share : shares) {
        mesh_wire::mesh_frame frame;
        frame.__set_share(share);
        send_to_all(frame);
    }
}

std::optional<node_id> node::rollout_holder() const
{
    std::optional<node_id> first;
    if (store_fresh_ && !stopping_) {
        first = settings_.node;
    }
    for (const auto& [name, other] : peers_.all()) {
        if (other.link && other.store_fresh && !other.stopping && (!first || name < *first)) {
            first = name;
        }
    }
    return first;
}

void node::note_holder(const std::optional<node_id>& holder)
{
    if (holder == rollout_holder_) {
        return;
    }
    const auto name = [](const std::optional<node_id>& item) {
        return item ? item->value() : std::string("none");
    };
    log(log_level::info, "rollout.decider", "",
        {{"before", name(rollout_holder_)}, {"decider", name(holder)}});
    rollout_holder_ = holder;
    holder_since_ = now_;
}

void node::judge_rollouts()
{
    if (now_ < next_judgement_) {
        return;
    }
    next_judgement_ = now_ + move_policy::window;
    const auto holder = rollout_holder();
    note_holder(holder);
    if (!holder) {
        return;
    }
    if (const auto seen = rollouts_.take_evidence()) {
        auto* to = peers_.find(*holder);
        if (*holder == settings_.node) {
            rollouts_.on_evidence(*seen, settings_.zone);
        } else if (to != nullptr && to->link) {
            mesh_wire::mesh_frame frame;
            frame.__set_report(*seen);
            send_frame(*to->link, std::move(frame));
        }
    }
    if (*holder != settings_.node) {
        return;
    }
    const auto longest_request = [this](const service_id& service) {
        duration longest{};
        if (config_) {
            for (const auto& way : config_->routes()) {
                const bool uses =
                    std::any_of(way.targets.begin(), way.targets.end(),
                                [&](const auto& target) { return target.service == service; });
                longest = uses ? std::max<duration>(longest, way.timeout) : longest;
            }
        }
        return longest;
    };
    const bool settled = now_ >= holder_since_ + takeover_pause;
    auto decided =
        rollouts_.decide(now_, {settings_.bounds.exposure_share, settled, longest_request});
    for (auto& line : decided.lines) {
        out_.emplace_back(std::move(line));
    }
    send_shares(decided.shares);
    for (auto& write : decided.writes) {
        out_.emplace_back(std::move(write));
    }
}

void node::on_state(link_id link, const mesh_wire::node_state& state)
{
    const node_id name{state.sender.node};
    if (name == settings_.node) {
        return;
    }
    if (peers_.learn(state.sender)) {
        ++counters_.membership_changes;
        log(log_level::info, "peer.learned", "",
            {{"peer", state.sender.node}, {"zone", state.sender.zone}});
    }
    auto& connection = links_.at(link);
    if (connection.dialled && connection.peer && *connection.peer != name) {
        forget_replaced(link, *connection.peer, name);
        return;
    }
    auto& from = *peers_.find(name);
    const bool introduced = connection.peer.has_value();
    connection.peer = name;
    if (!connection.dialled && !introduced) {
        send_frame(link, state_frame());
        // It is alive: do not wait for the next dial.
        from.next_dial = now_;
        dial_missing();
    }
    if (state.sender.boot < from.record.boot || state.revision < from.revision) {
        return;
    }
    from.heard_at = now_;
    from.revision = state.revision;
    from.stopping = state.stopping;
    from.config_version = state.config_version;
    const bool covered = covers_zone(from);
    from.store_fresh = state.store_fresh;
    from.reads_late = state.reads_late;
    if (covered && !covers_zone(from)) {
        choose_watcher();
    }
    if (state.__isset.backend) {
        const auto seen = from_wire(state.backend, now_);
        if (!from.app || from.app->id != seen.id || from.app->born != seen.born) {
            from.space = {};
        }
        from.app = seen;
    } else {
        from.app.reset();
    }
    update_room(from, state.load, nullptr);
}

void node::update_room(peer& from, const mesh_wire::owner_load& load, const route_id* way)
{
    from.space.running = load.running;
    from.space.waiting = load.waiting;
    from.space.reported_at = now_;
    from.space.sent_since = 0;
    from.space.failing = load.failing_permille / permille_of_one;
    const milliseconds hold(load.hold_ms);
    if (way == nullptr) {
        from.space.mean_hold = hold;
    } else if (hold.count() > 0) {
        from.space.holds.add(*way, hold);
    }
    if (from.app) {
        from.app->slots = load.slots > 0 ? load.slots : from.app->slots;
    }
}

void node::on_answer(link_id link, const mesh_wire::run_answer& frame)
{
    const attempt_id id{static_cast<std::uint64_t>(frame.call)};
    const auto& connection = links_.at(link);
    auto* from = connection.peer ? peers_.find(*connection.peer) : nullptr;
    const auto known = attempts_.find(id);
    if (from != nullptr) {
        const auto* way = known == attempts_.end() ? nullptr : &calls_.at(known->second).way->name;
        if (way != nullptr) {
            update_room(*from, frame.load, way);
        }
    }
    run_result result;
    result.outcome = frame.outcome;
    result.reason = frame.reason;
    result.wait = milliseconds(frame.wait_ms);
    if (frame.outcome == mesh_wire::run_outcome::answered) {
        auto content = std::make_shared<answer>();
        content->status = frame.status;
        content->head = frame.head;
        content->body = frame.body;
        result.content = std::move(content);
    }
    on_result(id, result);
}

void node::tell_shares()
{
    if (rollout_holder() != settings_.node || !rollouts_.any_running()) {
        return;
    }
    send_shares(rollouts_.shares(now_));
}

void node::take(const rows_read& happened)
{
    // Readers that begin, or that the store kept waiting, are not alone: the others of the zone
    // read too, or pull what they lack.
    const bool alone = store_fresh_ && !reads_late_;
    const bool was_late = reads_late_;
    if (happened.fresh && following_) {
        if (reads_late_ && !is_read_overdue()) {
            reads_late_ = false;
            log(log_level::info, "store.read_in_time", "",
                {{"read_up_to", std::to_string(happened.read_up_to)}});
        }
        read_at_ = now_;
    }
    const bool turned = store_fresh_ != (happened.fresh && following_) || was_late != reads_late_;
    store_fresh_ = happened.fresh && following_;
    read_up_to_ = std::max(read_up_to_, happened.read_up_to);
    std::vector<mesh_wire::operator_row> news;
    for (const auto& row : happened.rows) {
        auto& known = rows_[row.key];
        if (row.row_version > known.row_version) {
            news.push_back(as_delta(known, row));
            known = row;
        }
    }
    const bool has_news = !news.empty();
    if (!alone) {
        std::erase_if(news, [](const auto& row) { return bytes_of({row}) > relayed_bytes; });
    }
    push_rows(news);
    if (turned || has_news) {
        // Other zones see by the version in it that there is something new.
        broadcast_state();
    }
}

void node::on_rows(link_id, const mesh_wire::rows_push& frame)
{
    std::vector<node_id> others;
    for (const auto& name : frame.relay_to) {
        others.emplace_back(name);
    }
    relay_rows(frame, others);
    take_rows order;
    for (const auto& row : frame.rows) {
        auto& known = rows_[row.key];
        if (row.row_version <= known.row_version) {
            continue;
        }
        // A difference to another version than the own one is left: the node pulls the whole row.
        if (const auto whole = as_whole(known, row)) {
            known = *whole;
            order.rows.push_back(known);
        }
    }
    read_up_to_ = std::max(read_up_to_, frame.read_up_to);
    if (!order.rows.empty()) {
        order.read_up_to = read_up_to_;
        out_.emplace_back(std::move(order));
    }
}

void node::on_pull(link_id link)
{
    if (const auto& from = links_.at(link).peer) {
        pullers_.insert(*from);
        answer_pullers();
    }
}

void node::answer_pullers()
{
    if (pullers_.empty() || now_ < next_pull_answer_) {
        return;
    }
    next_pull_answer_ = now_ + pull_answer_pause;
    mesh_wire::rows_push answer;
    for (const auto& [key, row] : rows_) {
        if (row.row_version > 0) {
            answer.rows.push_back(row);
        }
    }
    answer.__set_read_up_to(read_up_to_);
    answer.__isset.rows = true;
    log(log_level::info, "rows.pull_answered", "",
        {{"peers", std::to_string(pullers_.size())},
         {"rows", std::to_string(answer.rows.size())},
         {"bytes", std::to_string(bytes_of(answer.rows))}});
    relay_rows(answer, {pullers_.begin(), pullers_.end()});
    pullers_.clear();
}

void node::push_rows(const std::vector<mesh_wire::operator_row>& rows)
{
    if (rows.empty()) {
        return;
    }
    log(log_level::info, "rows.pushed", "",
        {{"rows", std::to_string(rows.size())}, {"bytes", std::to_string(bytes_of(rows))}});
    mesh_wire::rows_push push;
    push.__set_rows(rows);
    push.__set_read_up_to(read_up_to_);
    if (bytes_of(rows) > relayed_bytes) {
        std::vector<node_id> zone;
        for (const auto& [name, other] : peers_.all()) {
            if (other.link && in_own_zone(other)) {
                zone.push_back(name);
            }
        }
        relay_rows(push, zone);
        return;
    }
    mesh_wire::mesh_frame frame;
    frame.__set_rows(push);
    send_to_zone(frame);
}

void node::relay_rows(const mesh_wire::rows_push& push, const std::vector<node_id>& names)
{
    std::vector<const peer*> heads;
    std::vector<std::string> rest;
    for (const auto& name : names) {
        const auto* other = peers_.find(name);
        const bool reachable = other != nullptr && other->link && !is_silent(*other);
        if (heads.size() < relay_fanout && reachable) {
            heads.push_back(other);
        } else {
            rest.push_back(name.value());
        }
    }
    for (std::size_t head = 0; head < heads.size(); ++head) {
        mesh_wire::mesh_frame frame;
        frame.__set_rows(push);
        frame.rows.relay_to.clear();
        for (auto i = head; i < rest.size(); i += heads.size()) {
            frame.rows.relay_to.push_back(rest[i]);
        }
        frame.rows.__isset.relay_to = true;
        send_frame(*heads[head]->link, std::move(frame));
    }
}

bool node::covers_zone(const peer& other) const
{
    return other.link && in_own_zone(other) && !other.stopping && other.store_fresh &&
           !other.reads_late && now_ - other.heard_at < watcher_silence;
}

bool node::is_read_overdue() const
{
    return read_at_ &&
           now_ - *read_at_ > longest_read(settings_.bounds) + read_slack(settings_.bounds);
}

void node::notice_late_reads()
{
    if (!following_ || reads_late_) {
        return;
    }
    read_at_ = read_at_.value_or(now_);
    if (!is_read_overdue()) {
        return;
    }
    reads_late_ = true;
    ++counters_.late_reads;
    log(log_level::warning, "store.read_late", "",
        {{"age_ms", millis(now_ - *read_at_)},
         {"read_up_to", std::to_string(read_up_to_)},
         {"in_contact", store_fresh_ ? "true" : "false"}});
    broadcast_state();
}

void node::choose_watcher()
{
    const bool covered =
        std::any_of(peers_.all().begin(), peers_.all().end(), [&](const auto& entry) {
            return entry.first < settings_.node && covers_zone(entry.second);
        });
    if (covered == following_) {
        following_ = !covered;
        out_.emplace_back(follow_store{following_});
        log(log_level::info, following_ ? "store.watching" : "store.watched_by_other", "", {});
        read_at_ = now_;
        reads_late_ = false;
        if (std::exchange(store_fresh_, false)) {
            // The others choose who decides on roll-outs by it.
            broadcast_state();
        }
    }
}

void node::ping_zone()
{
    if (!following_ || now_ < next_ping_) {
        return;
    }
    next_ping_ = now_ + watcher_ping;
    mesh_wire::mesh_frame frame;
    frame.__set_ping(false);
    send_to_zone(frame);
}

void node::ping_owing()
{
    mesh_wire::mesh_frame frame;
    frame.__set_ping(true);
    for (const auto& [name, other] : peers_.all()) {
        if (other.link && other.asked_at && now_ - *other.asked_at > ping_after) {
            send_frame(*other.link, frame);
        }
    }
}

bool node::is_silent(const peer& other) const
{
    return other.asked_at && now_ - *other.asked_at > silent_after;
}

void node::pull_if_behind()
{
    const auto own = config_ ? config_->version().value() : 0;
    std::vector<link_id> ahead;
    std::vector<link_id> ahead_in_zone;
    for (const auto& [name, other] : peers_.all()) {
        if (other.link && other.config_version > own) {
            ahead.push_back(*other.link);
            if (in_own_zone(other)) {
                ahead_in_zone.push_back(*other.link);
            }
        }
    }
    if (ahead.empty()) {
        behind_since_.reset();
        return;
    }
    behind_since_ = behind_since_.value_or(now_);
    // Without a configuration there is nothing to serve by meanwhile.
    const duration grace = config_ ? push_grace : duration{};
    if (now_ < next_pull_ || now_ < *behind_since_ + grace) {
        return;
    }
    next_pull_ = now_ + pull_pause;
    const auto& from = ahead_in_zone.empty() ? ahead : ahead_in_zone;
    mesh_wire::mesh_frame frame;
    frame.__set_pull({});
    log(log_level::info, "config.pulled", "",
        {{"own_version", std::to_string(own)}, {"ahead", std::to_string(ahead.size())}});
    send_frame(from[static_cast<std::size_t>(random_part() * static_cast<double>(from.size()))],
               std::move(frame));
}

} // namespace camphor::mesh
