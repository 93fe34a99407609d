// The one timer of the calls' part.
#pragma once

#include <camphortally/timer.h>

namespace camphor {

/// Looks through the queues for calls that waited too long.
inline constexpr timer_key queue_timer{module_id::calls, 0, 0};

} // namespace camphor
