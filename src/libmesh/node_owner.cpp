// The owner's part: every request for the backend server beside this node passes here.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>
#include <array>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Failures are judged over about this many answers.
constexpr double failing_newest_part = 0.1;
constexpr double permille_of_one = 1000;
/// Sent to the backend server less than this before the deadline a request cannot be served.
constexpr auto least_time = 5ms;

/// Statuses by which a client knows that its request has not run. Of a backend server's answers
/// only those with a mark tell so.
bool promises_not_run(std::int32_t status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

void node::offer_run(const run_origin& origin, const mesh_wire::run_request& wanted,
                     request_ptr content)
{
    const run_id id{++last_run_};
    run_state run;
    run.origin = origin;
    run.content = std::move(content);
    run.backend = backend_id{wanted.backend};
    run.way = route_id{wanted.route};
    run.print = {static_cast<std::uint64_t>(wanted.content_print),
                 service_id{wanted.caller_service}};
    run.deadline = now_ + milliseconds(wanted.time_left_ms);
    run.safe = wanted.safe;
    run.offered_at = now_;
    const bool stopping = stopping_ && origin.link;
    const bool usable = own_ && own_->id == run.backend && own_->takes_work();
    slot_request item;
    item.run = id;
    item.route = run.way;
    item.rank = wanted.rank;
    item.deadline = run.deadline;
    item.objective = now_ + milliseconds(wanted.objective_left_ms);
    item.may_wait = wanted.may_wait;
    runs_.emplace(id, std::move(run));
    if (stopping || !usable) {
        ++counters_.owner_refusals;
        finish_run(
            id,
            {mesh_wire::run_outcome::refused, nullptr, stopping ? "stopping" : "no_backend", {}},
            false);
        return;
    }
    const auto decided = queue_.offer(item, now_);
    switch (decided.what) {
    case slot_queue::verdict::run:
        start_run(id);
        return;
    case slot_queue::verdict::wait:
        return;
    case slot_queue::verdict::refuse:
        ++counters_.owner_refusals;
        finish_run(id, {mesh_wire::run_outcome::refused, nullptr, "overload", decided.wait}, false);
        return;
    }
}

void node::start_run(run_id id)
{
    auto& run = runs_.at(id);
    if (run.deadline < now_ + least_time || !own_ || own_->id != run.backend) {
        finish_run(id, {mesh_wire::run_outcome::refused, nullptr, "deadline", {}}, false);
        return;
    }
    if (quarantine_left(run.print)) {
        ++counters_.owner_refusals;
        finish_run(id, {mesh_wire::run_outcome::refused, nullptr, quarantine_reason, {}}, false);
        return;
    }
    run.sent = true;
    run.sent_at = now_;
    run.born = own_->born;
    ++counters_.runs;
    send_to_app order;
    order.run = id;
    order.content = run.content;
    order.caller_service = run.print.caller.value();
    order.expected = run.backend;
    order.time_left = std::chrono::duration_cast<milliseconds>(run.deadline - now_);
    order.unsafe = !run.safe;
    out_.emplace_back(std::move(order));
}

void node::start_waiting()
{
    while (const auto next = queue_.start_next(now_)) {
        start_run(*next);
    }
}

void node::finish_run(run_id id, const run_result& result, bool learned)
{
    const auto found = runs_.find(id);
    const auto run = std::move(found->second);
    runs_.erase(found);
    queue_.finish(id, learned, now_);
    if (!run.origin.link) {
        on_result(run.origin.id, result);
        return;
    }
    mesh_wire::mesh_frame frame;
    frame.answer = answer_frame(run.origin, result, run.way);
    frame.__isset.answer = true;
    send_frame(*run.origin.link, std::move(frame));
}

mesh_wire::owner_load node::load(const route_id& way) const
{
    mesh_wire::owner_load out;
    out.__set_running(queue_.running());
    out.__set_waiting(queue_.waiting());
    out.__set_slots(queue_.slots());
    const auto hold = queue_.hold(way, queue_.mean_hold());
    out.__set_hold_ms(
        static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(hold).count()));
    out.__set_failing_permille(static_cast<std::int32_t>(failing_ * permille_of_one));
    return out;
}

