// What changes in a settings file mean for a running node.
#include "libmesh/mesh_settings.h"

namespace camphor::mesh {

settings_change compare(const mesh_settings& held, const mesh_settings& wanted)
{
    settings_change out;
    out.bounds = !(held.bounds == wanted.bounds);
    out.store = !(held.store == wanted.store);
    const auto note = [&](const char* name, bool same) {
        if (!same) {
            out.at_restart.emplace_back(name);
        }
    };
    note("node", held.node == wanted.node);
    note("zone", held.zone == wanted.zone);
    note("service", held.service == wanted.service);
    note("app", held.app == wanted.app);
    note("inbound", held.inbound == wanted.inbound);
    note("outbound", held.outbound == wanted.outbound);
    note("ready", held.ready == wanted.ready);
    note("control", held.control == wanted.control);
    note("peers", held.peers == wanted.peers);
    note("metrics", held.metrics == wanted.metrics);
    return out;
}

} // namespace camphor::mesh
