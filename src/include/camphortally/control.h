// Control duties: leases, and the moves that their holders carry to an outcome.
#pragma once

#include <camphortally/change_writer.h>
#include <camphortally/effect.h>
#include <camphortally/move_duty.h>
#include <camphortally/platform_client.h>
#include <camphortally/timer.h>

#include <map>

namespace camphor {

struct step_context;

/// Invariant: duties_ has one entry for each move of the applied configuration that is not final.
class control {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);
    void on_frame(step_context& context, const wire::frame& frame);
    void on_applied(step_context& context);
    void on_order_result(step_context& context, const change_order& order, order_result result);

    /// Evidence from this node's own calls.
    void observe(step_context& context, const attempt_outcome& outcome);
    /// True when this node sends nothing to `release` on its own evidence or since the move's
    /// deadline passed; holds until a newer config_version speaks.
    bool is_stopped(const step_context& context, const service_id& service,
                    const release_id& release) const;

private:
    move_duty* find(std::uint64_t number);

    std::map<service_id, move_duty> duties_;
    /// By number; finds the duty of a timer or reply.
    std::map<std::uint64_t, service_id> numbers_;
    std::uint64_t last_number_ = 0;
};

} // namespace camphor
