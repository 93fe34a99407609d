// Accounting of held bodies.
#include "libsidecar/memory_budget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace camphor::sidecar {

namespace {

/// Parts of the process's memory.
constexpr std::size_t large_requests_part = 4;
constexpr std::size_t small_requests_part = 8;
constexpr std::size_t large_answers_part = 8;
constexpr std::size_t small_answers_part = 16;

budget_capacity make_capacity(std::size_t memory_bytes, std::size_t large_part,
                              std::size_t small_part)
{
    if (memory_bytes == 0) {
        constexpr auto unlimited = std::numeric_limits<std::size_t>::max() / 2;
        return {unlimited, unlimited};
    }
    return {memory_bytes / large_part, memory_bytes / small_part};
}

} // namespace

budget_capacity request_capacity_for(std::size_t memory_bytes)
{
    return make_capacity(memory_bytes, large_requests_part, small_requests_part);
}

budget_capacity answer_capacity_for(std::size_t memory_bytes)
{
    return make_capacity(memory_bytes, large_answers_part, small_answers_part);
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
    if (!budget_->make_room(*this, bytes)) {
        ++budget_->refusals_;
        return false;
    }
    budget_->held_for(bytes_) -= bytes_;
    bytes_ = bytes;
    budget_->held_for(bytes_) += bytes_;
    return true;
}

void memory_budget::share::note_progress(std::size_t bytes)
{
    progress_bytes_ += bytes;
    if (progress_bytes_ >= min_progress_bytes) {
        progress_bytes_ = 0;
        progress_at_ = clock::now();
    }
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

bool memory_budget::fits(const share& holder, std::size_t bytes, std::size_t freed) const
{
    if (bytes <= holder.bytes_) {
        return true;
    }
    const bool was_large = holder.bytes_ > small_body_bytes;
    if (bytes <= small_body_bytes) {
        return held_.small - holder.bytes_ - freed + bytes <= capacity_.small;
    }
    const auto others = held_.large - (was_large ? holder.bytes_ : 0) - freed;
    return others == 0 || others + bytes <= capacity_.large;
}

std::vector<memory_budget::share*> memory_budget::stalled_holders(const share& except,
                                                                  bool large) const
{
    const auto now = clock::now();
    std::vector<share*> out;
    for (auto* other : shares_) {
        const bool is_same_kind = (other->bytes_ > small_body_bytes) == large;
        if (other != &except && other->give_way_ && other->bytes_ > 0 && is_same_kind &&
            now - other->progress_at_ >= stalled_after_) {
            out.push_back(other);
        }
    }
    std::sort(out.begin(), out.end(), [](const share* left, const share* right) {
        return left->progress_at_ < right->progress_at_;
    });
    return out;
}

bool memory_budget::make_room(const share& holder, std::size_t bytes)
{
    if (fits(holder, bytes)) {
        return true;
    }
    const bool needs_large = bytes > small_body_bytes;
    std::size_t stalled_bytes = 0;
    for (const auto* stalled : stalled_holders(holder, needs_large)) {
        stalled_bytes += stalled->bytes_;
    }
    if (!fits(holder, bytes, stalled_bytes)) {
        return false;
    }
    while (!fits(holder, bytes)) {
        // What one holder's end brings about may change the others.
        const auto stalled = stalled_holders(holder, needs_large);
        if (stalled.empty()) {
            return false;
        }
        ++evictions_;
        // Called once only, even if the holder does not release the share at once.
        std::exchange(stalled.front()->give_way_, {})();
    }
    return true;
}

} // namespace camphor::sidecar
