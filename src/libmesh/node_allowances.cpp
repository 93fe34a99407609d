// Exchange of what organisations use and of their shares.
#include "libmesh/node.h"

#include <algorithm>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

/// Time between two reports while organisations send requests. Bounds what an organisation can send
/// beyond its allowance before it is limited.
constexpr duration report_interval = 200ms;
/// The same without requests; shorter than the term of the grants.
constexpr duration idle_report_interval = 1s;

bool has_allowances(const organisation_directory& organisations)
{
    const auto& all = organisations.all();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& entry) { return entry.rate_per_second > 0; });
}

} // namespace

node_id node::allowance_lender() const
{
    for (const auto& [name, remote] : peers_.all()) {
        if (!stopping_ && settings_.node < name) {
            break;
        }
        if (remote.link && !remote.stopping && !is_unresponsive(remote)) {
            return name;
        }
    }
    return settings_.node;
}

void node::exchange_allowances()
{
    const auto interval = allowances_.has_usage() ? report_interval : idle_report_interval;
    if (!config_ || now_ < last_allowance_report_ + interval ||
        !has_allowances(config_->organisations())) {
        return;
    }
    last_allowance_report_ = now_;
    const auto usage = allowances_.take_usage();
    const auto lender = allowance_lender();
    if (lender == settings_.node) {
        allowances_.on_grants(lend_allowances(settings_.node, usage), now_);
        return;
    }
    auto* remote = peers_.find(lender);
    remote->unanswered_since = remote->unanswered_since.value_or(now_);
    mesh_wire::allowance_report report;
    report.__set_sent_at_us(now_.time_since_epoch() / 1us);
    for (const auto& part : usage) {
        mesh_wire::organisation_usage entry;
        entry.__set_organisation(part.organisation.value());
        entry.__set_admitted(part.admitted);
        entry.__set_asked(part.asked);
        report.usage.push_back(std::move(entry));
    }
    report.__isset.usage = true;
    mesh_wire::mesh_frame frame;
    frame.__set_usage(report);
    send_frame(*remote->link, std::move(frame));
}

std::vector<organisation_share> node::lend_allowances(const node_id& to,
                                                      const std::vector<organisation_usage>& usage)
{
    allowance_ledger_.set_tolerance(settings_.bounds.allowance_tolerance);
    auto shares = allowance_ledger_.on_report(to, usage, config_->organisations(),
                                              peers_.all().size() + 1, now_);
    for (const auto& change : allowance_ledger_.take_changes()) {
        log(log_level::info, change.limited ? "allowance.limited" : "allowance.freed", "",
            {{"organisation", change.organisation.value()},
             {"left", std::to_string(change.tokens)},
             {"demand_per_s", std::to_string(change.demand)},
             {"config_version", std::to_string(config_->version().value())}});
    }
    return shares;
}

void node::on_allowance_report(link_id link, const mesh_wire::allowance_report& report)
{
    const auto& from = links_.at(link).peer;
    if (!config_ || !from) {
        return;
    }
    std::vector<organisation_usage> usage;
    for (const auto& part : report.usage) {
        usage.push_back({organisation_id{part.organisation}, std::max(0, part.admitted),
                         std::max(0, part.asked)});
    }
    mesh_wire::allowance_grants grants;
    grants.__set_sent_at_us(report.sent_at_us);
    for (const auto& share : lend_allowances(*from, usage)) {
        mesh_wire::organisation_share entry;
        entry.__set_organisation(share.organisation.value());
        entry.__set_rate(share.rate_per_second);
        entry.__set_fraction(share.fraction);
        grants.limited.push_back(std::move(entry));
    }
    grants.__isset.limited = true;
    mesh_wire::mesh_frame frame;
    frame.__set_grants(grants);
    send_frame(link, std::move(frame));
}

void node::on_allowance_grants(const mesh_wire::allowance_grants& grants)
{
    const time_point sent_at{std::chrono::microseconds(grants.sent_at_us)};
    if (sent_at > now_) {
        return;
    }
    std::vector<organisation_share> limited;
    for (const auto& share : grants.limited) {
        limited.push_back({organisation_id{share.organisation},
                           std::clamp(share.fraction, 0.0, 1.0), std::max(0.0, share.rate)});
    }
    allowances_.on_grants(limited, sent_at);
}

} // namespace camphor::mesh
