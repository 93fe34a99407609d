// State of roll-outs, and the leader's decisions.
#include "libmesh/rollouts.h"

#include "libmesh/store_position.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

constexpr double full_share = 1000;
/// Minimum time for which a release is observed at the full share.
constexpr auto min_soak = 1s;
/// Factor on the counted outcomes from one decision to the next; gives a half-life of about two
/// seconds.
constexpr double outcome_decay = 0.93;
/// After this long without a message of the leader, a node sends no more requests to a release that
/// has not reached the full share.
constexpr auto leader_timeout = 2500ms;
/// Failures of a new release that fails often from which on its time is limited.
constexpr double many_failures = 30;
/// Longest time for which a new release that fails often may run because the old one fails as well.
constexpr auto max_failing_time = 3s;
/// Delay before a failed write of a status is repeated.
constexpr auto status_write_backoff = 500ms;
/// Earlier orders of a service that are remembered: more than are given in the seconds by which a
/// copy of the store is older.
constexpr std::size_t max_superseded_orders = 8;

/// Converts to the wall clock time that move_policy expects. The policy uses only differences, so
/// the epoch of the node's monotonic clock does not matter.
wall_time to_wall_time(time_point time)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()));
}

/// Version by which the store names the row of the order.
std::int64_t version_in_store(const rollout_order& order)
{
    return store_position::from_packed(order.row_version).version();
}

bool refers_to(const rollout_status& status, const rollout_order& order)
{
    return status.order == version_in_store(order) && status.target == order.target;
}

move_spec make_move_spec(const rollout_view& view, const rollouts::limits& allowed)
{
    move_spec out;
    out.service = view.order.service;
    out.to_release = view.order.target;
    out.deadline = to_wall_time(view.started_at) + view.order.duration;
    // Requests that the old release is still running end before it is stopped.
    out.soak = std::max<duration>(allowed.longest_request(view.order.service), min_soak);
    // Roll-outs last seconds, so there is little evidence at the deadline. It is enough to
    // complete: the operators call a release bad only when a large part of its answers is, which
    // shows in few answers.
    out.on_thin_evidence = thin_evidence::complete;
    out.unproven_share = permille{static_cast<std::int32_t>(allowed.max_exposure * full_share)};
    return out;
}

} // namespace

bool rollouts::on_order(const rollout_order& order, time_point now)
{
    auto& view = views_[order.service];
    const bool same = order.row_version == view.order.row_version;
    if (order.row_version < view.order.row_version || (same && view.order_read)) {
        return false;
    }
    if (!same && is_superseded(view, order)) {
        return false;
    }
    if (!same && is_written_again(view, order)) {
        follow_order(view, order.row_version);
        const bool was_read = std::exchange(view.order_read, true);
        view.order = order;
        return !was_read;
    }
    // Keeps the share, stage and start time of this order that other nodes reported.
    if (!same) {
        reset_for_order(view, order, now);
    }
    view.order = order;
    view.order_read = true;
    return true;
}

bool rollouts::is_written_again(const rollout_view& view, const rollout_order& order)
{
    const auto known = store_position::from_packed(view.order.row_version);
    const auto found = store_position::from_packed(order.row_version);
    return known.version() > 0 && known.era() < found.era() && view.order.target == order.target &&
           (!view.order_read || view.order.duration == order.duration);
}

bool rollouts::is_superseded(const rollout_view& view, const rollout_order& order)
{
    const auto found = store_position::from_packed(order.row_version);
    return std::any_of(view.superseded.begin(), view.superseded.end(),
                       [&](const rollout_order& earlier) {
                           const auto known = store_position::from_packed(earlier.row_version);
                           return known.era() < found.era() && known.version() == found.version() &&
                                  earlier.target == order.target;
                       });
}

bool rollouts::is_of_earlier_era(std::int64_t row_version) const
{
    return store_position::from_packed(row_version).era() < store_era_;
}

void rollouts::on_store_restored(std::int64_t era)
{
    store_era_ = std::max(store_era_, era);
    for (auto& [service, view] : views_) {
        view.status_version = 0;
    }
}

void rollouts::follow_order(rollout_view& view, std::int64_t row_version)
{
    if (const auto found = evaluations_.find(view.order.service);
        found != evaluations_.end() && found->second.order == view.order.row_version) {
        found->second.order = row_version;
    }
    view.order.row_version = row_version;
    // The status in the store, if there is one, refers to the row by its earlier version.
    view.running_status_written = false;
    view.final_status_written = false;
}

