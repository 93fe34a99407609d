// Runs on the local backend server: admission, queueing and answers. Every request for the local
// backend server passes through here.
#include "libmesh/aging_weight.h"
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <camphortally/balancer.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Weight of the newest answer in the moving average of the failure ratio.
constexpr double failure_ratio_weight = 0.1;
/// Time without answers in which the failure ratio is halved: a backend server that failed gets no
/// requests, which could show that it no longer does.
constexpr duration failure_ratio_half_life = 10s;
/// A lower ratio counts as none, so that a backend server which has recovered is as good as others.
constexpr double min_failure_ratio = 0.02;
constexpr double permille_of_one = 1000;
/// A request with less time left than this is refused: it cannot be served before its deadline.
constexpr auto min_time_left = 5ms;
/// Minimum time between two announcements of free slots, which bounds their cost when slots become
/// free and are taken again at once.
constexpr auto min_announcement_interval = 20ms;
/// Maximum number of nodes to which a change of the free slots is announced, so that the cost does
/// not grow with the zone.
constexpr std::size_t max_announcements = 16;

/// Statuses that tell a client that its request has not run. A backend server's answer with such a
/// status proves this only when it also carries the marker that it did not run the request.
bool implies_not_run(std::int32_t status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

void node::offer_run(const run_origin& origin, const mesh_wire::run_request& run_frame,
                     request_ptr content)
{
    const run_id id{++last_run_};
    run_state run;
    run.origin = origin;
    run.content = std::move(content);
    run.organisation = organisation_id{run_frame.organisation};
    run.backend = backend_id{run_frame.backend};
    run.route_name = route_id{run_frame.route};
    run.fingerprint = {static_cast<std::uint64_t>(run_frame.content_print),
                       service_id{run_frame.caller_service}};
    run.deadline = now_ + milliseconds(run_frame.time_left_ms);
    run.safe = run_frame.safe;
    run.offered_at = now_;
    const bool stopping =
        origin.link && !lends_backend(queue_.hold(run.route_name, queue_.mean_hold()));
    const bool usable = own_backend_ && own_backend_->id == run.backend &&
                        own_backend_->accepts_requests() && !is_evacuated(settings_.zone);
    slot_request slot;
    slot.run = id;
    slot.route = run.route_name;
    slot.rank = run_frame.rank;
    slot.deadline = run.deadline;
    slot.objective = now_ + milliseconds(run_frame.objective_left_ms);
    slot.may_wait = run_frame.may_wait;
    runs_.emplace(id, std::move(run));
    if (stopping || !usable) {
        ++counters_.owner_refusals;
        finish_run(
            id,
            {mesh_wire::run_outcome::refused, nullptr, stopping ? "stopping" : "no_backend", {}},
            false);
        return;
    }
    const auto decided = queue_.offer(slot, now_);
    switch (decided.result) {
    case slot_queue::admission::run:
        start_run(id);
        return;
    case slot_queue::admission::wait:
        return;
    case slot_queue::admission::refuse:
        ++counters_.owner_refusals;
        finish_run(id,
                   {mesh_wire::run_outcome::refused, nullptr, overload_reason, decided.wait,
                    origin.link ? owner_with_free_slot() : std::nullopt},
                   false);
        return;
    }
}

void node::start_run(run_id id)
{
    auto& run = runs_.at(id);
    if (run.deadline < now_ + min_time_left || !own_backend_ || own_backend_->id != run.backend) {
        finish_run(id, {mesh_wire::run_outcome::refused, nullptr, "deadline", {}}, false);
        return;
    }
    if (quarantine_time_left(run.fingerprint)) {
        ++counters_.owner_refusals;
        finish_run(id, {mesh_wire::run_outcome::refused, nullptr, quarantine_reason, {}}, false);
        return;
    }
    run.sent = true;
    run.sent_at = now_;
    run.born = own_backend_->born;
    ++counters_.runs;
    send_to_backend command;
    command.run = id;
    command.content = run.content;
    command.caller_service = run.fingerprint.caller.value();
    command.organisation = run.organisation;
    command.expected = run.backend;
    command.deadline = run.deadline;
    command.unsafe = !run.safe;
    effects_.emplace_back(std::move(command));
}

void node::start_queued_runs()
{
    while (const auto next = queue_.start_next(now_)) {
        start_run(*next);
    }
}

void node::finish_run(run_id id, const run_result& result, bool is_hold_sample)
{
    const auto found = runs_.find(id);
    const auto run = std::move(found->second);
    runs_.erase(found);
    queue_.finish(id, is_hold_sample, now_);
    if (!run.origin.link) {
        on_result(run.origin.id, result);
        return;
    }
    mesh_wire::mesh_frame frame;
    frame.answer = make_run_answer(run.origin, result, run.route_name);
    frame.__isset.answer = true;
    send_frame(*run.origin.link, std::move(frame),
               result.content ? body_ptr(result.content, &result.content->body) : nullptr);
}

mesh_wire::owner_load node::current_load(const route_id& route_name) const
{
    mesh_wire::owner_load load_report;
    load_report.__set_running(queue_.running());
    load_report.__set_waiting(queue_.waiting());
    load_report.__set_slots(queue_.slots());
    const auto hold = queue_.hold(route_name, queue_.mean_hold());
    load_report.__set_hold_ms(
        static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(hold).count()));
    load_report.__set_failing_permille(
        static_cast<std::int32_t>(failure_ratio() * permille_of_one));
    return load_report;
}

