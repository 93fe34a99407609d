// How values are written in log lines.
#pragma once

#include <camphortally/ids.h>

#include <chrono>
#include <string>

namespace camphor::mesh {

/// Whole milliseconds.
inline std::string millis(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace camphor::mesh
