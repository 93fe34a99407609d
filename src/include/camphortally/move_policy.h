// Decides how a move goes on: observations in, decisions out. Knows no node, clock or platform.
#pragma once

#include <camphortally/evidence.h>
#include <camphortally/resource.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

enum class move_action : std::uint8_t { hold, set_share, complete, revert, refuse };

struct move_decision {
    move_action action = move_action::hold;
    /// For set_share.
    permille share{0};
    std::int32_t stage = 0;
    std::string reason;
    /// Numbers of both sides, JSON text.
    std::string evidence;
};

/// Judges one move. The holder of its control duty feeds it with every proxy's evidence.
/// Invariants: a share above the unproven one follows only evidence for the new release, or the
/// operator's setting for thin evidence; strong evidence against it ends in `revert` at any stage.
class move_policy {
public:
    /// Time between two calls of decide(); evidence counts in windows of this length.
    static constexpr std::chrono::milliseconds window{200};

    /// `cold_start` is that of the new release's upstream.
    move_policy(move_spec spec, duration cold_start);

    /// The move as it is in force. Called again after every change of it, an edited deadline
    /// included.
    void set_move(const move_spec& spec, const move_status& status, wall_time now);
    void observe(const evidence_key& key, const call_evidence& seen);
    /// A proxy stopped sending to the new release on its own evidence.
    void proxy_stopped(const std::string& reason);
    /// Nothing was learned about the new release for `span`: the clock of the stage stood still.
    /// From then on each stage needs answers of its own, whatever the operator set for thin
    /// evidence, and a move without them is taken back. What was learned before stays.
    void add_outage(std::chrono::milliseconds span);
    /// Closes the window and decides. After a decision other than `hold`, asks the same again until
    /// set_move() shows that it was accepted.
    move_decision decide(wall_time now);

    const move_status& status() const { return status_; }

private:
    struct stage_rule {
        permille share;
        /// Part of the time before the soak.
        double weight = 0;
        /// Calls of the new release since the move began before the stage may end.
        double least_calls = 0;
        /// Largest excess of the failure ratio's upper bound over the tolerated ratio.
        double excess_bound = 0;
    };

    struct judged_slice {
        std::string name;
        traffic_slice slice;
        call_evidence old_window;
        call_evidence new_window;
    };

    struct finding {
        const judged_slice* item;
        symptom kind;
    };

    void build_stages();
    void restore_reference();
    judged_slice& slice(const std::string& name);
    void close_window();
    std::optional<move_decision> check_worse(wall_time now);
    /// New instances may be slow at first: an alarm at the unproven share is passed over when it is
    /// the first, or while the slow part of the calls falls from alarm to alarm.
    bool excuse_slow_start(const judged_slice& item, wall_time now);
    void restart_latency();
    move_decision decide_stage(wall_time now);
    move_decision decide_soak(wall_time now);
    move_decision next_stage(std::int32_t stage, std::string reason);
    move_decision answer_thin(const std::string& why);
    /// What becomes of a move that cannot be judged in time.
    thin_evidence on_thin_evidence() const;
    /// Whether there are too few answers of the new release to leave the stage.
    bool is_thin() const;
    move_decision end(move_action action, std::string reason) const;
    move_decision end(move_action action, std::string reason, const judged_slice& item) const;
    std::string evidence_of(const judged_slice& item) const;
    std::optional<finding> probably_worse() const;
    std::optional<finding> suspicious() const;
    static std::string describe(const finding& found);

    wall_time finish_time() const;
    wall_time soak_start() const;
    wall_time stage_end() const;
    /// After this the rest of the stages no longer fits before the deadline.
    wall_time latest_stage_end() const;
    bool is_full() const;
    const stage_rule& rule() const;

    move_spec spec_;
    move_status status_;
    std::chrono::milliseconds cold_start_;
    /// Time from acceptance to deadline, which scales the margin before the deadline.
    std::chrono::milliseconds span_{0};
    std::vector<stage_rule> stages_;
    /// By name; "all" is the whole traffic, the others a route or a zone.
    std::map<std::string, judged_slice> slices_;
    std::optional<std::string> stopped_reason_;
    /// There was an outage: each stage needs evidence of its own.
    bool interrupted_ = false;
    /// Slow part of the calls at the last excused alarm; 0 when there was none.
    double excused_ratio_ = 0;
    std::optional<wall_time> excused_at_;
};

} // namespace camphor