bool node::has_free_slot() const
{
    return own_backend_ && own_backend_->accepts_requests() && lends_backend(queue_.mean_hold()) &&
           queue_.has_free_slot(now_);
}

void node::announce_free_slots()
{
    if (has_free_slot() == announced_free_slot_ || now_ < next_slot_announcement_) {
        return;
    }
    announced_free_slot_ = has_free_slot();
    ++counters_.slot_announcements;
    next_slot_announcement_ = now_ + min_announcement_interval;
    std::vector<link_id> links;
    for (const auto& [id, link] : links_) {
        const auto* remote = link.peer ? peers_.find(*link.peer) : nullptr;
        if (!link.dialled && remote != nullptr && in_own_zone(*remote)) {
            links.push_back(id);
        }
    }
    mesh_wire::mesh_frame frame;
    frame.__set_load(current_load(route_id{}));
    // The same nodes each time, so that a node which is told of some changes is told of all.
    const auto first = links.empty() ? 0 : stable_hash(settings_.node.value()) % links.size();
    for (std::size_t i = 0; i < std::min(links.size(), max_announcements); ++i) {
        send_frame(links[(first + i) % links.size()], frame);
    }
}

std::optional<node_id> node::owner_with_free_slot() const
{
    std::optional<node_id> freshest;
    time_point reported_at{};
    for (const auto& [name, remote] : peers_.all()) {
        const bool usable = remote.link && remote.app && !remote.stopping && in_own_zone(remote) &&
                            !is_unresponsive(remote) && remote.app->accepts_requests() &&
                            remote.app->service == own_backend_->service &&
                            remote.app->release == own_backend_->release;
        const int load = remote.load.running + remote.load.waiting + remote.load.sent_since;
        if (usable && load < remote.app->slots && remote.load.reported_at > reported_at) {
            freshest = name;
            reported_at = remote.load.reported_at;
        }
    }
    return freshest;
}

mesh_wire::run_answer node::make_run_answer(const run_origin& origin, const run_result& result,
                                            const route_id& route_name) const
{
    mesh_wire::run_answer frame;
    frame.__set_call(static_cast<std::int64_t>(origin.id.value()));
    frame.__set_outcome(result.outcome);
    frame.__set_load(current_load(route_name));
    if (!result.reason.empty()) {
        frame.__set_reason(result.reason);
    }
    if (result.wait.count() > 0) {
        frame.__set_wait_ms(static_cast<std::int32_t>(
            std::chrono::duration_cast<milliseconds>(result.wait).count()));
    }
    if (result.free_owner) {
        frame.__set_free_owner(result.free_owner->value());
    }
    if (result.content) {
        frame.__set_status(result.content->status);
        frame.__set_head(result.content->head);
    }
    return frame;
}

