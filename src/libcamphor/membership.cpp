// Membership: announcements, joining, gossip and digest exchange.
#include <camphortally/membership.h>
#include <camphortally/node.h>

#include "membership_timers.h"
#include "wire_codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

/// A backend server that is silent for longer is taken as gone.
constexpr duration backend_silence = 3s;
constexpr duration backend_check_period = 250ms;
constexpr duration pull_period = 5s;
/// Relays compare more often, since only they compare across zones.
constexpr duration relay_pull_period = 1s;
/// A relay refreshes its row of the table within this.
constexpr duration row_period = 60s;
constexpr duration first_row_low = 2s;
constexpr duration first_row_high = 5s;
/// Pulls follow each other faster while rosters differ.
constexpr duration fast_pull_period = 500ms;
/// How often a settled node asks a seed that it does not know as live, to heal a split mesh.
constexpr duration island_check_period = 30s;
constexpr std::size_t join_targets = 2;
/// Zones whose records one exchange carries at most.
constexpr std::size_t zones_per_exchange = 8;

bool same_announcement(const backend_view& left, const backend_view& right)
{
    return left.service == right.service && left.release == right.release &&
           left.slots == right.slots && left.state == right.state;
}

template <class Item>
Item pick(step_context& context, const std::vector<Item>& items)
{
    std::uniform_int_distribution<std::size_t> choice(0, items.size() - 1);
    return items[choice(context.node.random)];
}

} // namespace

void membership::start(step_context& context)
{
    announce_self(context);
    detector_.start(context);
    context.start_timer(timer_of(membership_timer::join), context.jitter(0ms, 50ms));
    context.start_timer(timer_of(membership_timer::roster_pull),
                        context.jitter(0ms, fast_pull_period));
    context.start_timer(timer_of(membership_timer::local_backends), backend_check_period);
    context.start_timer(timer_of(membership_timer::roster_row),
                        context.jitter(first_row_low, first_row_high));
}

void membership::on_timer(step_context& context, const timer_key& key)
{
    switch (static_cast<membership_timer>(key.kind)) {
    case membership_timer::probe:
    case membership_timer::indirect_probe:
        detector_.on_timer(context, key);
        break;
    case membership_timer::flush_news:
        news_.flush(context);
        break;
    case membership_timer::roster_pull:
        pull_roster(context);
        break;
    case membership_timer::join:
        join(context);
        break;
    case membership_timer::local_backends:
        drop_silent_backends(context);
        break;
    case membership_timer::roster_row:
        write_row(context);
        break;
    }
}

void membership::on_platform(step_context& context, const platform_ticket& ticket,
                             const platform_reply& reply)
{
    rows_.on_platform(context, ticket, reply);
}

void membership::send_to(step_context& context, const node_id& node, wire::frame frame) const
{
    if (const auto* record = roster_.find(node)) {
        context.send(record->peer, std::move(frame));
    }
}

// ---- own record and local backend servers

void membership::announce_self(step_context& context)
{
    const auto& settings = context.node.settings;
    member self;
    self.node = settings.node;
    self.zone = settings.zone;
    self.region = settings.region;
    self.peer = {settings.host, settings.peer_port};
    self.call_port = settings.call_port;
    self.life = context.node.life;
    self.revision = ++own_revision_;
    self.state = leaving_ ? member_state::left : member_state::alive;
    for (const auto& [id, backend] : local_) {
        self.backends.push_back(backend.view);
    }
    merge(context, self, news_origin::here);
}

void membership::on_event(step_context& context, const backend_event& event)
{
    std::visit([&](const auto& item) { take(context, item); }, event);
}

void membership::take(step_context& context, const backend_announced& event)
{
    const backend_view view{event.backend, event.service, event.release,
                            event.slots,   event.state,   event.reported_in_flight};
    const auto known = local_.find(event.backend);
    const bool changed = known == local_.end() || !same_announcement(known->second.view, view);
    local_[event.backend] = {view, event.host, event.port, context.now};
    if (changed) {
        announce_self(context);
    }
}

void membership::take(step_context& context, const backend_gone& event)
{
    if (local_.erase(event.backend) > 0) {
        announce_self(context);
    }
}

