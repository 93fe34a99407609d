// Timers of the control duties.
#pragma once

#include <cstdint>

namespace camphor {

struct control_timer {
    /// Argument: number of the move's duty.
    static constexpr std::int32_t tick = 0;
    static constexpr std::int32_t report = 1;
};

} // namespace camphor
