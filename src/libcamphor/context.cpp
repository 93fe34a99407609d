// Helpers of one step.
#include <camphortally/context.h>
#include <camphortally/node.h>

#include <random>
#include <utility>

namespace camphor {

wall_time step_context::wall_now() const
{
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - node.wall_known_at);
    return node.wall_known + since;
}

void step_context::send(const peer_address& to, wire::frame frame) const
{
    out.emplace_back(send_frame{to, std::move(frame)});
}

void step_context::call_platform(const platform_ticket& ticket, platform_request request) const
{
    out.emplace_back(platform_call{ticket, std::move(request)});
}

void step_context::start_timer(const timer_key& key, duration delay) const
{
    out.emplace_back(set_timer{key, now + delay});
}

void step_context::log(log_level level, std::string event, std::string detail,
                       std::optional<call_id> call) const
{
    out.emplace_back(log_record{level, std::move(event), std::move(detail), call});
}

duration step_context::jitter(duration low, duration high) const
{
    std::uniform_int_distribution<duration::rep> spread(low.count(), high.count());
    return duration(spread(node.random));
}

} // namespace camphor
