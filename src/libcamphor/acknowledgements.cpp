// Aggregation of applied versions, by zone.
#include <camphortally/acknowledgements.h>
#include <camphortally/node.h>

#include "distribution_timers.h"

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

using namespace std::chrono_literals;

/// A node tells its relays at most this often, so that a burst of changes costs few frames.
constexpr duration tell_spacing = 200ms;
/// A relay looks this often whether its zone's account changed.
constexpr duration report_period = 100ms;
/// An account that names nodes behind is sent only once they had this long.
constexpr duration laggard_patience = 500ms;
/// An unchanged account is repeated this often.
constexpr duration heartbeat_period = 5s;
/// Reports wait this long for others to share a frame down the trees.
constexpr duration relay_delay = 50ms;

wire::applied_report_message to_wire(const zone_id& zone, const zone_report& report)
{
    wire::applied_report_message out;
    out.root = zone.value();
    out.floor = report.floor.value();
    out.nodes = report.nodes;
    out.sequence = report.sequence;
    for (const auto& [node, version] : report.behind) {
        wire::node_version item;
        item.node = node.value();
        item.version = version.value();
        out.behind.push_back(std::move(item));
    }
    return out;
}

zone_report from_wire(const wire::applied_report_message& message)
{
    zone_report out;
    out.floor = config_version{message.floor};
    out.nodes = message.nodes;
    out.sequence = message.sequence;
    for (const auto& item : message.behind) {
        out.behind[node_id{item.node}] = config_version{item.version};
    }
    return out;
}

bool same_content(const zone_report& left, const zone_report& right)
{
    return left.floor == right.floor && left.nodes == right.nodes && left.behind == right.behind;
}

} // namespace

void acknowledgements::start(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::zone_report),
                        context.jitter(report_period, 2 * report_period));
}

void acknowledgements::on_timer(step_context& context, const timer_key& key)
{
    switch (static_cast<distribution_timer>(key.kind)) {
    case distribution_timer::acknowledge:
        tell_relays(context);
        break;
    case distribution_timer::zone_report:
        report_zone(context);
        break;
    default:
        relay_reports(context);
        break;
    }
}

bool acknowledgements::is_relay(const step_context& context) const
{
    const auto& self = context.node.settings;
    return context.node.members.trees(self.zone).is_root(self.node);
}

config_version acknowledgements::held_by(const node_id& node) const
{
    const auto found = held_.find(node);
    return found == held_.end() ? config_version{} : found->second.version;
}

void acknowledgements::note(step_context& /*context*/, const node_id& node, incarnation life,
                            config_version version)
{
    auto& known = held_[node];
    if (life > known.life) {
        known = {life, version};
    } else if (life == known.life && version > known.version) {
        known.version = version;
    }
}

// ---- a node tells its relays

void acknowledgements::on_applied(step_context& context)
{
    note(context, context.node.settings.node, context.node.life,
         context.node.config.current()->version());
    if (!tell_set_) {
        tell_set_ = true;
        const auto wait = std::max(duration{}, told_at_ + tell_spacing - context.now);
        context.start_timer(timer_of(distribution_timer::acknowledge), wait);
    }
}

void acknowledgements::tell_relays(step_context& context)
{
    tell_set_ = false;
    told_at_ = context.now;
    const auto& self = context.node.settings;
    wire::applied_report_message message;
    message.root = self.node.value();
    message.floor = context.node.config.current()->version().value();
    message.nodes = 1;
    wire::frame frame;
    frame.__set_applied_report(message);
    for (const auto& relay : context.node.members.trees(self.zone).roots()) {
        if (relay != self.node) {
            context.node.members.send_to(context, relay, frame);
        }
    }
}

void acknowledgements::on_applied_report(step_context& context, const wire::frame& frame)
{
    note(context, node_id{frame.sender}, incarnation{frame.incarnation},
         config_version{frame.applied_report.floor});
}

// ---- a relay accounts for its zone

