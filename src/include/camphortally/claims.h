// At most once: claims on idempotency keys in the platform's table, many per transaction.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/platform_client.h>
#include <camphortally/timer.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphor {

struct step_context;

/// What became of a claim.
enum class claim_result : std::uint8_t {
    /// This call, and no other, may run.
    granted,
    /// Another call with the key runs, or ran without a known outcome; it is never run again.
    taken,
    /// The key was used with another body.
    mismatch,
    /// A call with the key ended; its answer was kept.
    replay,
    /// A call with the key ended; its answer was too long to keep.
    finished,
    /// The table cannot be written; nothing ran.
    unavailable,
};

struct claim_request {
    call_id call;
    service_id service;
    std::string key;
    std::uint64_t body_digest = 0;
    /// No claim is granted later than that.
    time_point give_up;
};

/// Rows: `claim/<service>/<key>` with `<token> <digest> <expiry ms> run|done [<answer in hex>]`.
/// Invariants: a row is written only while absent or expired, or by the owner of its token; a key
/// is granted once, and again only after its owner gave it back without having sent a byte.
class claims {
public:
    /// The result comes to calls::on_claim, perhaps before this returns.
    void acquire(step_context& context, const claim_request& request);
    /// The call that holds a claim ended before any byte of it was sent.
    void release(step_context& context, const call_id& call);
    /// The call that holds a claim ended after it may have run. An empty answer is not replayed.
    void finish(step_context& context, const call_id& call, bool answered,
                const std::string& answer);

    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);

private:
    enum class claim_state : std::uint8_t { claiming, running, done, unknown, releasing };

    struct entry {
        std::string token;
        std::uint64_t digest = 0;
        std::int64_t expires_ms = 0;
        claim_state state = claim_state::claiming;
        call_id holder;
        time_point give_up;
        std::string answer;
        /// What the row must hold for the next write; empty for absent.
        std::optional<std::string> expected;
        /// What the transaction in flight writes; empty to delete.
        std::optional<std::string> sent;
        bool in_batch = false;
        /// Some write of the claim may have taken effect, now or later.
        bool uncertain = false;
    };
    using entry_map = std::map<std::string, entry>;

    void answer_known(step_context& context, entry& known, const claim_request& request);
    void enqueue(step_context& context, const std::string& row);
    void flush(step_context& context);
    void retry_later(step_context& context);
    static std::string claim_text(const entry& item);
    static std::optional<std::string> wanted_value(const entry& item);
    void not_written(const std::string& row, bool uncertain);
    void after_batch(step_context& context, const platform_reply& reply);
    void refuse_unwritten(step_context& context, const std::vector<std::string>& rows);
    void after_read(step_context& context, const std::string& row, const platform_reply& reply);
    void written(step_context& context, const std::string& row);
    void lost_condition(step_context& context, const std::string& row);
    void tell(step_context& context, entry& item, claim_result result);
    void fail_expired(step_context& context);
    void forget_old();

    entry_map entries_;
    std::unordered_map<call_id, std::string> holders_;
    /// Rows that wait to be written.
    std::deque<std::string> waiting_;
    std::vector<std::string> batch_;
    bool busy_ = false;
    bool paused_ = false;
    /// The last batch did not reach the platform.
    bool failing_ = false;
    time_point last_batch_{};
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, std::string> reads_;
    std::uint64_t next_token_ = 0;
    /// Ended claims, oldest first.
    std::deque<std::string> ended_;
};

} // namespace camphor
