// Pushing, comparing and fetching of versions.
#include <camphortally/distribution.h>
#include <camphortally/node.h>

#include "distribution_timers.h"
#include "wire_codec.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

constexpr duration compare_period = 2s;
/// A pull without an answer may be repeated after this.
constexpr duration pull_timeout = 1s;
/// A longer delta is sent as a full snapshot.
constexpr std::size_t delta_limit = 64;
/// An apply of more versions than this is catching up.
constexpr std::int64_t news_limit = 16;
/// A node over its limit of full snapshots asks the peer to come back within this.
constexpr duration busy_low = 250ms;
constexpr duration busy_high = 1500ms;

} // namespace

void distribution::start(step_context& context)
{
    poller_.start(context);
    acks_.start(context);
    compactor_.start(context);
    context.start_timer(timer_of(distribution_timer::compare),
                        context.jitter(duration{}, compare_period));
}

void distribution::on_timer(step_context& context, const timer_key& key)
{
    switch (static_cast<distribution_timer>(key.kind)) {
    case distribution_timer::poll:
        poller_.on_timer(context);
        break;
    case distribution_timer::compare:
        compare_with_peer(context);
        break;
    case distribution_timer::compact:
        compactor_.on_timer(context);
        break;
    default:
        acks_.on_timer(context, key);
        break;
    }
}

void distribution::on_platform(step_context& context, const platform_ticket& ticket,
                               const platform_reply& reply)
{
    if (ticket.kind >= static_cast<std::int32_t>(distribution_request::compaction_head)) {
        compactor_.on_platform(context, ticket, reply);
        return;
    }
    poller_.on_platform(context, ticket, reply);
}

void distribution::on_frame(step_context& context, const wire::frame& frame)
{
    if (frame.__isset.config_delta) {
        on_delta(context, frame);
    } else if (frame.__isset.config_pull) {
        on_pull(context, frame);
    } else if (frame.__isset.config_full) {
        on_full(context, frame);
    } else if (frame.__isset.config_busy) {
        on_busy(context, frame);
    } else if (frame.__isset.applied_report) {
        acks_.on_applied_report(context, frame);
    } else if (frame.__isset.zone_reports) {
        acks_.on_zone_reports(context, frame);
    }
}

// ---- pushing

void distribution::on_accepted(step_context& context, const change& item)
{
    const auto& members = context.node.members;
    std::vector<node_id> relays;
    for (const auto& zone : members.zones()) {
        for (const auto& root : members.trees(zone).roots()) {
            if (root != context.node.settings.node) {
                relays.push_back(root);
            }
        }
    }
    // The changes of one order are applied together and reported one by one: the last one sends.
    if (item.version == context.node.config.current()->version()) {
        push(context, accepted_base_, relays);
    }
}

void distribution::on_applied(step_context& context)
{
    const auto base = std::exchange(pushed_, context.node.config.current()->version());
    accepted_base_ = base;
    const auto& self = context.node.settings;
    // A node that catches up has no news for others.
    if (pushed_.value() - base.value() <= news_limit) {
        push(context, base, context.node.members.trees(self.zone).children(self.node));
    }
    acks_.on_applied(context);
}

void distribution::on_peers_known(step_context& context)
{
    compare_with_peer(context);
}

void distribution::push(step_context& context, config_version base,
                        const std::vector<node_id>& peers)
{
    if (peers.empty()) {
        return;
    }
    const auto& store = context.node.config;
    const auto& held = *store.current();
    wire::config_delta_message message;
    message.version = held.version().value();
    message.digest = to_wire(held.digest());
    message.base = held.version().value();
    const auto changes = store.changes_since(base);
    // Without changes the message only tells that there is something to fetch.
    if (!changes.empty() && changes.size() <= delta_limit) {
        message.base = base.value();
        for (const auto& item : changes) {
            message.changes.push_back(to_wire(item));
        }
    }
    wire::frame frame;
    frame.__set_config_delta(message);
    for (const auto& peer : peers) {
        context.node.members.send_to(context, peer, frame);
    }
}

