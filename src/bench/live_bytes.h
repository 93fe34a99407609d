// Heap statistics from replaced global allocation functions. Link live_bytes.cpp to enable them.
#pragma once

#include <cstdint>

namespace camphor::bench {

/// Total usable size in bytes of all allocated heap blocks.
std::int64_t live_bytes();
/// Number of heap allocations since the program started.
std::uint64_t allocations();

} // namespace camphor::bench