void membership::drop_silent_backends(step_context& context)
{
    const auto dropped = std::erase_if(local_, [&](const auto& item) {
        return context.now - item.second.last_heard > backend_silence;
    });
    if (dropped > 0) {
        announce_self(context);
    }
    context.start_timer(timer_of(membership_timer::local_backends), backend_check_period);
}

void membership::leave(step_context& context)
{
    if (is_relay_) {
        rows_.withdraw(context);
    }
    leaving_ = true;
    announce_self(context);
    news_.flush(context);
}

// ---- merging

void membership::merge(step_context& context, const member& item, news_origin origin)
{
    if (item.node == context.node.settings.node && origin == news_origin::peer) {
        refute(context, item);
        return;
    }
    if (!roster_.merge(item)) {
        return;
    }
    if (item.state != member_state::suspect) {
        detector_.clear(item.node);
        news_.add(context, item, origin);
        if (item.zone == context.node.settings.zone) {
            watch_relay_duty(context);
        }
        return;
    }
    if (item.zone == context.node.settings.zone) {
        detector_.note_suspect(context, item.node);
    }
    news_.add(context, item, news_origin::suspicion);
}

void membership::watch_relay_duty(step_context& context)
{
    const auto& self = context.node.settings;
    const bool relay = roster_.trees(self.zone).is_root(self.node);
    if (relay && !is_relay_) {
        // News that came before now went to the relays of then, which may be dead.
        for (const auto& peer : opposite_relays(context)) {
            ask_digest(context, peer);
        }
        // The timer still runs at the pace of a node that is no relay.
        context.start_timer(timer_of(membership_timer::roster_pull),
                            context.jitter(relay_pull_period / 2, relay_pull_period));
    }
    is_relay_ = relay;
}

void membership::ask_digest(step_context& context, const node_id& peer)
{
    wire::roster_pull_message message;
    message.digest = to_wire(roster_.digest());
    wire::frame frame;
    frame.__set_roster_pull(message);
    send_to(context, peer, std::move(frame));
}

void membership::merge_all(step_context& context, const std::vector<wire::member_record>& records)
{
    for (const auto& record : records) {
        merge(context, from_wire(record), news_origin::peer);
    }
}

void membership::refute(step_context& context, const member& claim)
{
    const auto* own = roster_.find(claim.node);
    if (own == nullptr || !is_newer(claim, *own)) {
        return;
    }
    if (claim.life > context.node.life) {
        context.node.life = incarnation{claim.life.value() + 1};
    }
    own_revision_ = std::max(own_revision_, claim.revision);
    announce_self(context);
}

void membership::suspect(step_context& context, const node_id& node)
{
    const auto* known = roster_.find(node);
    if (known == nullptr || known->state != member_state::alive) {
        return;
    }
    auto record = *known;
    record.state = member_state::suspect;
    merge(context, record, news_origin::here);
}

void membership::declare_dead(step_context& context, const node_id& node)
{
    const auto* known = roster_.find(node);
    if (known == nullptr || known->state != member_state::suspect) {
        return;
    }
    auto record = *known;
    record.state = member_state::dead;
    context.log(log_level::info, "member.dead", node.value());
    merge(context, record, news_origin::here);
}

// ---- frames

void membership::on_frame(step_context& context, const wire::frame& frame)
{
    detector_.note_heard(context.now);
    if (frame.__isset.ping) {
        on_ping(context, frame);
    } else if (frame.__isset.ping_request) {
        detector_.on_ping_request(context, frame);
    } else if (frame.__isset.ping_ack) {
        merge_all(context, frame.ping_ack.updates);
        detector_.on_ping_ack(context, frame);
        if (frame.ping_ack.subject == frame.sender) {
            context.node.spread.note_version(context, node_id{frame.sender},
                                             incarnation{frame.incarnation},
                                             config_version{frame.ping_ack.config_version});
        }
    } else if (frame.__isset.roster_pull) {
        on_roster_pull(context, frame);
    } else if (frame.__isset.roster_push) {
        on_roster_push(context, frame);
    }
}

std::vector<wire::member_record> membership::updates_for(const node_id& target)
{
    auto nodes = news_.attach();
    // A suspect, or a node taken as dead, has to hear of it to refute it.
    const auto* record = roster_.find(target);
    const bool doubted = record != nullptr && record->state != member_state::alive;
    if (doubted && std::find(nodes.begin(), nodes.end(), target) == nodes.end()) {
        nodes.push_back(target);
    }
    std::vector<wire::member_record> out;
    out.reserve(nodes.size());
    for (const auto& node : nodes) {
        out.push_back(to_wire(*roster_.find(node)));
    }
    return out;
}