void node::update_failure_ratio(bool failed)
{
    const auto before = failure_ratio();
    const double weight =
        failed ? failure_ratio_weight
               : weight_of_better_value(failure_ratio_weight, now_ - failure_ratio_updated_at_);
    failure_ratio_at_answer_ = before + ((failed ? 1.0 : 0.0) - before) * weight;
    failure_ratio_updated_at_ = now_;
}

double node::failure_ratio() const
{
    const std::chrono::duration<double> age = now_ - failure_ratio_updated_at_;
    const std::chrono::duration<double> half_life = failure_ratio_half_life;
    const auto ratio = failure_ratio_at_answer_ * std::exp2(-age / half_life);
    return ratio < min_failure_ratio ? 0 : ratio;
}

void node::handle(const backend_answered& input)
{
    const auto found = runs_.find(input.run);
    if (found == runs_.end()) {
        return;
    }
    const auto status = input.content->status;
    const bool failed = status >= 500 || input.not_executed;
    update_failure_ratio(failed);
    const auto failure = input.not_executed ? run_verdict::shed : run_verdict::failed;
    record_release_result(found->second, failed ? failure : run_verdict::good);
    record_run_answer(found->second, !failed);
    if (input.other_instance) {
        retire_backend(backend_state::unreachable, "another instance answers at its address");
    }
    const bool is_proven = input.not_executed || input.other_instance;
    if (!is_proven && !found->second.safe && implies_not_run(status)) {
        // Passing the status on would tell the client "not run", which the backend server did not
        // state.
        finish_run(input.run, {mesh_wire::run_outcome::failed, nullptr, "unproven_refusal", {}},
                   false);
    } else if (is_proven) {
        finish_run(input.run,
                   {mesh_wire::run_outcome::not_executed,
                    nullptr,
                    input.other_instance ? "other_instance" : "shed",
                    {}},
                   false);
    } else {
        finish_run(input.run, {mesh_wire::run_outcome::answered, input.content, "", {}}, !failed);
    }
    if (input.load) {
        // The reported load includes the request of this answer, which has just ended here.
        const int others = input.load->running + input.load->waiting - 1;
        // A negative value means that the backend server runs fewer requests than were sent: some
        // answers were lost, and the slots of those requests are free.
        queue_.set_untracked_running(others - queue_.running(), now_);
    }
}

void node::handle(const backend_request_failed& input)
{
    const auto found = runs_.find(input.run);
    if (found == runs_.end()) {
        return;
    }
    if (input.kind == backend_request_failure::expired) {
        finish_run(input.run, {mesh_wire::run_outcome::refused, nullptr, "deadline", {}}, false);
        return;
    }
    if (input.refused_connection) {
        retire_backend(backend_state::unreachable, "it refuses connections");
    }
    update_failure_ratio(true);
    if (input.kind == backend_request_failure::unsent) {
        finish_run(input.run, {mesh_wire::run_outcome::refused, nullptr, "unreachable", {}}, false);
        return;
    }
    record_release_result(found->second, run_verdict::failed);
    const auto* reason = input.kind == backend_request_failure::garbled ? "garbled" : "broken";
    log_broken_run(found->second, reason);
    if (input.kind == backend_request_failure::broken) {
        record_lost_run(found->second);
    }
    finish_run(input.run, {mesh_wire::run_outcome::failed, nullptr, reason, {}}, false);
}

void node::handle(const backend_not_listening&)
{
    if (!own_backend_ || own_backend_->state == backend_state::draining ||
        own_backend_->state == backend_state::gone) {
        return;
    }
    retire_backend(backend_state::unreachable, "nothing listens at its address");
    record_backend_end({own_backend_->id, own_backend_->born}, "nothing listens at its address");
}

void node::log_broken_run(const run_state& run, const std::string& reason)
{
    log(log_level::info, "run.broken", run.content->id,
        {{"backend", run.backend.value()},
         {"reason", reason},
         {"print", text_of(run.fingerprint)},
         {"at_work_ms", format_ms(now_ - run.sent_at)},
         {"others_at_work", std::to_string(queue_.running() - 1)}});
}

