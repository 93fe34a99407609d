// Requests under which backend servers end: who suspects them, and how the whole mesh comes to
// know.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Events of one moment may come in any order: an answer clears runs that were cut off longer
/// before.
constexpr auto same_moment = 100ms;
/// A run that was cut off so long before the end of its backend server has nothing to do with it.
/// Longer than a backend server takes to come back.
constexpr auto cut_memory = 10s;
/// Runs that are remembered without an answer; a backend server has some ten slots.
constexpr std::size_t most_cut_runs = 64;
/// A node knows its zone by then, so that one node of each zone reads the store for the others.
constexpr auto crash_sync_pause = 1s;

} // namespace

void node::note_cut(const run_state& run)
{
    const bool leaving =
        own_ && own_->id == run.backend && own_->born == run.born &&
        (own_->state == backend_state::draining || own_->state == backend_state::gone);
    if (leaving || !run.sent) {
        return;
    }
    if (cut_runs_.size() >= most_cut_runs) {
        cut_runs_.erase(cut_runs_.begin());
    }
    const backend_life life{run.backend, run.born};
    cut_runs_.push_back({run.print, life, now_});
    const bool is_current = own_ && own_->id == life.id && own_->born == life.born;
    if ((ended_life_ && ended_life_->life == life) || !is_current) {
        note_end(life, "it had ended before");
    }
}

void node::note_answer(const run_state& run, bool served)
{
    const backend_life life{run.backend, run.born};
    std::erase_if(cut_runs_, [&](const cut_run& item) {
        return item.life == life && now_ - item.at > same_moment;
    });
    if (ended_life_ && ended_life_->life == life && run.sent_at >= ended_life_->at) {
        ended_life_.reset();
        spread_crashes(suspects_.note_alive(life, now_));
    }
    if (served && run.print.content != 0) {
        spread_crashes(suspects_.note_answered(run.print, now_));
    }
}

void node::note_end(const backend_life& life, const std::string& reason)
{
    const bool is_news = !ended_life_ || ended_life_->life != life;
    ended_life_ = life_end{life, now_};
    std::vector<request_print> prints;
    for (const auto& item : cut_runs_) {
        if (item.life == life && now_ - item.at <= cut_memory) {
            prints.push_back(item.print);
        }
    }
    std::erase_if(cut_runs_, [&](const cut_run& item) { return item.life == life; });
    // Runs that are still under way follow as they end: some of them were never connected.
    if (prints.empty()) {
        return;
    }
    counters_.backend_ends += is_news ? 1U : 0U;
    const auto report = suspects_.note_end(life, prints, now_);
    log(log_level::warning, "backend.ended", "",
        {{"backend", life.id.value()},
         {"born", std::to_string(life.born)},
         {"reason", reason},
         {"runs", std::to_string(prints.size())},
         {"suspects", std::to_string(report.ends.size())}});
    spread_crashes(report);
}

void node::spread_crashes(const mesh_wire::crash_report& report)
{
    if (report.ends.empty()) {
        return;
    }
    for (const auto& item : report.ends) {
        const request_print print{static_cast<std::uint64_t>(item.content_print),
                                  service_id{item.caller_service}};
        log(log_level::info, item.cleared ? "suspect.cleared" : "suspect.noted", "",
            {{"print", text_of(print)},
             {"backend", item.backend},
             {"ends", std::to_string(suspects_.ends(print))}});
    }
    mesh_wire::mesh_frame frame;
    frame.__set_crashes(report);
    send_to_all(frame);
    review_quarantine();
}

void node::on_crashes(link_id link, const mesh_wire::crash_report& report)
{
    const auto found = suspects_.merge(report, now_);
    const auto& from = links_.at(link).peer;
    log(log_level::info, "suspects.heard", "",
        {{"peer", from ? from->value() : "unknown"},
         {"ends", std::to_string(report.ends.size())},
         {"answered_here", std::to_string(found.contradicted.ends.size())}});
    if (!found.contradicted.ends.empty()) {
        mesh_wire::mesh_frame frame;
        frame.__set_crashes(found.contradicted);
        send_frame(link, std::move(frame));
    }
    spread_crashes(found.cleared);
    review_quarantine();
}

std::optional<duration> node::quarantine_left(const request_print& print) const
{
    return suspects_.empty() ? std::nullopt : suspects_.quarantined_for(print, now_);
}

void node::review_quarantine()
{
    if (suspects_.empty() && quarantined_.empty()) {
        return;
    }
    suspects_.expire(now_);
    std::set<request_print> held;
    for (const auto& print : suspects_.quarantined(now_)) {
        held.insert(print);
        if (!quarantined_.contains(print)) {
            log(log_level::warning, "request.quarantined", "",
                {{"print", text_of(print)}, {"ends", std::to_string(suspects_.ends(print))}});
        }
    }
    for (const auto& print : quarantined_) {
        if (!held.contains(print)) {
            log(log_level::info, "request.quarantine_ended", "", {{"print", text_of(print)}});
        }
    }
    quarantined_ = std::move(held);
}

bool node::wants_crashes() const
{
    if (!crashes_known_) {
        return true;
    }
    // Another part of the mesh may know of more ends while it is out of reach.
    const bool cut = std::any_of(peers_.all().begin(), peers_.all().end(), [](const auto& entry) {
        return entry.second.lost_at.has_value();
    });
    return cut && suspects_.is_near_quarantine();
}

void node::sync_crashes_with_store()
{
    if (now_ < next_crash_sync_) {
        return;
    }
    const bool first_look = next_crash_sync_ == time_point{};
    next_crash_sync_ = now_ + crash_sync_pause;
    if (first_look) {
        return;
    }
    if (following_ && !crash_read_pending_ && wants_crashes()) {
        crash_read_pending_ = true;
        out_.emplace_back(read_crashes{});
    }
    if (rollout_holder() == settings_.node && !crash_write_pending_ &&
        quarantine_written_ != quarantined_) {
        crash_write_pending_ = true;
        quarantine_written_ = quarantined_;
        out_.emplace_back(write_crashes{suspects_.quarantine_report(now_)});
    }
}

void node::take(const crashes_read& happened)
{
    crash_read_pending_ = false;
    if (!happened.done) {
        return;
    }
    crashes_known_ = true;
    if (happened.report.ends.empty()) {
        return;
    }
    suspects_.merge(happened.report, now_);
    log(log_level::info, "suspects.read", "",
        {{"ends", std::to_string(happened.report.ends.size())}});
    mesh_wire::mesh_frame frame;
    frame.__set_crashes(happened.report);
    send_to_zone(frame);
    review_quarantine();
}

void node::take(const crashes_written& happened)
{
    crash_write_pending_ = false;
    if (!happened.done) {
        quarantine_written_.clear();
    }
}

} // namespace camphor::mesh