void membership::on_ping(step_context& context, const wire::frame& frame)
{
    const node_id sender{frame.sender};
    merge_all(context, frame.ping.updates);
    if (!roster_.is_live(sender)) {
        send_digests(context, sender);
    }
    wire::ping_ack_message message;
    message.sequence = frame.ping.sequence;
    message.subject = context.node.settings.node.value();
    message.updates = updates_for(sender);
    message.config_version = context.node.config.current()->version().value();
    wire::frame answer;
    answer.__set_ping_ack(message);
    send_to(context, sender, std::move(answer));
    context.node.spread.note_version(context, sender, incarnation{frame.incarnation},
                                     config_version{frame.ping.config_version});
}

// ---- joining and digest exchange

void membership::join(step_context& context)
{
    std::vector<seed_node> targets;
    for (const auto& seed : context.node.settings.seeds) {
        if (seed.node != context.node.settings.node && !roster_.is_live(seed.node)) {
            targets.push_back(seed);
        }
    }
    const bool alone = roster_.live().size() <= 1;
    context.start_timer(timer_of(membership_timer::join),
                        alone ? join_backoff_.next(context) : island_check_period);
    if (alone && std::exchange(seeds_tried_, true) && !leaving_) {
        rows_.look_up(context);
    }
    if (targets.empty() || leaving_) {
        return;
    }
    std::shuffle(targets.begin(), targets.end(), context.node.random);
    targets.resize(std::min(targets.size(), join_targets));
    for (const auto& seed : targets) {
        join_at(context, seed.address);
    }
}

void membership::join_at(step_context& context, const peer_address& address) const
{
    const auto& self = context.node.settings;
    if (address == peer_address{self.host, self.peer_port}) {
        return;
    }
    wire::roster_pull_message message;
    message.joining = true;
    message.__set_own_record(to_wire(*roster_.find(self.node)));
    wire::frame frame;
    frame.__set_roster_pull(message);
    context.send(address, std::move(frame));
}

void membership::write_row(step_context& context)
{
    context.start_timer(timer_of(membership_timer::roster_row),
                        context.jitter(row_period / 2, row_period));
    if (is_relay_ && !leaving_) {
        rows_.refresh(context);
    }
}

std::vector<node_id> membership::opposite_relays(const step_context& context) const
{
    const auto& self = context.node.settings;
    const auto& own = trees(self.zone).roots();
    const auto place =
        static_cast<std::size_t>(std::find(own.begin(), own.end(), self.node) - own.begin());
    std::vector<node_id> out;
    for (const auto& zone : roster_.zones()) {
        const auto& roots = trees(zone).roots();
        if (zone != self.zone) {
            out.push_back(roots[std::min(place, roots.size() - 1)]);
        }
    }
    return out;
}

std::optional<node_id> membership::random_peer(step_context& context) const
{
    const auto& self = context.node.settings;
    auto peers = roster_.live_nodes(self.zone);
    std::erase(peers, self.node);
    if (peers.empty()) {
        return random_peer_abroad(context);
    }
    return pick(context, peers);
}

std::optional<node_id> membership::random_peer_abroad(step_context& context) const
{
    auto zones = roster_.zones();
    std::erase(zones, context.node.settings.zone);
    if (zones.empty()) {
        return std::nullopt;
    }
    // Any node, not a relay: those known here may have died with nobody left to say so.
    return pick(context, roster_.live_nodes(pick(context, zones)));
}

void membership::pull_roster(step_context& context)
{
    const auto settled_period = is_relay_ ? relay_pull_period : pull_period;
    const auto period = std::exchange(roster_differs_, false) ? fast_pull_period : settled_period;
    context.start_timer(timer_of(membership_timer::roster_pull),
                        context.jitter(period / 2, period * 3 / 2));
    if (leaving_) {
        return;
    }
    if (const auto peer = random_peer(context)) {
        ask_digest(context, *peer);
    }
    if (is_relay_) {
        if (const auto peer = random_peer_abroad(context)) {
            ask_digest(context, *peer);
        }
    }
}