void rollouts::reset_for_order(rollout_view& view, const rollout_order& order, time_point now)
{
    const auto status_version = view.status_version;
    auto superseded = std::move(view.superseded);
    if (view.order.row_version > 0) {
        superseded.push_back(view.order);
    }
    if (superseded.size() > max_superseded_orders) {
        superseded.erase(superseded.begin());
    }
    view = {};
    view.superseded = std::move(superseded);
    view.order = order;
    view.status_version = status_version;
    view.started_at = now;
    view.leader_heard_at = now;
}

void rollouts::on_status(const rollout_status_read& read)
{
    auto& view = views_[read.status.service];
    if (read.row_version < view.status_version || is_of_earlier_era(read.row_version)) {
        return;
    }
    view.status_version = read.row_version;
    if (view.order.row_version == 0 || !refers_to(read.status, view.order)) {
        return;
    }
    view.running_status_written = true;
    if (read.status.phase != rollout_phase::running) {
        view.phase = read.status.phase;
        view.final_status_written = true;
    }
}

void rollouts::on_written(const rollout_status_written& written, time_point now)
{
    auto& view = views_[written.status.service];
    view.status_write_pending = false;
    if (written.result == rollout_status_written::outcome::conflict) {
        // The row is read again, unless it is gone.
        view.status_version = 0;
    }
    if (written.result != rollout_status_written::outcome::written ||
        is_of_earlier_era(written.row_version)) {
        view.next_status_write = now + status_write_backoff;
        return;
    }
    view.status_version = std::max(view.status_version, written.row_version);
    if (!refers_to(written.status, view.order)) {
        return;
    }
    view.running_status_written = true;
    if (written.status.phase != rollout_phase::running) {
        view.final_status_written = true;
        view.phase = written.status.phase;
        ++view.sequence;
    }
}

bool rollouts::on_share(const mesh_wire::rollout_share& frame, time_point now)
{
    auto& view = views_[service_id{frame.service_name}];
    if (frame.order < view.order.row_version) {
        return false;
    }
    const bool is_valid_phase = frame.phase >= 0 && frame.phase <= 2;
    if (frame.order > view.order.row_version) {
        // The full order is read from the operators' rows later; the target is enough for routing.
        rollout_order order;
        order.service = service_id{frame.service_name};
        order.target = release_id{frame.target};
        order.row_version = frame.order;
        order.duration = view.order.duration;
        if (is_superseded(view, order)) {
            return false;
        }
        if (is_written_again(view, order)) {
            follow_order(view, frame.order);
        } else {
            reset_for_order(view, order, now);
        }
    }
    view.started_at = std::min<time_point>(view.started_at, now - milliseconds(frame.age_ms));
    const bool is_final = view.phase != rollout_phase::running;
    const bool frame_is_final = frame.phase != 0;
    if (!is_valid_phase || (is_final && !frame_is_final) ||
        (is_final == frame_is_final && frame.sequence < view.sequence)) {
        return false;
    }
    const auto before = std::make_pair(view.share, view.phase);
    view.leader_heard_at = now;
    view.sequence = frame.sequence;
    view.share = permille{frame.permille};
    view.stage = frame.stage;
    view.phase = static_cast<rollout_phase>(frame.phase);
    return before != std::make_pair(view.share, view.phase);
}

void rollouts::record_outcome(const service_id& service, const release_id& release,
                              const route_id& route, run_verdict verdict, duration held)
{
    const auto found = views_.find(service);
    if (found == views_.end() || found->second.phase != rollout_phase::running ||
        found->second.order.target.value().empty()) {
        return;
    }
    auto& counts = local_outcomes_[{service, route, release}];
    switch (verdict) {
    case run_verdict::good:
        ++counts.good;
        counts.latency.add(held);
        return;
    case run_verdict::failed:
        ++counts.bad;
        return;
    case run_verdict::shed:
        ++counts.shed;
        return;
    }
}

std::optional<mesh_wire::evidence> rollouts::take_evidence()
{
    if (local_outcomes_.empty()) {
        return std::nullopt;
    }
    mesh_wire::evidence report;
    for (const auto& [key, outcomes] : local_outcomes_) {
        mesh_wire::release_counts wire_counts;
        wire_counts.__set_service_name(key.service.value());
        wire_counts.__set_route(key.route.value());
        wire_counts.__set_release(key.release.value());
        wire_counts.__set_good(outcomes.good);
        wire_counts.__set_bad(outcomes.bad);
        wire_counts.__set_shed(outcomes.shed);
        wire_counts.__set_latency_buckets(outcomes.latency.to_counts());
        report.counts.push_back(std::move(wire_counts));
    }
    local_outcomes_.clear();
    report.__isset.counts = true;
    return report;
}

