// The reducer: hands each event to the part that it concerns.
#include <camphortally/node.h>

#include <array>
#include <type_traits>

namespace camphor {

namespace {

struct module_handlers {
    void (*on_timer)(step_context&, const timer_key&);
    void (*on_platform)(step_context&, const platform_ticket&, const platform_reply&);
};

template <auto Member>
constexpr module_handlers handlers_of()
{
    return {[](step_context& context, const timer_key& key) {
                (context.node.*Member).on_timer(context, key);
            },
            [](step_context& context, const platform_ticket& ticket, const platform_reply& reply) {
                (context.node.*Member).on_platform(context, ticket, reply);
            }};
}

/// Indexed by module_id.
constexpr std::array<module_handlers, module_count> modules{
    handlers_of<&node_state::spread>(), // config: fetched on behalf of the store
    handlers_of<&node_state::members>(), handlers_of<&node_state::spread>(),
    handlers_of<&node_state::duties>(),  handlers_of<&node_state::calls>(),
    handlers_of<&node_state::claims>(),  handlers_of<&node_state::writer>(),
};

const module_handlers& handlers(module_id owner)
{
    return modules.at(static_cast<std::size_t>(owner));
}

void handle(step_context& context, const node_started& event)
{
    auto& node = context.node;
    node.wall_known = event.wall_now;
    node.wall_known_at = context.now;
    node.life = incarnation{event.wall_now.time_since_epoch().count()};
    node.random.seed(event.seed);
    node.members.start(context);
    node.spread.start(context);
    node.duties.start(context);
    node.calls.start(context);
}

void handle(step_context& context, const clock_synced& event)
{
    context.node.wall_known = event.wall_now;
    context.node.wall_known_at = context.now;
}

void handle(step_context& context, const timer_fired& event)
{
    handlers(event.key.owner).on_timer(context, event.key);
}

void handle(step_context& context, const platform_replied& event)
{
    handlers(event.ticket.owner).on_platform(context, event.ticket, event.reply);
}

void handle(step_context& context, const frame_received& event)
{
    auto& node = context.node;
    const auto& has = event.frame.__isset;
    if (has.ping || has.ping_request || has.ping_ack || has.roster_pull || has.roster_push) {
        node.members.on_frame(context, event.frame);
    } else if (has.evidence_report) {
        node.duties.on_frame(context, event.frame);
    } else if (has.crash_suspect) {
        node.calls.on_frame(context, event.frame);
    } else {
        node.spread.on_frame(context, event.frame);
    }
}

void handle(step_context& context, const stop_requested& /*event*/)
{
    context.node.stopping = true;
    context.node.members.leave(context);
    context.node.calls.drain(context);
}

void handle(step_context& context, const backend_event& event)
{
    context.node.members.on_event(context, event);
}

void handle(step_context& context, const call_event& event)
{
    context.node.calls.on_event(context, event);
}

void handle(step_context& context, const operator_event& event)
{
    context.node.writer.on_event(context, event);
}

} // namespace

effect_list step(node_state& state, const event& happened, time_point now)
{
    effect_list out;
    step_context context{state, now, out};
    std::visit([&](const auto& item) { handle(context, item); }, happened);
    return out;
}

} // namespace camphor
