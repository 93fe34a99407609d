// Comparison of the settings in force with a changed settings file.
#include "libmesh/mesh_settings.h"

namespace camphor::mesh {

settings_change compare_settings(const mesh_settings& current, const mesh_settings& updated)
{
    settings_change out;
    out.bounds = !(current.bounds == updated.bounds);
    out.store = !(current.store == updated.store);
    const auto add_if_changed = [&](const char* name, bool is_same) {
        if (!is_same) {
            out.at_restart.emplace_back(name);
        }
    };
    add_if_changed("node", current.node == updated.node);
    add_if_changed("zone", current.zone == updated.zone);
    add_if_changed("service", current.service == updated.service);
    add_if_changed("app", current.app == updated.app);
    add_if_changed("inbound", current.inbound == updated.inbound);
    add_if_changed("outbound", current.outbound == updated.outbound);
    add_if_changed("ready", current.ready == updated.ready);
    add_if_changed("control", current.control == updated.control);
    add_if_changed("peers", current.peers == updated.peers);
    add_if_changed("memory", current.memory_bytes == updated.memory_bytes);
    add_if_changed("descriptors", current.max_descriptors == updated.max_descriptors);
    add_if_changed("metrics", current.metrics == updated.metrics);
    return out;
}

} // namespace camphor::mesh
