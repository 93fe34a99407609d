// Accounting of held bodies.
#include "libsidecar/memory_budget.h"

#include <limits>
#include <utility>

namespace camphor::sidecar {

namespace {

/// Parts of the process's memory for bodies. A body may be held twice while it is passed on.
constexpr std::size_t large_part = 4;
constexpr std::size_t small_part = 8;

} // namespace

budget_capacity capacity_for(std::size_t memory_bytes)
{
    if (memory_bytes == 0) {
        constexpr auto unlimited = std::numeric_limits<std::size_t>::max() / 2;
        return {unlimited, unlimited};
    }
    return {memory_bytes / large_part, memory_bytes / small_part};
}

memory_budget::share::share(std::shared_ptr<memory_budget> budget, std::function<void()> give_way)
    : budget_(std::move(budget)), give_way_(std::move(give_way)),
      entry_(budget_->shares_.insert(budget_->shares_.end(), this))
{
}

memory_budget::share::~share()
{
    budget_->held_for(bytes_) -= bytes_;
    budget_->shares_.erase(entry_);
}

bool memory_budget::share::resize(std::size_t bytes)
{
    progress_at_ = clock::now();
    if (!budget_->make_room(*this, bytes)) {
        ++budget_->refusals_;
        return false;
    }
    budget_->held_for(bytes_) -= bytes_;
    bytes_ = bytes;
    budget_->held_for(bytes_) += bytes_;
    return true;
}

void memory_budget::share::note_progress()
{
    progress_at_ = clock::now();
}

void memory_budget::share::keep()
{
    give_way_ = {};
}

memory_budget::share_ptr memory_budget::open(std::function<void()> give_way)
{
    return std::make_shared<share>(shared_from_this(), std::move(give_way));
}

std::size_t& memory_budget::held_for(std::size_t bytes)
{
    return bytes > small_body_bytes ? held_.large : held_.small;
}

bool memory_budget::fits(const share& holder, std::size_t bytes) const
{
    if (bytes <= holder.bytes_) {
        return true;
    }
    const bool was_large = holder.bytes_ > small_body_bytes;
    if (bytes <= small_body_bytes) {
        return held_.small - holder.bytes_ + bytes <= capacity_.small;
    }
    const auto others = held_.large - (was_large ? holder.bytes_ : 0);
    return others == 0 || others + bytes <= capacity_.large;
}

bool memory_budget::make_room(const share& holder, std::size_t bytes)
{
    const auto now = clock::now();
    while (!fits(holder, bytes)) {
        const bool needs_large = bytes > small_body_bytes;
        share* longest = nullptr;
        for (auto* other : shares_) {
            const bool is_same_kind = (other->bytes_ > small_body_bytes) == needs_large;
            if (other != &holder && other->give_way_ && other->bytes_ > 0 && is_same_kind &&
                now - other->progress_at_ >= stalled_after_ &&
                (longest == nullptr || other->progress_at_ < longest->progress_at_)) {
                longest = other;
            }
        }
        if (longest == nullptr) {
            return false;
        }
        ++evictions_;
        // Called once only, even if the holder does not release the share at once.
        std::exchange(longest->give_way_, {})();
    }
    return true;
}

} // namespace camphor::sidecar
