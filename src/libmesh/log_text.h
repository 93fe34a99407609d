// Formats values for log lines.
#pragma once

#include <camphortally/ids.h>

#include <chrono>
#include <string>

namespace camphor::mesh {

/// Returns the duration in whole milliseconds, rounded towards zero.
inline std::string format_ms(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace camphor::mesh
