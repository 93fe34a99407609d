// Lookup of routes and services in a configuration.
#include "libmesh/mesh_config.h"

#include <algorithm>
#include <tuple>

namespace camphor::mesh {

mesh_config::mesh_config(config_version version, std::vector<route> routes,
                         std::vector<service_settings> services, client_limits limits,
                         organisation_directory organisations)
    : version_(version), routes_(std::move(routes)), limits_(limits),
      organisations_(std::move(organisations))
{
    std::sort(routes_.begin(), routes_.end(), [](const route& left, const route& right) {
        return std::make_tuple(std::string_view(left.host), right.prefix.size(),
                               std::string_view(left.prefix)) <
               std::make_tuple(std::string_view(right.host), left.prefix.size(),
                               std::string_view(right.prefix));
    });
    for (auto& service : services) {
        const auto name = service.name;
        services_.emplace(name, std::move(service));
    }
}

const service_settings* mesh_config::find_service(const service_id& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const route* mesh_config::match(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find_first_of("?#"));
    const auto first = std::lower_bound(
        routes_.begin(), routes_.end(), host,
        [](const route& candidate, std::string_view key) { return candidate.host < key; });
    const auto last = std::find_if(first, routes_.end(),
                                   [&](const route& candidate) { return candidate.host != host; });
    const auto found = std::find_if(first, last, [&](const route& candidate) {
        return path.substr(0, candidate.prefix.size()) == candidate.prefix;
    });
    return found == last ? nullptr : &*found;
}

} // namespace camphor::mesh
