// Requests during which backend servers ended.
#include "libmesh/crash_suspects.h"

#include <camphortally/balancer.h>

#include <algorithm>

namespace camphor::mesh {

namespace {

std::uint64_t key_of(const request_print& print)
{
    return stable_hash(print.caller.value(), print.content);
}

} // namespace

mesh_wire::crash_report crash_suspects::note_end(const backend_life& life,
                                                 const std::vector<request_print>& running,
                                                 time_point now)
{
    mesh_wire::crash_report out;
    rotate_answered(now);
    for (const auto& print : running) {
        if (print.content == 0 || was_answered(print)) {
            continue;
        }
        add(print, life, {now, false, true});
        out.ends.push_back(to_wire(print, life, {now, false}, now));
    }
    return out;
}

mesh_wire::crash_report crash_suspects::note_answered(const request_print& print, time_point now)
{
    mesh_wire::crash_report out;
    rotate_answered(now);
    if (answered_.front().size() < most_answered) {
        answered_.front().insert(key_of(print));
    }
    const auto content = seen_.find(print.content);
    if (content == seen_.end()) {
        return out;
    }
    const auto lives = content->second.find(print.caller);
    if (lives == content->second.end()) {
        return out;
    }
    for (auto& [life, end] : lives->second) {
        if (!end.is_cleared) {
            end.is_cleared = true;
            out.ends.push_back(to_wire(print, life, end, now));
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::note_alive(const backend_life& life, time_point now)
{
    mesh_wire::crash_report out;
    for (auto& [content, callers] : seen_) {
        for (auto& [caller, lives] : callers) {
            const auto found = lives.find(life);
            if (found != lives.end() && !found->second.is_cleared) {
                found->second.is_cleared = true;
                out.ends.push_back(to_wire({content, caller}, life, found->second, now));
            }
        }
    }
    return out;
}

crash_suspects::merged crash_suspects::merge(const mesh_wire::crash_report& report, time_point now)
{
    merged out;
    rotate_answered(now);
    for (const auto& item : report.ends) {
        constexpr auto oldest = std::chrono::duration_cast<std::chrono::milliseconds>(memory);
        if (item.age_ms < 0 || item.age_ms >= oldest.count() || item.content_print == 0) {
            continue;
        }
        const request_print print{static_cast<std::uint64_t>(item.content_print),
                                  service_id{item.caller_service}};
        const backend_life life{backend_id{item.backend}, item.born};
        const bool contradicted = !item.cleared && was_answered(print);
        const observed_end end{now - std::chrono::milliseconds(item.age_ms),
                               item.cleared || contradicted};
        if (contradicted) {
            out.contradicted.ends.push_back(to_wire(print, life, end, now));
        }
        if (add(print, life, end)) {
            out.cleared.ends.push_back(to_wire(print, life, end, now));
        }
    }
    return out;
}

void crash_suspects::expire(time_point now)
{
    for (auto content = seen_.begin(); content != seen_.end();) {
        for (auto& [caller, lives] : content->second) {
            std::erase_if(lives, [&](const auto& item) { return now - item.second.at >= memory; });
        }
        std::erase_if(content->second, [](const auto& item) { return item.second.empty(); });
        content = content->second.empty() ? seen_.erase(content) : std::next(content);
    }
}

bool crash_suspects::add(const request_print& print, const backend_life& life,
                         const observed_end& end)
{
    auto content = seen_.find(print.content);
    if (content == seen_.end()) {
        if (seen_.size() >= most_contents) {
            // The one with the fewest ends gives way, the oldest of them.
            const auto weight = [](const auto& item) {
                standing all;
                for (const auto& [caller, lives] : item.second) {
                    const auto part = standing_of(lives);
                    all = {all.ends + part.ends, std::max(all.last, part.last)};
                }
                return std::make_pair(all.ends, all.last);
            };
            seen_.erase(std::min_element(
                seen_.begin(), seen_.end(),
                [&](const auto& left, const auto& right) { return weight(left) < weight(right); }));
        }
        content = seen_.emplace(print.content, ends_by_caller{}).first;
    }
    auto& lives = content->second[print.caller];
    const auto known = lives.find(life);
    if (known != lives.end()) {
        const bool turns = end.is_cleared && !known->second.is_cleared;
        known->second.is_cleared = known->second.is_cleared || end.is_cleared;
        return turns && known->second.is_own;
    }
    if (lives.size() >= most_lives) {
        const auto oldest =
            std::min_element(lives.begin(), lives.end(), [](const auto& left, const auto& right) {
                return left.second.at < right.second.at;
            });
        if (oldest->second.at >= end.at) {
            return false;
        }
        lives.erase(oldest);
    }
    lives.emplace(life, end);
    return false;
}

crash_suspects::standing crash_suspects::standing_of(const ends_by_life& lives)
{
    standing out;
    for (const auto& [life, end] : lives) {
        if (!end.is_cleared) {
            ++out.ends;
        }
        out.last = std::max(out.last, end.at);
    }
    return out;
}

crash_suspects::standing crash_suspects::standing_of(const ends_by_caller& callers,
                                                     const service_id& caller)
{
    const auto own = callers.find(caller);
    const auto alone = own == callers.end() ? standing{} : standing_of(own->second);
    standing all;
    for (const auto& [other, lives] : callers) {
        const auto part = standing_of(lives);
        if (part.ends < lives.size()) {
            // Somebody got an answer: it depends on the caller.
            return alone;
        }
        all = {all.ends + part.ends, std::max(all.last, part.last)};
    }
    return all;
}

std::optional<duration> crash_suspects::quarantined_for(const request_print& print,
                                                        time_point now) const
{
    const auto content = seen_.find(print.content);
    if (content == seen_.end()) {
        return std::nullopt;
    }
    const auto found = standing_of(content->second, print.caller);
    if (found.ends < most_ends || now - found.last >= memory) {
        return std::nullopt;
    }
    return found.last + memory - now;
}

std::size_t crash_suspects::ends(const request_print& print) const
{
    const auto content = seen_.find(print.content);
    return content == seen_.end() ? 0 : standing_of(content->second, print.caller).ends;
}

bool crash_suspects::is_near_quarantine() const
{
    return std::any_of(seen_.begin(), seen_.end(), [](const auto& content) {
        return std::any_of(content.second.begin(), content.second.end(), [&](const auto& caller) {
            return standing_of(content.second, caller.first).ends + 1 == most_ends;
        });
    });
}

std::vector<request_print> crash_suspects::quarantined(time_point now) const
{
    std::vector<request_print> out;
    for (const auto& [content, callers] : seen_) {
        for (const auto& [caller, lives] : callers) {
            const request_print print{content, caller};
            if (quarantined_for(print, now)) {
                out.push_back(print);
            }
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::report(time_point now) const
{
    mesh_wire::crash_report out;
    for (const auto& [content, callers] : seen_) {
        for (const auto& [caller, lives] : callers) {
            for (const auto& [life, end] : lives) {
                out.ends.push_back(to_wire({content, caller}, life, end, now));
            }
        }
    }
    return out;
}

mesh_wire::crash_report crash_suspects::quarantine_report(time_point now) const
{
    const auto kept = quarantined(now);
    auto out = report(now);
    std::erase_if(out.ends, [&](const mesh_wire::backend_end& item) {
        return std::none_of(kept.begin(), kept.end(), [&](const request_print& print) {
            return print.content == static_cast<std::uint64_t>(item.content_print);
        });
    });
    return out;
}

mesh_wire::backend_end crash_suspects::to_wire(const request_print& print, const backend_life& life,
                                               const observed_end& end, time_point now)
{
    mesh_wire::backend_end out;
    out.__set_content_print(static_cast<std::int64_t>(print.content));
    out.__set_caller_service(print.caller.value());
    out.__set_backend(life.id.value());
    out.__set_born(life.born);
    out.__set_cleared(end.is_cleared);
    out.__set_age_ms(std::chrono::duration_cast<std::chrono::milliseconds>(now - end.at).count());
    return out;
}

bool crash_suspects::was_answered(const request_print& print) const
{
    return std::any_of(answered_.begin(), answered_.end(),
                       [&](const auto& part) { return part.contains(key_of(print)); });
}

void crash_suspects::rotate_answered(time_point now)
{
    const auto age = now - answered_since_;
    if (age < answered_memory) {
        return;
    }
    answered_since_ = now;
    std::swap(answered_[0], answered_[1]);
    answered_[0].clear();
    if (age >= 2 * answered_memory) {
        answered_[1].clear();
    }
}

} // namespace camphor::mesh