zone_report acknowledgements::make_report(const step_context& context) const
{
    const auto& self = context.node.settings;
    zone_report out;
    out.floor = context.node.config.current()->version();
    out.sequence = context.wall_now().time_since_epoch().count();
    for (const auto& node : context.node.members.live_nodes(self.zone)) {
        ++out.nodes;
        const auto version = held_by(node);
        if (node != self.node && version < out.floor) {
            out.behind[node] = version;
        }
    }
    return out;
}

void acknowledgements::report_zone(step_context& context)
{
    context.start_timer(timer_of(distribution_timer::zone_report), report_period);
    if (!is_relay(context)) {
        return;
    }
    const auto& zone = context.node.settings.zone;
    auto report = make_report(context);
    const auto& last = reports_[zone];
    const auto since = context.now - reported_at_;
    const bool changed = !same_content(report, last);
    const bool settled = is_settled(context, report);
    if (!(changed && settled) && since < heartbeat_period) {
        return;
    }
    reported_at_ = context.now;
    probe_laggards(context, report);
    report.sequence = std::max(report.sequence, last.sequence + 1);
    wire::zone_reports_message message;
    message.reports.push_back(to_wire(zone, report));
    wire::frame frame;
    frame.__set_zone_reports(message);
    for (const auto& relay : context.node.members.opposite_relays(context)) {
        context.node.members.send_to(context, relay, frame);
    }
    reports_[zone] = std::move(report);
    unsent_.insert(zone);
    relay_reports(context);
}

bool acknowledgements::is_settled(const step_context& context, const zone_report& report)
{
    if (report.behind.empty()) {
        behind_since_.reset();
        return true;
    }
    if (!behind_since_) {
        behind_since_ = context.now;
    }
    return context.now - *behind_since_ >= laggard_patience;
}

void acknowledgements::probe_laggards(step_context& context, const zone_report& report)
{
    for (const auto& [node, version] : report.behind) {
        context.node.members.ping(context, node);
    }
}

// ---- reports of zones

bool acknowledgements::keep(const zone_id& zone, zone_report report)
{
    auto& known = reports_[zone];
    if (report.sequence <= known.sequence) {
        return false;
    }
    constexpr std::chrono::milliseconds half_heartbeat = heartbeat_period / 2ms * 1ms;
    const bool news =
        !same_content(report, known) || report.sequence - known.sequence > half_heartbeat.count();
    known = std::move(report);
    return news;
}

void acknowledgements::on_zone_reports(step_context& context, const wire::frame& frame)
{
    for (const auto& item : frame.zone_reports.reports) {
        const zone_id zone{item.root};
        if (keep(zone, from_wire(item))) {
            unsent_.insert(zone);
        }
    }
    if (!unsent_.empty() && !relay_set_) {
        relay_set_ = true;
        context.start_timer(timer_of(distribution_timer::relay_reports), relay_delay);
    }
}

void acknowledgements::relay_reports(step_context& context)
{
    relay_set_ = false;
    wire::zone_reports_message message;
    for (const auto& zone : unsent_) {
        message.reports.push_back(to_wire(zone, reports_[zone]));
    }
    unsent_.clear();
    if (message.reports.empty()) {
        return;
    }
    const auto& self = context.node.settings;
    wire::frame frame;
    frame.__set_zone_reports(message);
    for (const auto& child : context.node.members.trees(self.zone).children(self.node)) {
        context.node.members.send_to(context, child, frame);
    }
}

std::vector<node_id> acknowledgements::missing_nodes(const step_context& context,
                                                     config_version version) const
{
    std::vector<node_id> out;
    const auto& self = context.node.settings;
    const bool relay = is_relay(context);
    for (const auto& [node, item] : context.node.members.members()) {
        const bool own = node == self.node;
        const auto heard = own ? context.node.config.current()->version() : held_by(node);
        if (heard >= version) {
            continue;
        }
        const auto found = reports_.find(item.zone);
        const bool reported = !own && !(relay && item.zone == self.zone) &&
                              found != reports_.end() && found->second.floor >= version;
        if (reported) {
            const auto behind = found->second.behind.find(node);
            if (behind == found->second.behind.end() || behind->second >= version) {
                continue;
            }
        }
        out.push_back(node);
    }
    return out;
}

} // namespace camphor