mesh_wire::run_answer node::answer_frame(const run_origin& origin, const run_result& result,
                                         const route_id& way) const
{
    mesh_wire::run_answer out;
    out.__set_call(static_cast<std::int64_t>(origin.id.value()));
    out.__set_outcome(result.outcome);
    out.__set_load(load(way));
    if (!result.reason.empty()) {
        out.__set_reason(result.reason);
    }
    if (result.wait.count() > 0) {
        out.__set_wait_ms(static_cast<std::int32_t>(
            std::chrono::duration_cast<milliseconds>(result.wait).count()));
    }
    if (result.content) {
        out.__set_status(result.content->status);
        out.__set_head(result.content->head);
        out.__set_body(result.content->body);
    }
    return out;
}

void node::note_outcome(bool failed)
{
    failing_ += ((failed ? 1.0 : 0.0) - failing_) * failing_newest_part;
}

void node::take(const app_answered& happened)
{
    const auto found = runs_.find(happened.run);
    if (found == runs_.end()) {
        return;
    }
    const auto status = happened.content->status;
    const bool failed = status >= 500 || happened.not_executed;
    note_outcome(failed);
    note_release(found->second, !failed);
    note_answer(found->second, !failed);
    if (happened.other_instance) {
        retire_backend(backend_state::unreachable, "another instance has its address");
    }
    const bool is_proven = happened.not_executed || happened.other_instance;
    if (!is_proven && !found->second.safe && promises_not_run(status)) {
        // Passed on it would promise what the backend server did not say.
        finish_run(happened.run, {mesh_wire::run_outcome::failed, nullptr, "unproven_refusal", {}},
                   false);
    } else if (is_proven) {
        finish_run(happened.run,
                   {mesh_wire::run_outcome::not_executed,
                    nullptr,
                    happened.other_instance ? "other_instance" : "shed",
                    {}},
                   false);
    } else {
        finish_run(happened.run, {mesh_wire::run_outcome::answered, happened.content, "", {}},
                   !failed);
    }
    if (happened.load) {
        // The report counts the request that it comes with, which has just ended here.
        const int others = happened.load->running + happened.load->waiting - 1;
        // Fewer than were sent: answers of some were lost, and their slots are free.
        queue_.set_foreign(std::max(others - queue_.running(), -queue_.running()));
    }
}

void node::take(const app_failed& happened)
{
    const auto found = runs_.find(happened.run);
    if (found == runs_.end()) {
        return;
    }
    if (happened.refused_connection) {
        retire_backend(backend_state::unreachable, "it accepts no connections");
    }
    note_outcome(true);
    if (happened.kind == app_failure::unsent) {
        finish_run(happened.run, {mesh_wire::run_outcome::refused, nullptr, "unreachable", {}},
                   false);
        return;
    }
    note_release(found->second, false);
    const auto* reason = happened.kind == app_failure::garbled ? "garbled" : "broken";
    log_broken(found->second, reason);
    if (happened.kind == app_failure::broken) {
        note_cut(found->second);
    }
    finish_run(happened.run, {mesh_wire::run_outcome::failed, nullptr, reason, {}}, false);
}

void node::take(const app_gone&)
{
    if (!own_ || own_->state == backend_state::draining || own_->state == backend_state::gone) {
        return;
    }
    retire_backend(backend_state::unreachable, "nothing listens at its address");
    note_end({own_->id, own_->born}, "nothing listens at its address");
}

void node::log_broken(const run_state& run, const std::string& reason)
{
    log(log_level::info, "run.broken", run.content->id,
        {{"backend", run.backend.value()},
         {"reason", reason},
         {"print", text_of(run.print)},
         {"at_work_ms", millis(now_ - run.sent_at)},
         {"others_at_work", std::to_string(queue_.running() - 1)}});
}

