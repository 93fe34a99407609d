// Lookup of routes and services.
#include "libmesh/mesh_config.h"

#include <algorithm>
#include <tuple>

namespace camphor::mesh {

mesh_config::mesh_config(config_version version, std::vector<route> routes,
                         std::vector<service_settings> services, client_limits limits)
    : version_(version), routes_(std::move(routes)), limits_(limits)
{
    std::sort(routes_.begin(), routes_.end(), [](const route& left, const route& right) {
        return std::make_tuple(std::string_view(left.host), right.prefix.size(),
                               std::string_view(left.prefix)) <
               std::make_tuple(std::string_view(right.host), left.prefix.size(),
                               std::string_view(right.prefix));
    });
    for (auto& item : services) {
        const auto name = item.name;
        services_.emplace(name, std::move(item));
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
        [](const route& item, std::string_view wanted) { return item.host < wanted; });
    const auto last =
        std::find_if(first, routes_.end(), [&](const route& item) { return item.host != host; });
    const auto found = std::find_if(first, last, [&](const route& item) {
        return path.substr(0, item.prefix.size()) == item.prefix;
    });
    return found == last ? nullptr : &*found;
}

} // namespace camphor::mesh