void membership::on_roster_pull(step_context& context, const wire::frame& frame)
{
    const auto& pull = frame.roster_pull;
    const node_id sender{frame.sender};
    if (pull.__isset.own_record) {
        merge(context, from_wire(pull.own_record), news_origin::here);
    }
    if (pull.joining) {
        answer_join(context, sender);
    } else if (!pull.zones.empty()) {
        roster_differs_ = true;
        send_differing(context, sender, pull.zones);
    } else if (pull.digest != to_wire(roster_.digest())) {
        send_digests(context, sender);
    }
}

void membership::answer_join(step_context& context, const node_id& asker)
{
    const auto* record = roster_.find(asker);
    if (record == nullptr) {
        return;
    }
    std::set<node_id> nodes;
    for (const auto& node : roster_.live_nodes(record->zone)) {
        nodes.insert(node);
    }
    for (const auto& zone : roster_.zones()) {
        const auto& roots = roster_.trees(zone).roots();
        nodes.insert(roots.begin(), roots.end());
    }
    wire::roster_push_message message;
    for (const auto& node : nodes) {
        message.members.push_back(to_wire(*roster_.find(node)));
    }
    if (!roster_.is_live(asker)) {
        message.members.push_back(to_wire(*record));
    }
    wire::frame frame;
    frame.__set_roster_push(message);
    send_to(context, asker, std::move(frame));
}

void membership::send_digests(step_context& context, const node_id& peer)
{
    wire::roster_pull_message message;
    message.digest = to_wire(roster_.digest());
    for (const auto& zone : roster_.zones()) {
        wire::zone_digest item;
        item.zone = zone.value();
        item.digest = to_wire(roster_.digest(zone));
        message.zones.push_back(std::move(item));
    }
    wire::frame frame;
    frame.__set_roster_pull(message);
    send_to(context, peer, std::move(frame));
}

void membership::send_differing(step_context& context, const node_id& peer,
                                const std::vector<wire::zone_digest>& theirs)
{
    std::map<zone_id, std::int64_t> digests;
    for (const auto& zone : roster_.zones()) {
        digests[zone] = 0;
    }
    for (const auto& item : theirs) {
        digests[zone_id{item.zone}] = item.digest;
    }
    std::vector<zone_id> differing;
    for (const auto& [zone, digest] : digests) {
        if (digest != to_wire(roster_.digest(zone))) {
            differing.push_back(zone);
        }
    }
    std::shuffle(differing.begin(), differing.end(), context.node.random);
    differing.resize(std::min(differing.size(), zones_per_exchange));
    wire::roster_push_message message;
    for (const auto& zone : differing) {
        message.complete_zones.push_back(zone.value());
        for (const auto& node : roster_.live_nodes(zone)) {
            message.members.push_back(to_wire(*roster_.find(node)));
        }
    }
    if (differing.empty()) {
        return;
    }
    wire::frame frame;
    frame.__set_roster_push(message);
    send_to(context, peer, std::move(frame));
}

void membership::on_roster_push(step_context& context, const wire::frame& frame)
{
    const bool was_alone = roster_.live().size() <= 1;
    merge_all(context, frame.roster_push.members);
    if (was_alone && roster_.live().size() > 1) {
        context.node.spread.on_peers_known(context);
    }
    if (!frame.roster_push.complete_zones.empty()) {
        return_newer(context, frame);
    }
}

void membership::return_newer(step_context& context, const wire::frame& frame)
{
    std::map<node_id, member> theirs;
    for (const auto& record : frame.roster_push.members) {
        theirs[node_id{record.node}] = from_wire(record);
    }
    wire::roster_push_message message;
    const auto add_newer = [&](const member& own) {
        const auto found = theirs.find(own.node);
        if (found == theirs.end() || is_newer(own, found->second)) {
            message.members.push_back(to_wire(own));
        }
    };
    for (const auto& zone : frame.roster_push.complete_zones) {
        for (const auto& node : roster_.live_nodes(zone_id{zone})) {
            add_newer(*roster_.find(node));
        }
    }
    for (const auto& [node, item] : theirs) {
        if (!roster_.is_live(node)) {
            add_newer(*roster_.find(node));
        }
    }
    if (message.members.empty()) {
        return;
    }
    wire::frame answer;
    answer.__set_roster_push(message);
    send_to(context, node_id{frame.sender}, std::move(answer));
}

} // namespace camphor
