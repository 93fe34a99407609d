// Requests that may make backend servers crash: local detection, and exchange of the reports with
// the other nodes and the store.
#include "libmesh/log_text.h"
#include "libmesh/node.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Events this close together may arrive in any order: an answer clears only runs that were lost
/// longer ago than this.
constexpr auto reorder_window = 100ms;
/// A run that was lost longer than this before its backend server ended is unrelated to the end.
/// Longer than a backend server takes to restart.
constexpr auto lost_run_memory = 10s;
/// Maximum number of lost runs that are kept; a backend server has about ten slots.
constexpr std::size_t max_lost_runs = 64;
/// Interval between two synchronisations with the store, and the delay before the first: by then a
/// node knows the others of its zone, so that one node of each zone reads the store for the
/// others.
constexpr auto crash_sync_interval = 1s;

} // namespace

void node::record_lost_run(const run_state& run)
{
    const bool is_leaving = own_backend_ && own_backend_->id == run.backend &&
                            own_backend_->born == run.born &&
                            (own_backend_->state == backend_state::draining ||
                             own_backend_->state == backend_state::gone);
    if (is_leaving || !run.sent) {
        return;
    }
    if (lost_runs_.size() >= max_lost_runs) {
        lost_runs_.erase(lost_runs_.begin());
    }
    const backend_incarnation life{run.backend, run.born};
    lost_runs_.push_back({run.fingerprint, life, now_});
    const bool is_current =
        own_backend_ && own_backend_->id == life.id && own_backend_->born == life.born;
    if ((last_backend_end_ && last_backend_end_->life == life) || !is_current) {
        record_backend_end(life, "the backend server had already ended");
    }
}

void node::record_run_answer(const run_state& run, bool served)
{
    const backend_incarnation life{run.backend, run.born};
    std::erase_if(lost_runs_, [&](const lost_run& lost) {
        return lost.life == life && now_ - lost.at > reorder_window;
    });
    if (last_backend_end_ && last_backend_end_->life == life &&
        run.sent_at >= last_backend_end_->at) {
        last_backend_end_.reset();
        broadcast_crash_report(suspects_.record_alive(life, now_));
    }
    if (served && run.fingerprint.content != 0) {
        broadcast_crash_report(suspects_.record_answer(run.fingerprint, now_));
    }
}

void node::record_backend_end(const backend_incarnation& life, const std::string& reason)
{
    const bool is_news = !last_backend_end_ || last_backend_end_->life != life;
    last_backend_end_ = observed_backend_end{life, now_};
    std::vector<request_fingerprint> fingerprints;
    for (const auto& lost : lost_runs_) {
        if (lost.life == life && now_ - lost.at <= lost_run_memory) {
            fingerprints.push_back(lost.fingerprint);
        }
    }
    std::erase_if(lost_runs_, [&](const lost_run& lost) { return lost.life == life; });
    // Runs that are still in progress are recorded as they end; some of them never had a
    // connection.
    if (fingerprints.empty()) {
        return;
    }
    counters_.backend_ends += is_news ? 1U : 0U;
    const auto report = suspects_.record_crash(life, fingerprints, now_);
    log(log_level::warning, "backend.ended", "",
        {{"backend", life.id.value()},
         {"born", std::to_string(life.born)},
         {"reason", reason},
         {"runs", std::to_string(fingerprints.size())},
         {"suspects", std::to_string(report.ends.size())}});
    broadcast_crash_report(report);
}

void node::broadcast_crash_report(const mesh_wire::crash_report& report)
{
    if (report.ends.empty()) {
        return;
    }
    for (const auto& end : report.ends) {
        const request_fingerprint fingerprint{static_cast<std::uint64_t>(end.content_print),
                                              service_id{end.caller_service}};
        log(log_level::info, end.cleared ? "suspect.cleared" : "suspect.noted", "",
            {{"print", text_of(fingerprint)},
             {"backend", end.backend},
             {"ends", std::to_string(suspects_.crash_count(fingerprint))}});
    }
    mesh_wire::mesh_frame frame;
    frame.__set_crashes(report);
    send_to_all(frame);
    update_quarantine();
}

void node::on_crash_report(link_id link, const mesh_wire::crash_report& report)
{
    const auto merged = suspects_.merge(report, now_);
    const auto& from = links_.at(link).peer;
    log(log_level::info, "suspects.heard", "",
        {{"peer", from ? from->value() : "unknown"},
         {"ends", std::to_string(report.ends.size())},
         {"answered_here", std::to_string(merged.contradicted.ends.size())}});
    if (!merged.contradicted.ends.empty()) {
        mesh_wire::mesh_frame frame;
        frame.__set_crashes(merged.contradicted);
        send_frame(link, std::move(frame));
    }
    broadcast_crash_report(merged.cleared);
    update_quarantine();
}

std::optional<duration> node::quarantine_time_left(const request_fingerprint& fingerprint) const
{
    return suspects_.empty() ? std::nullopt : suspects_.remaining_quarantine(fingerprint, now_);
}

void node::update_quarantine()
{
    if (suspects_.empty() && quarantined_.empty()) {
        return;
    }
    suspects_.expire(now_);
    std::set<request_fingerprint> still_quarantined;
    for (const auto& fingerprint : suspects_.quarantined(now_)) {
        still_quarantined.insert(fingerprint);
        if (!quarantined_.contains(fingerprint)) {
            log(log_level::warning, "request.quarantined", "",
                {{"print", text_of(fingerprint)},
                 {"ends", std::to_string(suspects_.crash_count(fingerprint))}});
        }
    }
    for (const auto& fingerprint : quarantined_) {
        if (!still_quarantined.contains(fingerprint)) {
            log(log_level::info, "request.quarantine_ended", "", {{"print", text_of(fingerprint)}});
        }
    }
    quarantined_ = std::move(still_quarantined);
}

bool node::needs_crash_report() const
{
    if (!crash_report_loaded_) {
        return true;
    }
    // An unreachable part of the mesh may know of more crashes.
    const bool is_partitioned =
        std::any_of(peers_.all().begin(), peers_.all().end(),
                    [](const auto& entry) { return entry.second.lost_at.has_value(); });
    return is_partitioned && suspects_.is_near_quarantine();
}

void node::sync_quarantine_with_store()
{
    if (now_ < next_crash_sync_) {
        return;
    }
    const bool first_look = next_crash_sync_ == time_point{};
    next_crash_sync_ = now_ + crash_sync_interval;
    if (first_look) {
        return;
    }
    if (reads_store_ && !crash_read_pending_ && needs_crash_report()) {
        crash_read_pending_ = true;
        effects_.emplace_back(read_crashes{});
    }
    if (rollout_leader() == settings_.node && !crash_write_pending_ &&
        stored_quarantine_ != quarantined_) {
        crash_write_pending_ = true;
        stored_quarantine_ = quarantined_;
        effects_.emplace_back(write_crashes{suspects_.quarantine_report(now_)});
    }
}

void node::handle(const crashes_read& input)
{
    crash_read_pending_ = false;
    if (!input.done) {
        return;
    }
    crash_report_loaded_ = true;
    if (input.report.ends.empty()) {
        return;
    }
    suspects_.merge(input.report, now_);
    log(log_level::info, "suspects.read", "", {{"ends", std::to_string(input.report.ends.size())}});
    mesh_wire::mesh_frame frame;
    frame.__set_crashes(input.report);
    send_to_zone(frame);
    update_quarantine();
}

void node::handle(const crashes_written& input)
{
    crash_write_pending_ = false;
    if (!input.done) {
        stored_quarantine_.clear();
    }
}

} // namespace camphor::mesh
