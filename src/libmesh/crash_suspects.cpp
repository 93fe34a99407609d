// Quarantine of requests that crash backend servers.
#include "libmesh/crash_suspects.h"

#include <camphortally/balancer.h>

#include <algorithm>

namespace camphor::mesh {

namespace {

std::uint64_t fingerprint_hash(const request_fingerprint& fingerprint)
{
    return stable_hash(fingerprint.caller.value(), fingerprint.content);
}

} // namespace

mesh_wire::crash_report
crash_suspects::record_crash(const backend_incarnation& incarnation,
                             const std::vector<request_fingerprint>& running, time_point now)
{
    mesh_wire::crash_report out;
    rotate_answered_periods(now);
    for (const auto& fingerprint : running) {
        if (fingerprint.content == 0 || was_answered(fingerprint)) {
            continue;
        }
        add_crash(fingerprint, incarnation, {now, false, true});
        out.ends.push_back(to_wire(fingerprint, incarnation, {now, false}, now));
    }
    return out;
}

mesh_wire::crash_report crash_suspects::record_answer(const request_fingerprint& fingerprint,
                                                      time_point now)
{
    mesh_wire::crash_report out;
    rotate_answered_periods(now);
    if (answered_.front().size() < max_answered_per_period) {
        answered_.front().insert(fingerprint_hash(fingerprint));
    }
    const auto content = crashes_by_content_.find(fingerprint.content);
    if (content == crashes_by_content_.end()) {
        return out;
    }
    const auto crashes = content->second.find(fingerprint.caller);
    if (crashes == content->second.end()) {
        return out;
    }
    for (auto& [incarnation, crash] : crashes->second) {
        if (!crash.is_cleared) {
            crash.is_cleared = true;
            out.ends.push_back(to_wire(fingerprint, incarnation, crash, now));
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::record_alive(const backend_incarnation& incarnation,
                                                     time_point now)
{
    mesh_wire::crash_report out;
    for (auto& [content, callers] : crashes_by_content_) {
        for (auto& [caller, crashes] : callers) {
            const auto found = crashes.find(incarnation);
            if (found != crashes.end() && !found->second.is_cleared) {
                found->second.is_cleared = true;
                out.ends.push_back(to_wire({content, caller}, incarnation, found->second, now));
            }
        }
    }
    return out;
}

crash_suspects::merge_result crash_suspects::merge(const mesh_wire::crash_report& report,
                                                   time_point now)
{
    merge_result result;
    rotate_answered_periods(now);
    for (const auto& reported : report.ends) {
        constexpr auto max_age = std::chrono::duration_cast<std::chrono::milliseconds>(retention);
        if (reported.age_ms < 0 || reported.age_ms >= max_age.count() ||
            reported.content_print == 0) {
            continue;
        }
        const request_fingerprint fingerprint{static_cast<std::uint64_t>(reported.content_print),
                                              service_id{reported.caller_service}};
        const backend_incarnation incarnation{backend_id{reported.backend}, reported.born};
        const bool contradicted = !reported.cleared && was_answered(fingerprint);
        const observed_crash crash{now - std::chrono::milliseconds(reported.age_ms),
                                   reported.cleared || contradicted};
        if (contradicted) {
            result.contradicted.ends.push_back(to_wire(fingerprint, incarnation, crash, now));
        }
        if (add_crash(fingerprint, incarnation, crash)) {
            result.cleared.ends.push_back(to_wire(fingerprint, incarnation, crash, now));
        }
    }
    return result;
}

void crash_suspects::expire(time_point now)
{
    for (auto content = crashes_by_content_.begin(); content != crashes_by_content_.end();) {
        for (auto& [caller, crashes] : content->second) {
            std::erase_if(crashes,
                          [&](const auto& entry) { return now - entry.second.at >= retention; });
        }
        std::erase_if(content->second, [](const auto& entry) { return entry.second.empty(); });
        content = content->second.empty() ? crashes_by_content_.erase(content) : std::next(content);
    }
}

bool crash_suspects::add_crash(const request_fingerprint& fingerprint,
                               const backend_incarnation& incarnation, const observed_crash& crash)
{
    auto content = crashes_by_content_.find(fingerprint.content);
    if (content == crashes_by_content_.end()) {
        if (crashes_by_content_.size() >= max_contents) {
            // Evict the content with the fewest crashes, and among these the oldest.
            const auto eviction_rank = [](const auto& entry) {
                suspicion total;
                for (const auto& [caller, crashes] : entry.second) {
                    const auto by_caller = suspicion_of(crashes);
                    total = {total.crashes + by_caller.crashes,
                             std::max(total.last_at, by_caller.last_at)};
                }
                return std::make_pair(total.crashes, total.last_at);
            };
            crashes_by_content_.erase(
                std::min_element(crashes_by_content_.begin(), crashes_by_content_.end(),
                                 [&](const auto& left, const auto& right) {
                                     return eviction_rank(left) < eviction_rank(right);
                                 }));
        }
        content = crashes_by_content_.emplace(fingerprint.content, crashes_by_caller{}).first;
    }
    auto& crashes = content->second[fingerprint.caller];
    const auto known = crashes.find(incarnation);
    if (known != crashes.end()) {
        const bool newly_cleared = crash.is_cleared && !known->second.is_cleared;
        known->second.is_cleared = known->second.is_cleared || crash.is_cleared;
        return newly_cleared && known->second.is_own;
    }
    if (crashes.size() >= max_crashes_per_request) {
        const auto oldest = std::min_element(
            crashes.begin(), crashes.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
        if (oldest->second.at >= crash.at) {
            return false;
        }
        crashes.erase(oldest);
    }
    crashes.emplace(incarnation, crash);
    return false;
}

crash_suspects::suspicion crash_suspects::suspicion_of(const crashes_by_incarnation& crashes)
{
    suspicion out;
    for (const auto& [incarnation, crash] : crashes) {
        if (!crash.is_cleared) {
            ++out.crashes;
        }
        out.last_at = std::max(out.last_at, crash.at);
    }
    return out;
}

crash_suspects::suspicion crash_suspects::suspicion_of(const crashes_by_caller& callers,
                                                       const service_id& caller)
{
    const auto own_crashes = callers.find(caller);
    const auto caller_only =
        own_crashes == callers.end() ? suspicion{} : suspicion_of(own_crashes->second);
    suspicion total;
    for (const auto& [other_caller, crashes] : callers) {
        const auto by_caller = suspicion_of(crashes);
        if (by_caller.crashes < crashes.size()) {
            // A crash under some caller is cleared, so the effect of the content depends on the
            // caller.
            return caller_only;
        }
        total = {total.crashes + by_caller.crashes, std::max(total.last_at, by_caller.last_at)};
    }
    return total;
}

std::optional<duration> crash_suspects::remaining_quarantine(const request_fingerprint& fingerprint,
                                                             time_point now) const
{
    const auto content = crashes_by_content_.find(fingerprint.content);
    if (content == crashes_by_content_.end()) {
        return std::nullopt;
    }
    const auto suspected = suspicion_of(content->second, fingerprint.caller);
    if (suspected.crashes < quarantine_threshold || now - suspected.last_at >= retention) {
        return std::nullopt;
    }
    return suspected.last_at + retention - now;
}

std::size_t crash_suspects::crash_count(const request_fingerprint& fingerprint) const
{
    const auto content = crashes_by_content_.find(fingerprint.content);
    return content == crashes_by_content_.end()
               ? 0
               : suspicion_of(content->second, fingerprint.caller).crashes;
}

bool crash_suspects::is_near_quarantine() const
{
    return std::any_of(
        crashes_by_content_.begin(), crashes_by_content_.end(), [](const auto& content) {
            return std::any_of(content.second.begin(), content.second.end(),
                               [&](const auto& caller) {
                                   return suspicion_of(content.second, caller.first).crashes + 1 ==
                                          quarantine_threshold;
                               });
        });
}

std::vector<request_fingerprint> crash_suspects::quarantined(time_point now) const
{
    std::vector<request_fingerprint> out;
    for (const auto& [content, callers] : crashes_by_content_) {
        for (const auto& [caller, crashes] : callers) {
            const request_fingerprint fingerprint{content, caller};
            if (remaining_quarantine(fingerprint, now)) {
                out.push_back(fingerprint);
            }
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::report(time_point now) const
{
    mesh_wire::crash_report out;
    for (const auto& [content, callers] : crashes_by_content_) {
        for (const auto& [caller, crashes] : callers) {
            for (const auto& [incarnation, crash] : crashes) {
                out.ends.push_back(to_wire({content, caller}, incarnation, crash, now));
            }
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::quarantine_report(time_point now) const
{
    const auto fingerprints = quarantined(now);
    auto result = report(now);
    std::erase_if(result.ends, [&](const mesh_wire::backend_end& crash) {
        return std::none_of(
            fingerprints.begin(), fingerprints.end(), [&](const request_fingerprint& fingerprint) {
                return fingerprint.content == static_cast<std::uint64_t>(crash.content_print);
            });
    });
    return result;
}

mesh_wire::backend_end crash_suspects::to_wire(const request_fingerprint& fingerprint,
                                               const backend_incarnation& incarnation,
                                               const observed_crash& crash, time_point now)
{
    mesh_wire::backend_end out;
    out.__set_content_print(static_cast<std::int64_t>(fingerprint.content));
    out.__set_caller_service(fingerprint.caller.value());
    out.__set_backend(incarnation.id.value());
    out.__set_born(incarnation.born);
    out.__set_cleared(crash.is_cleared);
    out.__set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at).count());
    return out;
}

bool crash_suspects::was_answered(const request_fingerprint& fingerprint) const
{
    return std::any_of(answered_.begin(), answered_.end(), [&](const auto& period) {
        return period.contains(fingerprint_hash(fingerprint));
    });
}

void crash_suspects::rotate_answered_periods(time_point now)
{
    const auto age = now - answered_period_start_;
    if (age < answered_retention) {
        return;
    }
    answered_period_start_ = now;
    std::swap(answered_[0], answered_[1]);
    answered_[0].clear();
    if (age >= 2 * answered_retention) {
        answered_[1].clear();
    }
}

} // namespace camphor::mesh