void node::note_release(const run_state& run, bool good)
{
    // A cold backend server is slow whatever its release.
    if (own_ && own_->id == run.backend && now_ > own_->cold_until) {
        rollouts_.note_run(own_->service, own_->release, run.way, good, now_ - run.sent_at);
    }
}

void node::refuse_waiting(const std::string& reason)
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
         {"asked_for_ms", millis(now_ - run.offered_at)},
         {"at_work_ms", run.sent ? millis(now_ - run.sent_at) : "none"}});
    if (run.sent) {
        out_.emplace_back(drop_run{found->first});
        // It would have taken longer still. A short one tells nothing: its caller left.
        if (now_ - run.sent_at > queue_.hold(run.way, queue_.mean_hold())) {
            note_release(run, true);
        }
        // A backend server that ends without closing its connections is known by such runs only.
        note_cut(run);
    }
    queue_.finish(found->first, false, now_);
    runs_.erase(found);
}

bool node::has_left(const backend_checked_in& happened)
{
    // It serves for the drain timeout, and its late messages travel for seconds; a later life under
    // the same id comes after that.
    const auto memory = settings_.bounds.drain_timeout + settings_.bounds.grace_period;
    std::erase_if(left_, [&](const auto& entry) { return now_ - entry.second > memory; });
    const bool later_life = own_ && own_->id == happened.id && happened.born > own_->born;
    return left_.contains(happened.id) && !later_life;
}

void node::take(const backend_checked_in& happened)
{
    if (has_left(happened)) {
        log(log_level::info, "backend.old_check_in", "",
            {{"backend", happened.id.value()},
             {"sequence", std::to_string(happened.sequence)},
             {"reason", "it left"}});
        return;
    }
    if (own_ && std::make_pair(happened.born, happened.sequence) <=
                    std::make_pair(own_->born, own_sequence_)) {
        log(log_level::info, "backend.old_check_in", "",
            {{"backend", happened.id.value()}, {"sequence", std::to_string(happened.sequence)}});
        return;
    }
    const bool other = !own_ || own_->id != happened.id || own_->born != happened.born;
    own_sequence_ = happened.sequence;
    if (other && own_) {
        note_end({own_->id, own_->born}, "another one is there");
    }
    backend seen;
    seen.id = happened.id;
    seen.born = happened.born;
    seen.service = happened.service;
    seen.release = happened.release;
    seen.slots = happened.slots;
    seen.cold_until = now_ + happened.cold_left;
    if (other) {
        log(log_level::info, "backend.started", "",
            {{"backend", happened.id.value()},
             {"service", happened.service.value()},
             {"release", happened.release.value()},
             {"slots", std::to_string(happened.slots)}});
        queue_.forget();
        queue_.set_foreign(0);
        failing_ = 0;
        refuse_waiting("no_backend");
    } else if (own_->state == backend_state::gone || own_->state == backend_state::draining) {
        // A backend server that leaves does not come back in the same life.
        return;
    }
    const bool news = other || own_->state != backend_state::ready || own_->slots != seen.slots;
    own_ = seen;
    queue_.set_slots(happened.slots);
    if (happened.draining) {
        retire_backend(backend_state::draining, "it is draining");
    } else if (news) {
        broadcast_state();
    }
}

void node::take(const backend_left& happened)
{
    left_[happened.id] = now_;
    if (own_ && own_->id == happened.id) {
        retire_backend(backend_state::gone, "it left");
    }
}

void node::retire_backend(backend_state state, const std::string& reason)
{
    const bool leaving =
        own_ && (own_->state == backend_state::draining || own_->state == backend_state::gone);
    if (!own_ || own_->state == state || (leaving && state == backend_state::unreachable)) {
        return;
    }
    own_->state = state;
    log(log_level::info, "backend.retired", "",
        {{"backend", own_->id.value()}, {"reason", reason}});
    refuse_waiting("no_backend");
    broadcast_state();
}

} // namespace camphor::mesh