void node::record_release_result(const run_state& run, run_verdict verdict)
{
    // A backend server that is warming up is slow regardless of its release.
    if (own_backend_ && own_backend_->id == run.backend && now_ > own_backend_->cold_until) {
        rollouts_.record_outcome(own_backend_->service, own_backend_->release, run.route_name,
                                 verdict, now_ - run.sent_at);
    }
}

void node::refuse_queued_runs(const std::string& reason)
{
    for (const auto run : queue_.clear_waiting()) {
        finish_run(run, {mesh_wire::run_outcome::refused, nullptr, reason, {}}, false);
    }
}

std::map<run_id, node::run_state>::iterator node::find_run(const run_origin& origin)
{
    return std::find_if(runs_.begin(), runs_.end(),
                        [&](const auto& entry) { return entry.second.origin == origin; });
}

void node::cancel_run(const run_origin& origin)
{
    const auto found = find_run(origin);
    if (found == runs_.end()) {
        return;
    }
    const auto& run = found->second;
    log(log_level::info, "run.cancelled", run.content->id,
        {{"backend", run.backend.value()},
         {"asked_for_ms", format_ms(now_ - run.offered_at)},
         {"at_work_ms", run.sent ? format_ms(now_ - run.sent_at) : "none"}});
    if (run.sent) {
        effects_.emplace_back(abort_run{found->first});
        // The run already exceeded its usual duration, so its latency counts as a sample. A
        // shorter run proves nothing: its caller left.
        if (now_ - run.sent_at > queue_.hold(run.route_name, queue_.mean_hold())) {
            record_release_result(run, run_verdict::good);
        }
        // When a backend server ends without closing its connections, such runs are the only sign.
        record_lost_run(run);
    }
    queue_.finish(found->first, false, now_);
    runs_.erase(found);
}

double node::cold_rate(const service_id& service) const
{
    const auto* found = config_ ? config_->find_service(service) : nullptr;
    return found == nullptr ? 0 : found->cold_per_second;
}

void node::limit_cold_start()
{
    if (own_backend_) {
        queue_.set_cold(own_backend_->cold_until, cold_rate(own_backend_->service));
    }
}

std::size_t node::evacuated_zones() const
{
    return static_cast<std::size_t>(
        std::count_if(evacuations_.begin(), evacuations_.end(),
                      [](const auto& entry) { return entry.second.active; }));
}

bool node::is_evacuated(const zone_id& zone) const
{
    const auto found = evacuations_.find(zone);
    return found != evacuations_.end() && found->second.active;
}

void node::handle(const evacuation_read& input)
{
    auto& known = evacuations_[input.zone];
    if (input.row_version <= known.row_version) {
        return;
    }
    const bool changed = known.active != input.active;
    known = input;
    if (!changed) {
        return;
    }
    log(log_level::info, input.active ? "zone.evacuated" : "zone.taken_back", "",
        {{"of", input.zone.value()}, {"version", std::to_string(input.row_version)}});
    if (input.zone != settings_.zone || !own_backend_) {
        return;
    }
    if (input.active) {
        refuse_queued_runs("evacuated");
        return;
    }
    // It stood idle and may have become cold since its last check-in.
    own_backend_->cold_until = std::max<time_point>(own_backend_->cold_until,
                                                    now_ + settings_.bounds.heartbeat_interval * 2);
    limit_cold_start();
}

void node::retire_backend(backend_state state, const std::string& reason)
{
    const bool leaving = own_backend_ && (own_backend_->state == backend_state::draining ||
                                          own_backend_->state == backend_state::gone);
    if (!own_backend_ || own_backend_->state == state ||
        (leaving && state == backend_state::unreachable)) {
        return;
    }
    own_backend_->state = state;
    log(log_level::info, "backend.retired", "",
        {{"backend", own_backend_->id.value()}, {"reason", reason}});
    refuse_queued_runs("no_backend");
    broadcast_state();
}

} // namespace camphor::mesh
