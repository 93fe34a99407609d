// Shares and outcomes of roll-outs.
#include "libmesh/rollouts.h"

#include <algorithm>
#include <cmath>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

constexpr double full_share = 1000;
/// At the full share a release is watched for this long at least.
constexpr auto least_soak = 1s;
/// Kept of the counted outcomes from one judgement to the next: half in about two seconds.
constexpr double outcome_decay = 0.93;
/// Without word of a holder for so long a node sends nothing more to an unproven release.
constexpr auto holder_silence = 2500ms;
/// Pause between two writes of a status that failed.
constexpr auto write_pause = 500ms;

/// The policy counts in wall clock time; the node's own clock serves as one, from any start.
wall_time as_wall(time_point time)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()));
}

move_spec spec_of(const rollout_view& view, const rollouts::limits& allowed)
{
    move_spec out;
    out.service = view.order.service;
    out.to_release = view.order.target;
    out.deadline = as_wall(view.started_at) + view.order.duration;
    // Requests that the old release still runs are done when it is stopped.
    out.soak = std::max<duration>(allowed.longest_request(view.order.service), least_soak);
    // Orders last seconds: what little was seen by then shows a release whose faults matter, since
    // operators call a release bad when a large part of its answers is.
    out.on_thin_evidence = thin_evidence::complete;
    out.unproven_share = permille{static_cast<std::int32_t>(allowed.exposure * full_share)};
    return out;
}

} // namespace

bool rollouts::on_order(const rollout_order& order, time_point now)
{
    auto& view = views_[order.service];
    const bool same = order.row_version == view.order.row_version;
    if (order.row_version < view.order.row_version || (same && view.order_known)) {
        return false;
    }
    // What other nodes told of this order stays: share, stage and time already spent.
    if (!same) {
        start_anew(view, order, now);
    }
    view.order = order;
    view.order_known = true;
    return true;
}

void rollouts::start_anew(rollout_view& view, const rollout_order& order, time_point now)
{
    const auto status_version = view.status_version;
    view = {};
    view.order = order;
    view.status_version = status_version;
    view.started_at = now;
    view.heard_at = now;
}

void rollouts::on_status(const rollout_status_read& happened)
{
    auto& view = views_[happened.status.service];
    if (happened.row_version < view.status_version) {
        return;
    }
    view.status_version = happened.row_version;
    if (view.order.row_version == 0 || happened.status.order != view.order.row_version) {
        return;
    }
    view.running_written = true;
    if (happened.status.phase != rollout_phase::running) {
        view.phase = happened.status.phase;
        view.final_written = true;
    }
}

void rollouts::on_written(const rollout_status_written& happened, time_point now)
{
    auto& view = views_[happened.status.service];
    view.write_pending = false;
    if (happened.result != rollout_status_written::outcome::written) {
        view.next_write = now + write_pause;
        return;
    }
    view.status_version = std::max(view.status_version, happened.row_version);
    if (happened.status.order != view.order.row_version) {
        return;
    }
    view.running_written = true;
    if (happened.status.phase != rollout_phase::running) {
        view.final_written = true;
        view.phase = happened.status.phase;
        ++view.sequence;
    }
}

bool rollouts::on_share(const mesh_wire::rollout_share& frame, time_point now)
{
    auto& view = views_[service_id{frame.service_name}];
    if (frame.order < view.order.row_version) {
        return false;
    }
    const bool known_phase = frame.phase >= 0 && frame.phase <= 2;
    if (frame.order > view.order.row_version) {
        // The order itself comes with the operators' rows; the target is enough to route by.
        rollout_order order;
        order.service = service_id{frame.service_name};
        order.target = release_id{frame.target};
        order.row_version = frame.order;
        start_anew(view, order, now);
    }
    view.started_at = std::min<time_point>(view.started_at, now - milliseconds(frame.age_ms));
    const bool final_here = view.phase != rollout_phase::running;
    const bool final_there = frame.phase != 0;
    if (!known_phase || (final_here && !final_there) ||
        (final_here == final_there && frame.sequence < view.sequence)) {
        return false;
    }
    const auto before = std::make_pair(view.share, view.phase);
    view.heard_at = now;
    view.sequence = frame.sequence;
    view.share = permille{frame.permille};
    view.stage = frame.stage;
    view.phase = static_cast<rollout_phase>(frame.phase);
    return before != std::make_pair(view.share, view.phase);
}