void distribution::on_delta(step_context& context, const wire::frame& frame)
{
    const auto& message = frame.config_delta;
    const node_id sender{frame.sender};
    pull_expires_ = {};
    std::vector<change> changes;
    try {
        for (const auto& record : message.changes) {
            changes.push_back(from_wire(record));
        }
    } catch (const invalid_input& error) {
        context.log(log_level::warning, "config.unreadable_delta", error.what());
        return;
    }
    const auto result = context.node.config.apply_changes(
        context, config_version{message.base}, changes, static_cast<std::uint64_t>(message.digest));
    note_version(context, sender, incarnation{frame.incarnation}, config_version{message.version});
    if (result == apply_result::mismatch &&
        message.base <= context.node.config.current()->version().value()) {
        want_full_ = true;
        pull_from(context, sender);
    }
}

// ---- comparing and fetching

void distribution::note_version(step_context& context, const node_id& node, incarnation life,
                                config_version version)
{
    acks_.note(context, node, life, version);
    if (version > context.node.config.current()->version()) {
        pull_from(context, node);
    }
}

void distribution::pull_from(step_context& context, const node_id& peer)
{
    if (context.now < pull_expires_) {
        return;
    }
    if (context.node.members.find(peer) == nullptr) {
        return;
    }
    pull_expires_ = context.now + pull_timeout;
    const auto& held = *context.node.config.current();
    wire::config_pull_message message;
    message.have_version = held.version().value();
    message.have_digest = to_wire(held.digest());
    message.want_full = want_full_;
    wire::frame frame;
    frame.__set_config_pull(message);
    context.node.members.send_to(context, peer, std::move(frame));
}

void distribution::compare_with_peer(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::compare),
                        context.jitter(compare_period / 2, compare_period * 3 / 2));
    const auto& members = context.node.members;
    const auto compare_with = [&](const std::optional<node_id>& peer) {
        if (peer) {
            pull_expires_ = {};
            pull_from(context, *peer);
            pull_expires_ = {};
        }
    };
    compare_with(members.random_peer(context));
    if (members.is_relay()) {
        compare_with(members.random_peer_abroad(context));
    }
}

void distribution::on_pull(step_context& context, const wire::frame& frame)
{
    const auto& pull = frame.config_pull;
    const node_id sender{frame.sender};
    const auto& held = *context.node.config.current();
    note_version(context, sender, incarnation{frame.incarnation},
                 config_version{pull.have_version});
    if (pull.have_version < held.version().value()) {
        answer_pull(context, sender, pull);
    } else if (pull.have_version == held.version().value() &&
               pull.have_digest != to_wire(held.digest())) {
        context.log(log_level::error, "config.diverged", sender.value());
    }
}

void distribution::answer_pull(step_context& context, const node_id& peer,
                               const wire::config_pull_message& pull)
{
    const auto& store = context.node.config;
    const config_version base{pull.have_version};
    const auto count = store.current()->version().value() - base.value();
    if (!pull.want_full && store.can_serve_delta(base) &&
        count <= static_cast<std::int64_t>(delta_limit)) {
        push(context, base, {peer});
        return;
    }
    wire::frame frame;
    if (full_admission_.try_take(context.now)) {
        frame.__set_config_full(to_wire(*store.current()));
    } else {
        wire::config_busy_message message;
        message.retry_after_ms = context.jitter(busy_low, busy_high) / 1ms;
        frame.__set_config_busy(message);
    }
    context.node.members.send_to(context, peer, std::move(frame));
}

void distribution::on_full(step_context& context, const wire::frame& frame)
{
    pull_expires_ = {};
    try {
        const auto result = context.node.config.apply_full(context, from_wire(frame.config_full));
        want_full_ = want_full_ && result != apply_result::applied;
    } catch (const std::runtime_error& error) {
        context.log(log_level::warning, "config.unreadable_full", error.what());
    }
}

void distribution::on_busy(step_context& context, const wire::frame& frame)
{
    const auto wait = std::chrono::milliseconds(frame.config_busy.retry_after_ms);
    pull_expires_ = context.now + std::clamp<duration>(wait, busy_low, busy_high);
    context.start_timer(timer_of(distribution_timer::compare), pull_expires_ - context.now);
}

} // namespace camphor