void rollouts::on_evidence(const mesh_wire::evidence& report, const zone_id& from)
{
    for (const auto& counts : report.counts) {
        const service_id service{counts.service_name};
        const auto view = views_.find(service);
        const auto found = evaluations_.find(service);
        if (view == views_.end() || found == evaluations_.end() ||
            found->second.order != view->second.order.row_version) {
            continue;
        }
        recent_outcomes reported;
        reported.good = counts.good;
        reported.bad = counts.bad;
        reported.shed = counts.shed;
        reported.latency = latency_histogram::from_counts(counts.latency_buckets);
        call_evidence evidence;
        evidence.successes = reported.good;
        evidence.failures = reported.bad;
        evidence.overloaded = reported.shed;
        evidence.latency = reported.latency;
        const bool is_new = counts.release == view->second.order.target.value();
        found->second.policy->observe(
            {from, route_id{counts.route},
             is_new ? release_side::new_release : release_side::old_release},
            evidence);
        ++found->second.received_counts;
        auto& known = found->second;
        const auto side = is_new ? &release_outcomes::new_release : &release_outcomes::old_release;
        for (auto* outcomes :
             {&known.window, &known.recent, &known.total, &known.recent_by_route[counts.route]}) {
            (outcomes->*side).add(reported);
        }
    }
}

std::optional<std::string> rollouts::check_gross_fault(const rollout_view& view)
{
    auto& evidence = evaluations_.at(view.order.service);
    std::optional<std::string> fault;
    const auto check = [&](release_outcomes& recent) {
        if (!fault) {
            fault = find_gross_fault(recent.old_release, recent.new_release);
        }
        recent.old_release.decay(outcome_decay);
        recent.new_release.decay(outcome_decay);
    };
    check(evidence.recent);
    for (auto& [route, recent] : evidence.recent_by_route) {
        check(recent);
    }
    return fault;
}

bool rollouts::new_release_fails_often(const evaluation& evidence)
{
    return fails_often(evidence.recent.new_release) ||
           std::any_of(evidence.recent_by_route.begin(), evidence.recent_by_route.end(),
                       [](const auto& entry) { return fails_often(entry.second.new_release); });
}

bool rollouts::fails_for_too_long(evaluation& evidence, bool fails_often, time_point now)
{
    if (!fails_often) {
        evidence.failing_since.reset();
        return false;
    }
    if (!evidence.failing_since && evidence.total.new_release.bad >= many_failures) {
        evidence.failing_since = now;
    }
    return evidence.failing_since && now > *evidence.failing_since + max_failing_time;
}

std::optional<release_id> rollouts::choose(const service_id& service, double random_fraction,
                                           time_point now) const
{
    const auto found = views_.find(service);
    if (found == views_.end()) {
        return std::nullopt;
    }
    const auto& view = found->second;
    const bool leader_is_silent = now > view.leader_heard_at + leader_timeout;
    const bool is_proven = view.share.value() >= static_cast<std::int32_t>(full_share);
    if (view.phase != rollout_phase::running || (leader_is_silent && !is_proven) ||
        random_fraction * full_share >= view.share.value()) {
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
        return entry.second.order_read && !entry.second.final_status_written &&
               entry.second.phase == rollout_phase::running;
    });
}

mesh_wire::rollout_share rollouts::make_share_frame(const rollout_view& view, time_point now)
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
            out.push_back(make_share_frame(view, now));
        }
    }
    return out;
}

void rollouts::sync_policy(const rollout_view& view, time_point now, const limits& allowed)
{
    auto& current = evaluations_[view.order.service];
    const bool is_new = !current.policy || current.order != view.order.row_version;
    if (!is_new && current.policy->status().stage == view.stage &&
        current.policy->status().share == view.share) {
        return;
    }
    const auto spec = make_move_spec(view, allowed);
    if (is_new) {
        current = {};
        current.order = view.order.row_version;
        current.collecting_since = now;
        current.policy = std::make_unique<move_policy>(spec, duration{});
    }
    auto status = current.policy->status();
    status.phase = view.stage > 0 ? move_phase::progressing : move_phase::accepted;
    status.share = view.share;
    status.stage = view.stage;
    status.changed_at = to_wall_time(view.stage > 0 ? now : view.started_at);
    current.policy->set_move(spec, status, to_wall_time(now));
}

rollouts::decisions rollouts::decide(time_point now, const limits& allowed)
{
    decisions out;
    for (auto& [service, view] : views_) {
        if (!view.order_read || view.final_status_written) {
            continue;
        }
        view.leader_heard_at = now;
        if (view.phase == rollout_phase::running) {
            decide_one(view, now, allowed, out);
        }
        request_status_write(view, now, out);
    }
    return out;
}

