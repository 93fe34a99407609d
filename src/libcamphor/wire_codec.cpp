// Conversions of member records, changes and snapshots.
#include "wire_codec.h"

#include <camphortally/error.h>

#include <algorithm>
#include <utility>

namespace camphor {

namespace {

member_state member_state_of(std::int32_t value)
{
    const auto last = static_cast<std::int32_t>(member_state::dead);
    return static_cast<member_state>(std::clamp(value, 0, last));
}

backend_state backend_state_of(std::int32_t value)
{
    const auto last = static_cast<std::int32_t>(backend_state::draining);
    return static_cast<backend_state>(std::clamp(value, 0, last));
}

} // namespace

wire::member_record to_wire(const member& item)
{
    wire::member_record out;
    out.node = item.node.value();
    out.zone = item.zone.value();
    out.region = item.region.value();
    out.host = item.peer.host;
    out.peer_port = item.peer.port;
    out.call_port = item.call_port;
    out.incarnation = item.life.value();
    out.revision = item.revision;
    out.state = static_cast<std::int32_t>(item.state);
    for (const auto& view : item.backends) {
        wire::backend_record record;
        record.name = view.backend.value();
        record.service_name = view.service.value();
        record.release = view.release.value();
        record.slots = view.slots;
        record.state = static_cast<std::int32_t>(view.state);
        record.in_flight = view.in_flight;
        out.backends.push_back(std::move(record));
    }
    return out;
}

member from_wire(const wire::member_record& record)
{
    member out;
    out.node = node_id{record.node};
    out.zone = zone_id{record.zone};
    out.region = region_id{record.region};
    out.peer = {record.host, static_cast<std::uint16_t>(record.peer_port)};
    out.call_port = static_cast<std::uint16_t>(record.call_port);
    out.life = incarnation{record.incarnation};
    out.revision = record.revision;
    out.state = member_state_of(record.state);
    for (const auto& item : record.backends) {
        backend_view view;
        view.backend = backend_id{item.name};
        view.service = service_id{item.service_name};
        view.release = release_id{item.release};
        view.slots = item.slots;
        view.state = backend_state_of(item.state);
        view.in_flight = item.in_flight;
        out.backends.push_back(std::move(view));
    }
    return out;
}

wire::change_record to_wire(const change& item)
{
    wire::change_record out;
    out.version = item.version.value();
    out.kind = to_string(item.key.kind);
    out.name = item.key.name;
    out.body = item.item ? to_json(*item.item) : "";
    out.operation_id = item.operation.value();
    out.accepted_at_ms = item.accepted_at.time_since_epoch().count();
    return out;
}

change from_wire(const wire::change_record& record)
{
    const auto kind = parse_resource_kind(record.kind);
    if (!kind) {
        throw invalid_input("/kind", "unknown kind \"" + record.kind + "\"");
    }
    change out;
    out.version = config_version{record.version};
    out.key = {*kind, record.name};
    if (!record.body.empty()) {
        out.item = std::make_shared<const resource>(parse_resource(record.body));
    }
    out.operation = operation_id{record.operation_id};
    out.accepted_at = wall_time{std::chrono::milliseconds(record.accepted_at_ms)};
    return out;
}

wire::config_full_message to_wire(const snapshot& item)
{
    wire::config_full_message out;
    out.version = item.version().value();
    out.digest = to_wire(item.digest());
    out.resources.reserve(item.resources().size());
    for (const auto& [key, held] : item.resources()) {
        out.resources.push_back(to_json(*held));
    }
    return out;
}

snapshot_ptr from_wire(const wire::config_full_message& message)
{
    snapshot::resource_map resources;
    for (const auto& text : message.resources) {
        auto item = std::make_shared<const resource>(parse_resource(text));
        auto key = item->key;
        resources[std::move(key)] = std::move(item);
    }
    auto out =
        std::make_shared<const snapshot>(config_version{message.version}, std::move(resources));
    if (to_wire(out->digest()) != message.digest) {
        throw state_mismatch("digest of full snapshot " + std::to_string(message.version) +
                             " differs");
    }
    return out;
}

} // namespace camphor
