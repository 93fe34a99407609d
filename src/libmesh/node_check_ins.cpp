// Check-ins and departures of the local backend server.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Longest time for which the acknowledgement of a departure waits for the store. The backend
/// server accepts an acknowledgement within a second.
constexpr duration max_acknowledgement_delay = 700ms;

} // namespace

duration node::unknown_start_memory() const
{
    return settings_.bounds.drain_timeout + settings_.bounds.grace_period;
}

void node::handle(const backend_checked_in& input)
{
    departures_.forget_old(now_, unknown_start_memory());
    if (input.draining || is_current(input)) {
        accept_check_in(input);
    } else {
        log(log_level::info, "backend.check_in_held", "",
            {{"backend", input.id.value()}, {"sequence", std::to_string(input.sequence)}});
        const bool is_newer =
            !unconfirmed_check_in_ ||
            std::make_pair(input.born, input.sequence) >
                std::make_pair(unconfirmed_check_in_->born, unconfirmed_check_in_->sequence);
        if (is_newer) {
            unconfirmed_check_in_ = input;
        }
    }
    if (input.draining) {
        record_departure({input.id, input.born}, now_);
        acknowledge_when_stored(input.call);
    } else {
        effects_.emplace_back(acknowledge_check_in{input.call});
    }
}

bool node::is_current(const backend_checked_in& input) const
{
    if (departures_known_ ||
        (own_backend_ && own_backend_->id == input.id && own_backend_->born == input.born)) {
        return true;
    }
    // While the store does not answer, a second check-in shows that the backend server is running:
    // single check-ins are delayed, later ones are not sent after a departure.
    return unconfirmed_check_in_ && unconfirmed_check_in_->id == input.id &&
           unconfirmed_check_in_->born == input.born &&
           unconfirmed_check_in_->sequence < input.sequence;
}

void node::handle(const departures_read& input)
{
    for (const auto& start : input.starts) {
        departures_.add(start.id, {start.born, now_});
    }
    departures_known_ = true;
    retire_departed_backend();
    if (const auto held = std::exchange(unconfirmed_check_in_, std::nullopt)) {
        accept_check_in(*held);
    }
}

void node::accept_check_in(const backend_checked_in& input)
{
    if (departures_.covers(input.id, input.born)) {
        if (input.draining) {
            return;
        }
        log(log_level::info, "backend.old_check_in", "",
            {{"backend", input.id.value()},
             {"sequence", std::to_string(input.sequence)},
             {"reason", "it has left"}});
        return;
    }
    if (own_backend_ && std::make_pair(input.born, input.sequence) <=
                            std::make_pair(own_backend_->born, last_check_in_sequence_)) {
        log(log_level::info, "backend.old_check_in", "",
            {{"backend", input.id.value()}, {"sequence", std::to_string(input.sequence)}});
        return;
    }
    const bool is_new_start =
        !own_backend_ || own_backend_->id != input.id || own_backend_->born != input.born;
    last_check_in_sequence_ = input.sequence;
    if (is_new_start && own_backend_) {
        record_backend_end({own_backend_->id, own_backend_->born},
                           "another backend server checked in");
    }
    backend reported;
    reported.id = input.id;
    reported.born = input.born;
    reported.service = input.service;
    reported.release = input.release;
    reported.slots = input.slots;
    reported.cold_until = now_ + input.cold_left;
    if (is_new_start) {
        log(log_level::info, "backend.started", "",
            {{"backend", input.id.value()},
             {"service", input.service.value()},
             {"release", input.release.value()},
             {"slots", std::to_string(input.slots)}});
        queue_.reset_hold_times();
        queue_.set_untracked_running(0, now_);
        failure_ratio_at_answer_ = 0;
        refuse_queued_runs("no_backend");
    } else if (own_backend_->state == backend_state::gone ||
               own_backend_->state == backend_state::draining) {
        // A backend server that is draining or gone does not become ready again without a restart.
        return;
    }
    const bool is_changed = is_new_start || own_backend_->state != backend_state::ready ||
                            own_backend_->slots != reported.slots ||
                            (own_backend_->cold_until > now_) != (reported.cold_until > now_);
    own_backend_ = reported;
    queue_.set_slots(input.slots);
    limit_cold_start();
    if (input.draining) {
        retire_backend(backend_state::draining, "it is draining");
    } else if (is_changed) {
        broadcast_state();
    }
}

void node::handle(const backend_deregistered& input)
{
    const bool is_known = own_backend_ && own_backend_->id == input.id;
    const auto born = input.born.value_or(is_known ? own_backend_->born : unknown_start);
    record_departure({input.id, born}, now_);
    acknowledge_when_stored(input.call);
    // A delayed call of an earlier start does not concern the current one.
    if (is_known && own_backend_->born <= born) {
        retire_backend(backend_state::gone, "it has deregistered");
    }
}

void node::retire_departed_backend()
{
    if (own_backend_ && departures_.covers(own_backend_->id, own_backend_->born)) {
        retire_backend(backend_state::gone, "it left before this process started");
    }
}

void node::record_departure(const backend_start& start, time_point at)
{
    departures_.forget_old(now_, unknown_start_memory());
    if (unconfirmed_check_in_ && unconfirmed_check_in_->id == start.id &&
        unconfirmed_check_in_->born <= start.born) {
        unconfirmed_check_in_.reset();
    }
    if (!departures_.add(start.id, {start.born, at}) || start.born == unknown_start) {
        return;
    }
    effects_.emplace_back(store_departures{++departures_revision_, departures_.stored_starts()});
}

void node::acknowledge_when_stored(check_in_id call)
{
    if (stored_departures_revision_ >= departures_revision_) {
        effects_.emplace_back(acknowledge_check_in{call});
        return;
    }
    pending_acknowledgements_.push_back({call, departures_revision_, now_});
}

void node::handle(const departures_stored& input)
{
    stored_departures_revision_ = std::max(stored_departures_revision_, input.revision);
    while (!pending_acknowledgements_.empty() &&
           pending_acknowledgements_.front().revision <= stored_departures_revision_) {
        effects_.emplace_back(acknowledge_check_in{pending_acknowledgements_.front().call});
        pending_acknowledgements_.pop_front();
    }
}

void node::acknowledge_overdue_departures()
{
    while (!pending_acknowledgements_.empty() &&
           now_ - pending_acknowledgements_.front().received_at >= max_acknowledgement_delay) {
        log(log_level::warning, "backend.departure_not_stored", "",
            {{"waited_ms", format_ms(now_ - pending_acknowledgements_.front().received_at)},
             {"revision", std::to_string(pending_acknowledgements_.front().revision)}});
        effects_.emplace_back(acknowledge_check_in{pending_acknowledgements_.front().call});
        pending_acknowledgements_.pop_front();
    }
}

} // namespace camphor::mesh
