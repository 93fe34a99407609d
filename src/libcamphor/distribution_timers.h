// Timers and platform requests of module_id::distribution.
#pragma once

#include <camphortally/platform_client.h>
#include <camphortally/timer.h>

namespace camphor {

enum class distribution_timer : std::int32_t {
    poll,
    compare,
    acknowledge,
    zone_report,
    relay_reports,
    compact,
};

enum class distribution_request : std::int32_t {
    head,
    changes,
    snapshot_head,
    snapshot_body,
    compaction_head,
    compaction_object,
    compaction_mark,
    compaction_scan,
    compaction_remove,
};

inline timer_key timer_of(distribution_timer kind)
{
    return {module_id::distribution, static_cast<std::int32_t>(kind), 0};
}

} // namespace camphor
