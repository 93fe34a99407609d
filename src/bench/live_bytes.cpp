// Replaces global operator new and delete to count allocated bytes and allocations.
#include "live_bytes.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> live_byte_count{0};
std::atomic<std::uint64_t> allocation_count{0};

} // namespace

namespace camphor::bench {

std::int64_t live_bytes()
{
    return live_byte_count.load(std::memory_order_relaxed);
}

std::uint64_t allocations()
{
    return allocation_count.load(std::memory_order_relaxed);
}

} // namespace camphor::bench

void* operator new(std::size_t size)
{
    void* block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    live_byte_count.fetch_add(static_cast<std::int64_t>(malloc_usable_size(block)),
                              std::memory_order_relaxed);
    allocation_count.fetch_add(1, std::memory_order_relaxed);
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr) {
        live_byte_count.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(block)),
                                  std::memory_order_relaxed);
        std::free(block);
    }
}

void operator delete(void* block, std::size_t /*size*/) noexcept
{
    operator delete(block);
}
