// The life of each call: route, choose, admit, forward, retry or refuse.
#pragma once

#include <camphortally/admission_queue.h>
#include <camphortally/balancer.h>
#include <camphortally/claims.h>
#include <camphortally/effect.h>
#include <camphortally/event_call.h>
#include <camphortally/platform_client.h>
#include <camphortally/retry_budget.h>
#include <camphortally/routing.h>
#include <camphortally/timer.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphor {

struct step_context;
struct attempt_outcome;

class calls {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);
    void on_event(step_context& context, const call_event& event);
    void on_frame(step_context& context, const wire::frame& frame);
    void on_applied(step_context& context);
    /// The key of `call` was claimed, or why not; `answer` is the kept one for a replay.
    void on_claim(step_context& context, const call_id& call, claim_result result,
                  const std::string& answer);
    /// Takes no new calls from now on; `stopped` follows the last one in flight.
    void drain(step_context& context);
    /// Calls that are not finished.
    std::size_t in_flight() const { return calls_.size(); }

private:
    struct refusal {
        std::int32_t status = 0;
        std::string code;
        std::string message;
    };

    /// Where the current attempt went.
    struct attempt_target {
        bool to_node = false;
        instance_key who;
        release_id release;
        time_point started;
        std::string host;
        std::uint16_t port = 0;
    };

    /// Invariant: `may_have_run` is true from the moment on at which some byte of the call may have
    /// reached a backend server; a refusal says "not run" only while it is false.
    struct call_state {
        call_id call;
        std::string caller;
        bool from_node = false;
        /// GET, HEAD or OPTIONS: may run again.
        bool safe = false;
        /// Idempotency key of an unsafe call; empty when it has none.
        std::string key;
        std::uint64_t body_digest = 0;
        /// The target's slot is held while the key is claimed.
        bool claiming = false;
        /// Local backend server in whose queue it waits.
        std::optional<backend_id> queued_at;
        bool has_claim = false;
        /// One call sees one snapshot from start to end.
        route_table_ptr table;
        const service_plan* plan = nullptr;
        route_id route;
        /// Set by the node that forwarded the call.
        std::optional<release_id> fixed_release;
        /// Time that the call may take, from its arrival.
        duration limit{};
        time_point deadline;
        std::int32_t attempt = 0;
        std::optional<attempt_target> target;
        bool may_have_run = false;
        /// The answer is being passed on.
        bool relaying = false;
        std::vector<instance_key> tried;
        std::set<release_id> failed_releases;
        /// What the caller is told when no further attempt can be made.
        std::optional<refusal> last_failure;
    };

    void take(step_context& context, const call_arrived& event);
    void take(step_context& context, const attempt_answered& event);
    void take(step_context& context, const attempt_failed& event);
    void take(step_context& context, const call_finished& event);
    void take(step_context& context, const call_cancelled& event);

    const route_table_ptr& current_table(step_context& context);
    bool comes_from_node(const step_context& context, const call_arrived& event) const;
    std::optional<refusal> place_call(step_context& context, call_state& state,
                                      const call_arrived& event);
    std::optional<refusal> place_routed(call_state& state, const call_arrived& event) const;
    std::optional<refusal> place_forwarded(call_state& state, const call_arrived& event) const;
    call_state* current(const call_id& call, std::int32_t attempt);

    void run(step_context& context, call_state& state);
    bool run_on(step_context& context, call_state& state, const release_id& release);
    bool run_local(step_context& context, call_state& state, const release_id& release);
    bool run_remote(step_context& context, call_state& state, const release_id& release);
    std::vector<release_id> release_order(step_context& context, const call_state& state) const;
    bool enqueue(step_context& context, call_state& state);
    void refuse_overloaded(step_context& context, const call_id& call);
    /// Gives free slots to waiting calls.
    void serve_queues(step_context& context);
    void forward(step_context& context, call_state& state, attempt_target target);
    bool prefers_remote(step_context& context, const call_state& state, const release_id& release);
    void claim(step_context& context, call_state& state);
    void send_attempt(step_context& context, call_state& state);
    /// Gives back what the current attempt holds.
    void close_attempt(step_context& context, call_state& state, instance_outcome outcome);
    void report(step_context& context, const call_state& state, const attempt_target& target,
                bool success, bool overloaded) const;
    bool may_retry(step_context& context, const call_state& state, bool nothing_ran);
    void refuse(step_context& context, call_state& state, const refusal& why);
    void end(step_context& context, const call_id& call);
    void tell_when_stopped(step_context& context);

    std::unordered_map<call_id, call_state> calls_;
    /// Calls in a slot of each local backend server.
    std::map<backend_id, std::int32_t> busy_;
    std::map<backend_id, admission_queue> queues_;
    /// Backend servers with a slot that became free in this step.
    std::set<backend_id> freed_;
    snapshot_ptr table_source_;
    route_table_ptr table_;
    balancer balancer_;
    retry_budget retries_;
    bool draining_ = false;
    bool told_stopped_ = false;
};

} // namespace camphor
