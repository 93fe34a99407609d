// Known nodes.
#include "libmesh/directory.h"

#include <algorithm>

namespace camphor::mesh {

mesh_wire::backend_report to_wire(const backend& item, time_point now)
{
    mesh_wire::backend_report out;
    out.__set_id(item.id.value());
    out.__set_born(item.born);
    out.__set_service_name(item.service.value());
    out.__set_release(item.release.value());
    out.__set_slots(item.slots);
    out.__set_state(static_cast<std::int32_t>(item.state));
    const auto cold = std::chrono::duration_cast<milliseconds>(item.cold_until - now);
    out.__set_cold_left_ms(static_cast<std::int32_t>(std::max<std::int64_t>(0, cold.count())));
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

bool directory::learn(const mesh_wire::node_record& record)
{
    auto& item = peers_[node_id{record.node}];
    const bool first = item.record.node.empty();
    if (!first && record.boot <= item.record.boot) {
        return false;
    }
    item.record = record;
    item.revision = 0;
    item.failed_dials = 0;
    item.next_dial = {};
    if (!first) {
        item.app.reset();
        item.space = {};
    }
    return true;
}

peer* directory::find(const node_id& node)
{
    const auto found = peers_.find(node);
    return found == peers_.end() ? nullptr : &found->second;
}

} // namespace camphor::mesh