void rollouts::note_run(const service_id& service, const release_id& release, const route_id& way,
                        bool good, duration held)
{
    const auto found = views_.find(service);
    if (found == views_.end() || found->second.phase != rollout_phase::running ||
        found->second.order.target.value().empty()) {
        return;
    }
    auto& item = notes_[{service, way, release}];
    if (good) {
        ++item.good;
        item.latency.add(held);
    } else {
        ++item.bad;
    }
}

std::optional<mesh_wire::evidence> rollouts::take_evidence()
{
    if (notes_.empty()) {
        return std::nullopt;
    }
    mesh_wire::evidence out;
    for (const auto& [key, item] : notes_) {
        mesh_wire::release_counts counts;
        counts.__set_service_name(key.service.value());
        counts.__set_route(key.way.value());
        counts.__set_release(key.release.value());
        counts.__set_good(item.good);
        counts.__set_bad(item.bad);
        counts.__set_latency_buckets(item.latency.to_counts());
        out.counts.push_back(std::move(counts));
    }
    notes_.clear();
    out.__isset.counts = true;
    return out;
}

void rollouts::on_evidence(const mesh_wire::evidence& report, const zone_id& from)
{
    for (const auto& item : report.counts) {
        const service_id service{item.service_name};
        const auto view = views_.find(service);
        const auto known = policies_.find(service);
        if (view == views_.end() || known == policies_.end() ||
            known->second.order != view->second.order.row_version) {
            continue;
        }
        call_evidence seen;
        seen.successes = item.good;
        seen.failures = item.bad;
        seen.latency = latency_histogram::from_counts(item.latency_buckets);
        const bool is_new = item.release == view->second.order.target.value();
        known->second.policy->observe(
            {from, route_id{item.route},
             is_new ? release_side::new_release : release_side::old_release},
            seen);
        ++known->second.reports;
        auto& sides = known->second.by_route[item.route];
        auto& route_side = is_new ? sides.second : sides.first;
        auto& side = is_new ? known->second.new_side : known->second.old_side;
        route_side.add(item.good, item.bad, seen.latency);
        side.add(item.good, item.bad, seen.latency);
        auto& total = is_new ? known->second.new_total : known->second.old_total;
        total.add(item.good, item.bad, seen.latency);
    }
}

std::optional<std::string> rollouts::gross_fault(const rollout_view& view)
{
    auto& known = policies_.at(view.order.service);
    auto found = find_gross_fault(known.old_side, known.new_side);
    known.old_side.decay(outcome_decay);
    known.new_side.decay(outcome_decay);
    for (auto& [way, sides] : known.by_route) {
        if (!found) {
            found = find_gross_fault(sides.first, sides.second);
        }
        sides.first.decay(outcome_decay);
        sides.second.decay(outcome_decay);
    }
    return found;
}

std::optional<release_id> rollouts::choose(const service_id& service, double part,
                                           time_point now) const
{
    const auto found = views_.find(service);
    if (found == views_.end()) {
        return std::nullopt;
    }
    const auto& view = found->second;
    const bool silent = now > view.heard_at + holder_silence;
    const bool proven = view.share.value() >= static_cast<std::int32_t>(full_share);
    if (view.phase != rollout_phase::running || (silent && !proven) ||
        part * full_share >= view.share.value()) {
        return std::nullopt;
    }
    return view.order.target;
}

std::optional<release_id> rollouts::running_target(const service_id& service) const
{
    const auto found = views_.find(service);
    if (found == views_.end() || found->second.phase != rollout_phase::running ||
        found->second.share.value() == 0) {
        return std::nullopt;
    }
    return found->second.order.target;
}

bool rollouts::allows(const service_id& service, const release_id& release,
                      const std::optional<release_id>& chosen) const
{
    const auto found = views_.find(service);
    if (found == views_.end() || found->second.order.target.value().empty()) {
        return true;
    }
    const bool is_target = found->second.order.target == release;
    switch (found->second.phase) {
    case rollout_phase::completed:
        return is_target;
    case rollout_phase::rolled_back:
        return !is_target;
    case rollout_phase::running:
        return chosen ? release == *chosen : !is_target;
    }
    return false;
}

bool rollouts::any_running() const
{
    return std::any_of(views_.begin(), views_.end(), [](const auto& entry) {
        return entry.second.order_known && !entry.second.final_written &&
               entry.second.phase == rollout_phase::running;
    });
}

