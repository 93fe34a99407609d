// Rules over node logs, the audit trail and the results reported to operators.
#include "config_check.h"

#include <algorithm>
#include <map>

namespace camphor::load {

namespace {

bool is_final_phase(const std::string& phase)
{
    return phase == "completed" || phase == "reverted" || phase == "refused";
}

std::int64_t highest_version(const std::vector<std::int64_t>& versions)
{
    const auto found = std::max_element(versions.begin(), versions.end());
    return found == versions.end() ? 0 : *found;
}

/// The last lifetime of each node, by node name.
std::map<std::string, const node_lifetime*>
last_lifetimes(const std::vector<node_lifetime>& lifetimes)
{
    std::map<std::string, const node_lifetime*> out;
    for (const auto& lifetime : lifetimes) {
        auto& last = out[lifetime.node];
        if (last == nullptr || lifetime.started_ms >= last->started_ms) {
            last = &lifetime;
        }
    }
    return out;
}

/// The highest version that the node must have applied by the end of this lifetime.
std::int64_t required_version(const node_lifetime& lifetime, const std::vector<audit_entry>& audit,
                              double convergence_limit_ms)
{
    std::int64_t out = 0;
    for (const auto& entry : audit) {
        if (!lifetime.shutdown_ms ||
            entry.accepted_ms + convergence_limit_ms <= *lifetime.shutdown_ms) {
            out = std::max(out, entry.version);
        }
    }
    return out;
}

} // namespace

violation_list check_monotonic(const std::vector<node_lifetime>& lifetimes)
{
    violation_list out;
    for (const auto& lifetime : lifetimes) {
        for (std::size_t i = 1; i < lifetime.applied_versions.size(); ++i) {
            if (lifetime.applied_versions[i] <= lifetime.applied_versions[i - 1]) {
                out.push_back({"version_fell", lifetime.node,
                               std::to_string(lifetime.applied_versions[i]) + " after " +
                                   std::to_string(lifetime.applied_versions[i - 1])});
            }
        }
    }
    return out;
}

violation_list check_in_force(const std::vector<node_lifetime>& lifetimes,
                              const std::vector<audit_entry>& audit,
                              const in_force_criteria& criteria)
{
    violation_list out;
    const auto newest = audit.empty() ? 0 : audit.back().version;
    for (const auto& lifetime : lifetimes) {
        if (highest_version(lifetime.applied_versions) > newest) {
            out.push_back(
                {"never_accepted", lifetime.node,
                 "holds version " + std::to_string(highest_version(lifetime.applied_versions))});
        }
    }
    const auto last = last_lifetimes(lifetimes);
    for (const auto& node : criteria.live_nodes) {
        if (!last.contains(node)) {
            out.push_back({"node_without_log", node, "listed as live, but has no log"});
        }
    }
    for (const auto& [node, lifetime] : last) {
        const bool is_checked = criteria.live_nodes.empty() || criteria.live_nodes.contains(node);
        const auto required = required_version(*lifetime, audit, criteria.convergence_limit_ms);
        if (is_checked && highest_version(lifetime->applied_versions) < required) {
            out.push_back({"not_in_force", node,
                           "holds version " +
                               std::to_string(highest_version(lifetime->applied_versions)) +
                               " of " + std::to_string(required)});
        }
    }
    return out;
}

violation_list check_audit_versions(const std::vector<audit_entry>& audit)
{
    violation_list out;
    std::int64_t last = audit.empty() ? 0 : audit.front().version - 1;
    for (const auto& entry : audit) {
        if (entry.version == last) {
            out.push_back({"audit_duplicate", std::to_string(last), entry.kind + "/" + entry.name});
        } else if (entry.version != last + 1) {
            out.push_back({"audit_gap", std::to_string(last + 1),
                           "next record is " + std::to_string(entry.version)});
        }
        last = entry.version;
    }
    return out;
}

violation_list check_move_outcomes(const std::vector<audit_entry>& audit)
{
    violation_list out;
    std::map<std::string, std::string> outcomes;
    for (const auto& entry : audit) {
        if (entry.kind != "move") {
            continue;
        }
        if (entry.deleted) {
            outcomes.erase(entry.name);
            continue;
        }
        const auto outcome = outcomes.find(entry.name);
        if (outcome != outcomes.end() && entry.phase_after != outcome->second) {
            out.push_back({"second_outcome", entry.name,
                           outcome->second + ", then " + entry.phase_after + " at version " +
                               std::to_string(entry.version)});
        }
        if (is_final_phase(entry.phase_after)) {
            outcomes[entry.name] = entry.phase_after;
        }
    }
    return out;
}

violation_list check_acknowledgements(const std::vector<operation_record>& operations,
                                      const std::vector<audit_entry>& audit)
{
    std::map<std::int64_t, const audit_entry*> entry_by_version;
    std::map<std::string, std::int64_t> version_by_operation;
    for (const auto& entry : audit) {
        entry_by_version[entry.version] = &entry;
        version_by_operation[entry.operation_id] = entry.version;
    }
    violation_list out;
    for (const auto& operation : operations) {
        const auto subject = operation.kind + "/" + operation.name;
        const auto entry = entry_by_version.find(operation.revision);
        // A put that changes nothing returns the current revision, so the audit entry may belong to
        // another operation; only the resource is compared.
        const bool is_recorded = entry != entry_by_version.end() &&
                                 entry->second->name == operation.name &&
                                 (operation.kind.empty() || entry->second->kind == operation.kind);
        const bool is_write = operation.action != operation_action::read;
        if (is_write && operation.result == operation_result::accepted && !is_recorded) {
            out.push_back({"lost_change", subject,
                           "accepted as version " + std::to_string(operation.revision) +
                               ", operation " + operation.operation_id});
        }
        const auto audited = version_by_operation.find(operation.operation_id);
        if (is_write && operation.result == operation_result::not_run &&
            !operation.operation_id.empty() && audited != version_by_operation.end()) {
            out.push_back({"false_not_run_change", subject,
                           "operation " + operation.operation_id + " is version " +
                               std::to_string(audited->second)});
        }
    }
    return out;
}

std::vector<double> convergence_times(const std::vector<node_lifetime>& lifetimes,
                                      const std::vector<audit_entry>& audit)
{
    std::vector<double> out;
    for (const auto& lifetime : lifetimes) {
        for (const auto& entry : audit) {
            const auto first_holding =
                std::find_if(lifetime.applied_versions.begin(), lifetime.applied_versions.end(),
                             [&](auto version) { return version >= entry.version; });
            if (entry.accepted_ms >= lifetime.started_ms &&
                first_holding != lifetime.applied_versions.end()) {
                const auto index =
                    static_cast<std::size_t>(first_holding - lifetime.applied_versions.begin());
                out.push_back(std::max(0.0, lifetime.applied_ms[index] - entry.accepted_ms));
            }
        }
    }
    return out;
}

} // namespace camphor::load
