// Admission at a node, and the accounts by which the lender limits organisations.
#include "libmesh/allowances.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;
using seconds_double = std::chrono::duration<double>;

/// A node without grants may let in the requests of this time at once when its equal part was not
/// used.
constexpr double bucket_seconds = 0.5;
/// An organisation is limited when less than this part of its burst is left, and free again when
/// more than the second part is.
constexpr double limited_below = 0.7;
constexpr double free_above = 0.9;
/// A lender uses the tolerated excess as a whole when one in so many nodes reports to it.
constexpr double tolerance_factor = 3;
/// What a new lender assumes to be left of the burst.
constexpr double initial_part_of_burst = 0.1;
/// Time over which an organisation that exceeded its allowance makes up for it.
constexpr double repayment_seconds = 2;
/// Longest time after which a refused client is told to return.
constexpr double max_wait_seconds = 10;
/// Weight of the newest report in the demand of a node.
constexpr double demand_weight = 0.5;
constexpr duration min_report_interval = 50ms;
/// Assumed span of a node's first report.
constexpr duration first_report_span = 400ms;
/// A node that has not reported for this long has no share any more; its grants have expired.
constexpr duration silent_after = allowance_gate::grant_term;

} // namespace

std::optional<duration> allowance_gate::refuse(const organisation& sender, std::size_t known_nodes,
                                               double random_fraction, time_point now)
{
    auto& usage = usage_[sender.name];
    usage.organisation = sender.name;
    ++usage.asked;
    const auto granted = shares_.find(sender.name);
    const bool expired = now - granted_at_ > grant_term;
    const bool is_free = sender.rate_per_second <= 0 || (!expired && granted == shares_.end());
    double rate = 0;
    bool admit = is_free;
    if (!is_free && expired) {
        rate = sender.rate_per_second / static_cast<double>(known_nodes);
        admit = take_token(sender.name, rate, now);
    } else if (!is_free) {
        rate = granted->second.rate_per_second;
        admit = random_fraction < granted->second.fraction;
    }
    if (admit) {
        ++usage.admitted;
        return std::nullopt;
    }
    const auto wait = seconds_double(1 / std::max(rate, 1 / max_wait_seconds));
    return std::chrono::duration_cast<duration>(wait);
}

bool allowance_gate::take_token(const organisation_id& sender, double rate, time_point now)
{
    const auto [found, created] = buckets_.try_emplace(sender);
    auto& bucket = found->second;
    const double depth = std::max(1.0, rate * bucket_seconds);
    const double refill = created ? 0 : rate * seconds_double(now - bucket.updated_at).count();
    bucket.tokens = std::min(depth, bucket.tokens + refill);
    bucket.updated_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

std::vector<organisation_usage> allowance_gate::take_usage()
{
    std::vector<organisation_usage> result;
    for (auto& [name, usage] : std::exchange(usage_, {})) {
        result.push_back(std::move(usage));
    }
    return result;
}

void allowance_gate::on_grants(const std::vector<organisation_share>& limited, time_point sent_at)
{
    if (sent_at < granted_at_) {
        return;
    }
    granted_at_ = sent_at;
    shares_.clear();
    buckets_.clear();
    for (const auto& share : limited) {
        shares_[share.organisation] = share;
    }
}

double allowance_ledger::account::total_demand() const
{
    return std::accumulate(demand.begin(), demand.end(), 0.0,
                           [](double sum, const auto& entry) { return sum + entry.second; });
}

allowance_ledger::account& allowance_ledger::account_of(const organisation& entry, double reporting,
                                                        time_point now)
{
    auto& result = accounts_[entry.name];
    const double elapsed =
        result.reporting > 0 ? seconds_double(now - result.updated_at).count() : 0;
    const double joined = (reporting - result.reporting) * entry.burst * initial_part_of_burst;
    result.tokens =
        std::min(entry.burst * reporting,
                 result.tokens + joined + entry.rate_per_second * result.reporting * elapsed);
    result.updated_at = now;
    result.reporting = reporting;
    return result;
}

void allowance_ledger::add_demand(const node_id& from, const std::vector<organisation_usage>& usage,
                                  duration since_report)
{
    const double span = seconds_double(std::max(since_report, min_report_interval)).count();
    for (auto& [name, entry] : accounts_) {
        const auto reported =
            std::find_if(usage.begin(), usage.end(), [&sought = name](const auto& part) {
                return part.organisation == sought;
            });
        const double now_asked = reported == usage.end() ? 0 : reported->asked / span;
        if (now_asked > 0 || entry.demand.contains(from)) {
            auto& known = entry.demand[from];
            known += (now_asked - known) * demand_weight;
        }
    }
}

void allowance_ledger::forget_silent_nodes(time_point now)
{
    for (auto report = reports_.begin(); report != reports_.end();) {
        if (now - report->second <= silent_after) {
            ++report;
            continue;
        }
        for (auto& [name, entry] : accounts_) {
            entry.demand.erase(report->first);
        }
        report = reports_.erase(report);
    }
}

organisation_share allowance_ledger::share_of(const account& of, const organisation& entry,
                                              const node_id& node) const
{
    const double debt = std::min(0.0, of.tokens) / repayment_seconds;
    const double rate = std::max(0.0, entry.rate_per_second * of.reporting + debt);
    const double total_demand = of.total_demand();
    const double fraction = total_demand > rate ? rate / total_demand : 1;
    const auto own = of.demand.find(node);
    return {entry.name, fraction, own == of.demand.end() ? 0 : own->second * fraction};
}

std::vector<organisation_share>
allowance_ledger::on_report(const node_id& from, const std::vector<organisation_usage>& usage,
                            const organisation_directory& organisations, std::size_t known_nodes,
                            time_point now)
{
    const auto last = reports_.find(from);
    const auto since_report = last == reports_.end() ? first_report_span : now - last->second;
    forget_silent_nodes(now);
    if (reports_.empty()) {
        accounts_.clear();
    }
    reports_[from] = now;
    const double reporting = static_cast<double>(reports_.size()) /
                             static_cast<double>(std::max(known_nodes, reports_.size()));
    for (const auto& part : usage) {
        const auto* entry = organisations.find(part.organisation);
        if (entry != nullptr && entry->rate_per_second > 0) {
            account_of(*entry, reporting, now).tokens -= part.admitted;
        }
    }
    add_demand(from, usage, since_report);
    std::vector<organisation_share> result;
    for (auto known = accounts_.begin(); known != accounts_.end();) {
        const auto* entry = organisations.find(known->first);
        if (entry == nullptr || entry->rate_per_second <= 0) {
            known = accounts_.erase(known);
            continue;
        }
        auto& state = account_of(*entry, reporting, now);
        const double part = state.limited ? free_above : limited_below;
        const double tolerated = tolerance_ * std::min(1.0, reporting * tolerance_factor);
        const bool limited = state.tokens < part * entry->burst * reporting - tolerated;
        if (limited != state.limited) {
            changes_.push_back({entry->name, limited, state.tokens, state.total_demand()});
        }
        state.limited = limited;
        if (state.limited) {
            result.push_back(share_of(state, *entry, from));
        }
        ++known;
    }
    return result;
}

} // namespace camphor::mesh