mesh_wire::rollout_share rollouts::frame_of(const rollout_view& view, time_point now)
{
    mesh_wire::rollout_share out;
    out.__set_service_name(view.order.service.value());
    out.__set_target(view.order.target.value());
    out.__set_order(view.order.row_version);
    out.__set_sequence(view.sequence);
    out.__set_permille(view.share.value());
    out.__set_stage(view.stage);
    out.__set_phase(static_cast<std::int32_t>(view.phase));
    out.__set_age_ms((now - view.started_at) / milliseconds(1));
    return out;
}

std::vector<mesh_wire::rollout_share> rollouts::shares(time_point now) const
{
    std::vector<mesh_wire::rollout_share> out;
    for (const auto& [service, view] : views_) {
        if (view.order.row_version > 0) {
            out.push_back(frame_of(view, now));
        }
    }
    return out;
}

void rollouts::sync_policy(const rollout_view& view, time_point now, const limits& allowed)
{
    auto& known = policies_[view.order.service];
    const bool is_new = !known.policy || known.order != view.order.row_version;
    if (!is_new && known.policy->status().stage == view.stage &&
        known.policy->status().share == view.share) {
        return;
    }
    const auto spec = spec_of(view, allowed);
    if (is_new) {
        known = {};
        known.order = view.order.row_version;
        known.since = now;
        known.policy = std::make_unique<move_policy>(spec, duration{});
    }
    auto status = known.policy->status();
    status.phase = view.stage > 0 ? move_phase::progressing : move_phase::accepted;
    status.share = view.share;
    status.stage = view.stage;
    status.changed_at = as_wall(view.stage > 0 ? now : view.started_at);
    known.policy->set_move(spec, status, as_wall(now));
}

rollouts::decisions rollouts::decide(time_point now, const limits& allowed)
{
    decisions out;
    for (auto& [service, view] : views_) {
        if (!view.order_known || view.final_written) {
            continue;
        }
        view.heard_at = now;
        if (view.phase == rollout_phase::running) {
            judge(view, now, allowed, out);
        }
        write_status(view, now, out);
    }
    return out;
}

void rollouts::judge(rollout_view& view, time_point now, const limits& allowed, decisions& out)
{
    sync_policy(view, now, allowed);
    const auto& seen = policies_.at(view.order.service);
    auto decided = seen.policy->decide(as_wall(now));
    if (const auto fault = gross_fault(view)) {
        decided.action = move_action::revert;
        decided.reason = *fault;
    }
    const bool raises = decided.action == move_action::complete ||
                        (decided.action == move_action::set_share && decided.share > view.share);
    if (raises && !allowed.may_raise) {
        return;
    }
    if (raises && is_suspect(seen.old_total, seen.new_total)) {
        decided.action = move_action::revert;
        decided.reason = "it failed too often to get more traffic on this evidence";
    }
    if (decided.action == move_action::hold) {
        return;
    }
    const auto before = view.share;
    if (decided.action == move_action::set_share) {
        view.share = decided.share;
        view.stage = decided.stage;
        sync_policy(view, now, allowed);
    } else if (decided.action == move_action::complete) {
        view.phase = rollout_phase::completed;
        view.share = permille{static_cast<std::int32_t>(full_share)};
    } else {
        view.phase = rollout_phase::rolled_back;
        view.share = permille{0};
    }
    ++view.sequence;
    out.shares.push_back(frame_of(view, now));
    out.lines.push_back({log_level::info,
                         "rollout.decided",
                         "",
                         {{"service", view.order.service.value()},
                          {"release", view.order.target.value()},
                          {"share_before", std::to_string(before.value())},
                          {"share", std::to_string(view.share.value())},
                          {"phase", std::to_string(static_cast<int>(view.phase))},
                          {"reason", decided.reason},
                          {"known_for_ms", std::to_string((now - seen.since) / milliseconds(1))},
                          {"reports", std::to_string(seen.reports)},
                          {"old_calls", std::to_string(std::lround(seen.old_total.total()))},
                          {"new_calls", std::to_string(std::lround(seen.new_total.total()))},
                          {"new_failures", std::to_string(std::lround(seen.new_total.bad))},
                          {"evidence", decided.evidence}}});
}

void rollouts::write_status(rollout_view& view, time_point now, decisions& out)
{
    const bool final_phase = view.phase != rollout_phase::running;
    const bool due = final_phase ? !view.final_written : !view.running_written;
    if (!due || view.write_pending || now < view.next_write) {
        return;
    }
    view.write_pending = true;
    out.writes.push_back(
        {{view.order.service, view.order.target, view.order.row_version, view.phase},
         view.status_version});
}

} // namespace camphor::mesh
