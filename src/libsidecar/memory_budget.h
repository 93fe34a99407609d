// Limits the bytes of request and answer bodies that a node holds for others.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace camphor::sidecar {

/// Capacities of a memory_budget in bytes.
struct budget_capacity {
    /// For bodies longer than small_body_bytes. A single one is admitted whatever its length.
    std::size_t large = 0;
    /// For shorter ones, so that they are admitted when long ones take all room.
    std::size_t small = 0;
};

inline constexpr std::size_t small_body_bytes = 64UL * 1024;
/// Fewer bytes than this are no progress of a transfer that others wait for.
inline constexpr std::size_t min_progress_bytes = 16UL * 1024;

/// Capacities for a process that may use `memory_bytes`; without limit for 0. Requests and answers
/// have budgets of their own, so that requests at work do not keep answers back.
budget_capacity request_capacity_for(std::size_t memory_bytes);
budget_capacity answer_capacity_for(std::size_t memory_bytes);

/// Shared by all connections of a node. Invariant: the shares of each kind do not exceed its
/// capacity, except for a single large one.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
public:
    using clock = std::chrono::steady_clock;

    /// A holder that has made no progress for this long gives way to others.
    static constexpr std::chrono::milliseconds stall_limit{1'000};

    explicit memory_budget(budget_capacity capacity,
                           std::chrono::milliseconds stalled_after = stall_limit)
        : capacity_(capacity), stalled_after_(stalled_after)
    {
    }

    /// Bytes of one holder; given back when it is destroyed.
    class share {
    public:
        /// `give_way` is called when the holder has stalled and others need its bytes; it has to
        /// release the share. None for a holder that cannot give way.
        share(std::shared_ptr<memory_budget> budget, std::function<void()> give_way);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        share(share&&) = delete;
        share& operator=(share&&) = delete;

        /// Holds this many bytes from now on. Returns false, and keeps
        /// the bytes held before, when there is no room, even after stalled holders gave way.
        bool resize(std::size_t bytes);
        /// Bytes were received or sent. A few bytes at a time do not count as progress.
        void note_progress(std::size_t bytes);
        /// From now on the holder cannot give way.
        void keep();
        std::size_t bytes() const { return bytes_; }

    private:
        friend class memory_budget;

        std::shared_ptr<memory_budget> budget_;
        std::function<void()> give_way_;
        std::size_t bytes_ = 0;
        /// Bytes received or sent since progress_at_.
        std::size_t progress_bytes_ = 0;
        clock::time_point progress_at_ = clock::now();
        std::list<share*>::iterator entry_;
    };
    using share_ptr = std::shared_ptr<share>;

    share_ptr open(std::function<void()> give_way = {});
    std::size_t held_bytes() const { return held_.large + held_.small; }
    std::uint64_t refusals() const { return refusals_; }
    std::uint64_t evictions() const { return evictions_; }

private:
    /// Whether `holder` may have `bytes` once others have given back `freed` bytes of that kind.
    bool fits(const share& holder, std::size_t bytes, std::size_t freed = 0) const;
    /// Stalled holders of this kind that can give way, the longest stalled first.
    std::vector<share*> stalled_holders(const share& except, bool large) const;
    /// Lets stalled holders give way, the longest stalled first, until `holder` may have `bytes`.
    bool make_room(const share& holder, std::size_t bytes);
    std::size_t& held_for(std::size_t bytes);

    budget_capacity capacity_;
    std::chrono::milliseconds stalled_after_;
    budget_capacity held_;
    std::list<share*> shares_;
    std::uint64_t refusals_ = 0;
    std::uint64_t evictions_ = 0;
};

} // namespace camphor::sidecar
