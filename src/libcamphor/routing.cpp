// Route matching over one snapshot.
#include <camphortally/routing.h>

#include <algorithm>
#include <tuple>

namespace camphor {

namespace {

/// "/desk/crew" gives "desk"; "/" gives "".
std::string first_segment(std::string_view path)
{
    if (path.empty() || path.front() != '/') {
        return {};
    }
    path.remove_prefix(1);
    return std::string(path.substr(0, path.find('/')));
}

bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    const bool whole_segment = path.size() == prefix.size() || prefix.empty() ||
                               prefix.back() == '/' || path[prefix.size()] == '/';
    return whole_segment;
}

bool headers_match(const route_rule& rule, const call_head& head)
{
    return std::all_of(rule.headers.begin(), rule.headers.end(), [&](const auto& wanted) {
        const auto found = head.headers.find(wanted.first);
        return found != head.headers.end() && found->second == wanted.second;
    });
}

bool matches(const route_rule& rule, const call_head& head, std::string_view path)
{
    const bool host_fits = rule.host.empty() || rule.host == head.host;
    return host_fits && has_prefix(path, rule.prefix) && headers_match(rule, head);
}

std::size_t condition_count(const route_rule& rule)
{
    return rule.headers.size() + (rule.host.empty() ? 0 : 1);
}

bool precedes(const route_rule& left, const route_rule& right)
{
    return std::make_tuple(right.prefix.size(), condition_count(right), left.route) <
           std::make_tuple(left.prefix.size(), condition_count(left), right.route);
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

route_table::route_table(const snapshot& view)
{
    add_plans(view);
    add_rules(view);
}

void route_table::add_plans(const snapshot& view)
{
    for (const auto& [key, item] : view.resources()) {
        if (const auto* spec = std::get_if<service_spec>(&item->spec)) {
            const service_id service{key.name};
            auto& plan = plans_[service];
            plan.service = service;
            plan.priority = spec->priority;
            plan.shares = view.shares(service);
        }
    }
    for (const auto& [key, item] : view.resources()) {
        if (const auto* spec = std::get_if<upstream_spec>(&item->spec)) {
            plans_[spec->service].upstreams[spec->release] = *spec;
        }
    }
}

void route_table::add_rules(const snapshot& view)
{
    for (const auto& [key, item] : view.resources()) {
        const auto* spec = std::get_if<route_spec>(&item->spec);
        if (spec == nullptr) {
            continue;
        }
        route_rule rule{route_id{key.name}, spec->host,        spec->path_prefix,  spec->headers,
                        spec->timeout,      spec->require_key, plan(spec->service)};
        if (rule.plan != nullptr) {
            rules_[first_segment(spec->path_prefix)].push_back(std::move(rule));
        }
    }
    for (auto& [segment, list] : rules_) {
        std::sort(list.begin(), list.end(), precedes);
    }
}

const route_rule* route_table::match(const call_head& head) const
{
    const auto path = path_of(head.target);
    for (const auto& segment : {first_segment(path), std::string()}) {
        const auto list = rules_.find(segment);
        if (list == rules_.end()) {
            continue;
        }
        for (const auto& rule : list->second) {
            if (matches(rule, head, path)) {
                return &rule;
            }
        }
    }
    return nullptr;
}

const service_plan* route_table::plan(const service_id& service) const
{
    const auto found = plans_.find(service);
    return found == plans_.end() ? nullptr : &found->second;
}

} // namespace camphor
