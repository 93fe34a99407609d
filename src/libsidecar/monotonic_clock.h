// The clock by which the node's decisions are timed.
#pragma once

#include <camphortally/ids.h>

#include <chrono>

namespace camphor::sidecar {

/// Time of the steady clock, which stands still while the machine is suspended.
inline time_point monotonic_now()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace camphor::sidecar