rollouts::judgement rollouts::judge(const rollout_view& view, time_point now, const limits& allowed)
{
    auto& evidence = evaluations_.at(view.order.service);
    auto decided = evidence.policy->decide(to_wall_time(now));
    const bool often = new_release_fails_often(evidence);
    const bool too_long = fails_for_too_long(evidence, often, now);
    const auto shedding =
        evidence.shedding.add_window(std::exchange(evidence.window, {}), evidence.recent, now);
    const auto fault = check_gross_fault(view);
    const auto revert = [&](const std::string& reason) {
        decided.action = move_action::revert;
        decided.reason = reason;
        return judgement{decided, false};
    };
    if (fault) {
        return revert(*fault);
    }
    if (too_long) {
        return revert(
            "the new release fails often, and the old one has failed as well for too long");
    }
    if (shedding == shed_comparison::verdict::worse) {
        return revert("the new release sheds far more requests than the old one");
    }
    const bool raises_share =
        decided.action == move_action::complete ||
        (decided.action == move_action::set_share && decided.share > view.share);
    if (!raises_share) {
        return {decided, false};
    }
    if (evidence.down_since) {
        return {{}, true};
    }
    if (!allowed.may_raise_share) {
        return {{}, false};
    }
    if (is_suspect(evidence.total.old_release, evidence.total.new_release)) {
        return revert("the new release's failure ratio is too high to raise its share");
    }
    const bool ends_the_old_release = decided.action == move_action::complete;
    if (often || (ends_the_old_release && shedding == shed_comparison::verdict::in_doubt)) {
        // The old release may be in the same trouble: the new one is not shown to be good or bad
        // yet.
        return {{}, true};
    }
    return {decided, false};
}

void rollouts::watch_outage(const rollout_view& view, evaluation& evidence, time_point now,
                            const limits& allowed, decisions& out)
{
    const bool up = allowed.has_backend(view.order.service, view.order.target);
    evidence.has_started = evidence.has_started || up;
    if (!up && evidence.has_started && !evidence.down_since) {
        evidence.down_since = now;
        evidence.policy->add_outage({});
        out.lines.push_back(make_line("rollout.interrupted", view, evidence, now));
    } else if (up && evidence.down_since) {
        evidence.policy->add_outage(
            std::chrono::duration_cast<milliseconds>(now - *evidence.down_since));
        evidence.down_since.reset();
        out.lines.push_back(make_line("rollout.resumed", view, evidence, now));
    }
}

void rollouts::decide_one(rollout_view& view, time_point now, const limits& allowed, decisions& out)
{
    sync_policy(view, now, allowed);
    auto& evidence = evaluations_.at(view.order.service);
    watch_outage(view, evidence, now, allowed, out);
    const auto [decided, held] = judge(view, now, allowed);
    if (held && !evidence.held) {
        out.lines.push_back(make_line("rollout.held", view, evidence, now));
    }
    evidence.held = held;
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
    out.shares.push_back(make_share_frame(view, now));
    auto line = make_line("rollout.decided", view, evidence, now);
    line.fields.push_back({"share_before", std::to_string(before.value())});
    line.fields.push_back({"reason", decided.reason});
    line.fields.push_back({"evidence", decided.evidence});
    out.lines.push_back(std::move(line));
}

log_line rollouts::make_line(const std::string& event, const rollout_view& view,
                             const evaluation& evidence, time_point now)
{
    const auto count = [](double value) {
        return std::to_string(std::lround(value));
    };
    return {log_level::info,
            event,
            "",
            {{"service", view.order.service.value()},
             {"release", view.order.target.value()},
             {"share", std::to_string(view.share.value())},
             {"phase", std::to_string(static_cast<int>(view.phase))},
             {"known_for_ms", std::to_string((now - evidence.collecting_since) / milliseconds(1))},
             {"reports", std::to_string(evidence.received_counts)},
             {"old_calls", count(evidence.total.old_release.total())},
             {"new_calls", count(evidence.total.new_release.total())},
             {"old_failures", count(evidence.total.old_release.bad)},
             {"new_failures", count(evidence.total.new_release.bad)},
             {"old_shed", count(evidence.total.old_release.shed)},
             {"new_shed", count(evidence.total.new_release.shed)}}};
}

void rollouts::request_status_write(rollout_view& view, time_point now, decisions& out)
{
    const bool final_phase = view.phase != rollout_phase::running;
    const bool is_due = final_phase ? !view.final_status_written : !view.running_status_written;
    const bool is_in_store = !is_of_earlier_era(view.order.row_version);
    if (!is_due || !is_in_store || view.status_write_pending || now < view.next_status_write) {
        return;
    }
    view.status_write_pending = true;
    out.writes.push_back(
        {{view.order.service, view.order.target, version_in_store(view.order), view.phase},
         store_position::from_packed(view.status_version).version()});
}

} // namespace camphor::mesh
