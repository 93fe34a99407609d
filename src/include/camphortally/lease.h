// A lease on a control duty, kept in the platform's table with a fencing epoch.
#pragma once

#include <camphortally/platform_client.h>

#include <optional>
#include <string>

namespace camphor {

/// Rows: `lease/<name>` holds `<owner>:<renewal>` and is absent when free; `epoch/<name>` holds
/// `<node>:<epoch>` and stays. Both are written together by who takes the lease. Writes of the
/// holder carry the condition fence(), so they fail at the table once another node took over.
/// Invariant: is_held() turns false before any contender, by its own clock, may take the lease,
/// as long as both clocks run at the same rate within the margin.
class lease {
public:
    static constexpr duration length = std::chrono::seconds(3);
    /// Held back by the holder and added by contenders.
    static constexpr duration margin = std::chrono::milliseconds(400);
    static constexpr duration renew_period = std::chrono::milliseconds(800);
    static constexpr duration poll_period = std::chrono::milliseconds(600);
    /// An answer that takes longer counts as lost.
    static constexpr duration answer_patience = std::chrono::seconds(1);

    /// `owner` differs between two lives of a node.
    lease(const std::string& name, std::string node, std::string owner);

    /// The request to make now, if any; its answer goes to on_reply(). `contend` is false for nodes
    /// that leave the lease to others.
    std::optional<platform_request> poll(time_point now, bool contend);
    void on_reply(time_point now, const platform_reply& reply);
    /// Gives the lease back, if held, so that nobody waits for its end.
    std::optional<platform_request> release(time_point now);
    /// A write was fenced: another node holds the lease.
    void lose();

    bool is_held(time_point now) const;
    /// Condition for the holder's writes.
    table_condition fence() const;

private:
    enum class step : std::uint8_t { idle, reading_lease, reading_epoch, writing };

    std::optional<platform_request> start(time_point now, step next);
    table_transact write_of();
    void after_lease_read(time_point now, const platform_reply& reply);
    void after_epoch_read(const platform_reply& reply);
    void after_write(const platform_reply& reply);
    bool may_take(time_point now) const;

    std::string lease_key_;
    std::string epoch_key_;
    std::string node_;
    std::string owner_;
    step step_ = step::idle;
    time_point sent_at_{};
    time_point next_at_{};
    /// Rows as last read or written; empty when absent.
    std::optional<std::string> seen_lease_;
    std::optional<std::string> seen_epoch_;
    time_point seen_since_{};
    bool seen_any_ = false;
    bool epoch_known_ = false;
    std::int64_t renewals_ = 0;
    /// What the write in flight puts.
    std::string wanted_lease_;
    std::string wanted_epoch_;
    /// Send time of the write that `wanted_lease_` belongs to.
    time_point write_sent_at_{};
    /// Held until then by this node's clock; empty when not the holder.
    std::optional<time_point> held_until_;
};

} // namespace camphor
