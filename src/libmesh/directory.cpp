// The other nodes of the mesh.
#include "libmesh/directory.h"

#include <algorithm>

namespace camphor::mesh {

mesh_wire::backend_report to_wire(const backend& backend_server, time_point now)
{
    mesh_wire::backend_report out;
    out.__set_id(backend_server.id.value());
    out.__set_born(backend_server.born);
    out.__set_service_name(backend_server.service.value());
    out.__set_release(backend_server.release.value());
    out.__set_slots(backend_server.slots);
    out.__set_state(static_cast<std::int32_t>(backend_server.state));
    const auto cold_left =
        std::chrono::duration_cast<milliseconds>(backend_server.cold_until - now);
    out.__set_cold_left_ms(static_cast<std::int32_t>(std::max<std::int64_t>(0, cold_left.count())));
    return out;
}

backend from_wire(const mesh_wire::backend_report& report, time_point now)
{
    backend out;
    out.id = backend_id{report.id};
    out.born = report.born;
    out.service = service_id{report.service_name};
    out.release = release_id{report.release};
    out.slots = report.slots;
    const bool known =
        report.state >= 0 && report.state <= static_cast<std::int32_t>(backend_state::unreachable);
    out.state = known ? static_cast<backend_state>(report.state) : backend_state::unreachable;
    out.cold_until = now + milliseconds(report.cold_left_ms);
    return out;
}

bool directory::add_or_update(const mesh_wire::node_record& record)
{
    auto& known = peers_[node_id{record.node}];
    const bool is_new = known.record.node.empty();
    if (!is_new && record.boot <= known.record.boot) {
        return false;
    }
    known.record = record;
    known.revision = 0;
    known.failed_dials = 0;
    known.next_dial = {};
    if (!is_new) {
        known.app.reset();
        known.load = {};
    }
    return true;
}

peer* directory::find(const node_id& node)
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

} // namespace camphor::mesh
