// Timers of module_id::membership.
#pragma once

#include <camphortally/timer.h>

namespace camphor {

enum class membership_timer : std::int32_t {
    probe,
    indirect_probe,
    flush_news,
    roster_pull,
    join,
    local_backends,
    roster_row,
};

inline timer_key timer_of(membership_timer kind)
{
    return {module_id::membership, static_cast<std::int32_t>(kind), 0};
}

} // namespace camphor
