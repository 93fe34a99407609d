// Between the core's types and the records that peers exchange.
#pragma once

#include <camphortally/roster.h>
#include <camphortally/snapshot.h>
#include <wire_types.h>

#include <cstdint>
#include <vector>

namespace camphor {

wire::member_record to_wire(const member& item);
member from_wire(const wire::member_record& record);

wire::change_record to_wire(const change& item);
/// @throws invalid_input when the resource in it cannot be read
change from_wire(const wire::change_record& record);

wire::config_full_message to_wire(const snapshot& item);
/// @throws invalid_input when some resource cannot be read
/// @throws state_mismatch when the digest does not fit
snapshot_ptr from_wire(const wire::config_full_message& message);

/// Digests are unsigned in the core and signed on the wire.
inline std::int64_t to_wire(std::uint64_t digest)
{
    return static_cast<std::int64_t>(digest);
}

} // namespace camphor
