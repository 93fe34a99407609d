// Event queue, simulated network and in-memory store of the benchmark mesh.
#include "bench_mesh.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <utility>

namespace camphor::bench {

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr duration same_zone_latency = 500us;
constexpr duration same_region_latency = 1ms;
constexpr duration cross_region_latency = 60ms;
constexpr duration platform_latency = 4ms;
/// Size of the length prefix of a frame.
constexpr std::uint64_t length_prefix_bytes = 4;
constexpr std::size_t seeds_per_zone = 1;

using buffer_ptr = std::shared_ptr<apache::thrift::transport::TMemoryBuffer>;
using compact =
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>;

struct frame_kind {
    const char* name;
    bool (*is_set)(const wire::frame&);
};

constexpr std::array<frame_kind, 11> frame_kinds{{
    {"ping",
     [](const wire::frame& f) -> bool {
         return f.__isset.ping;
     }},
    {"ping_request",
     [](const wire::frame& f) -> bool {
         return f.__isset.ping_request;
     }},
    {"ping_ack",
     [](const wire::frame& f) -> bool {
         return f.__isset.ping_ack;
     }},
    {"roster_pull",
     [](const wire::frame& f) -> bool {
         return f.__isset.roster_pull;
     }},
    {"roster_push",
     [](const wire::frame& f) -> bool {
         return f.__isset.roster_push;
     }},
    {"config_delta",
     [](const wire::frame& f) -> bool {
         return f.__isset.config_delta;
     }},
    {"config_pull",
     [](const wire::frame& f) -> bool {
         return f.__isset.config_pull;
     }},
    {"config_full",
     [](const wire::frame& f) -> bool {
         return f.__isset.config_full;
     }},
    {"config_busy",
     [](const wire::frame& f) -> bool {
         return f.__isset.config_busy;
     }},
    {"applied_report",
     [](const wire::frame& f) -> bool {
         return f.__isset.applied_report;
     }},
    {"zone_reports",
     [](const wire::frame& f) -> bool {
         return f.__isset.zone_reports;
     }},
}};

std::string frame_kind_name(const wire::frame& frame)
{
    const auto found = std::find_if(frame_kinds.begin(), frame_kinds.end(),
                                    [&](const frame_kind& kind) { return kind.is_set(frame); });
    return found == frame_kinds.end() ? "other" : found->name;
}

} // namespace

bench_mesh::bench_mesh(const mesh_options& options)
    : options_(options), nodes_(options.nodes), kill_counts_(options.nodes),
      started_at_(options.nodes), costs_(options.nodes), timers_(options.nodes),
      random_(options.seed)
{
    for (std::size_t i = 0; i < options.nodes; ++i) {
        const auto zone = i % options.zones;
        node_settings settings;
        settings.mesh = "bench";
        settings.node = node_id{"node-" + std::to_string(i)};
        settings.zone = zone_id{"zone-" + std::to_string(zone)};
        settings.region = region_id{"region-" + std::to_string(zone % options.regions)};
        settings.host = "10.0." + std::to_string(i / 256) + "." + std::to_string(i % 256);
        settings.peer_port = 7001;
        settings.call_port = 7000;
        node_by_host_[settings.host] = i;
        settings_.push_back(std::move(settings));
    }
    for (auto& settings : settings_) {
        for (std::size_t j = 0; j < std::min(options.nodes, options.zones * seeds_per_zone); ++j) {
            const auto& seed = settings_[j];
            settings.seeds.push_back({seed.node, seed.zone, {seed.host, seed.peer_port}});
        }
    }
}

void bench_mesh::start(std::size_t node)
{
    nodes_[node] = std::make_unique<node_state>(settings_[node]);
    started_at_[node] = now_;
    const auto wall_clock =
        wall_time{std::chrono::hours(1)} +
        std::chrono::duration_cast<std::chrono::milliseconds>(now_ - time_point{});
    post(node, node_started{wall_clock, random_()});
}

void bench_mesh::kill(std::size_t node)
{
    ++kill_counts_[node];
    nodes_[node].reset();
    timers_[node].clear();
}

void bench_mesh::preload(std::size_t node, const snapshot_ptr& config)
{
    effect_list effects;
    step_context context{*nodes_[node], now_, effects};
    nodes_[node]->config.apply_full(context, config);
    apply_effects(node, effects);
}

void bench_mesh::post(std::size_t node, event node_event)
{
    schedule(now_, node, std::move(node_event));
}

void bench_mesh::schedule(time_point due, std::size_t node, event node_event,
                          std::uint64_t timer_generation)
{
    event_queue_.push({due, ++last_sequence_, node, kill_counts_[node],
                       std::make_shared<const event>(std::move(node_event)), timer_generation});
}

void bench_mesh::run(duration span)
{
    const auto end = now_ + span;
    while (!event_queue_.empty() && event_queue_.top().due <= end) {
        const auto scheduled = event_queue_.top();
        event_queue_.pop();
        now_ = scheduled.due;
        if (scheduled.kill_count == kill_counts_[scheduled.node] && nodes_[scheduled.node]) {
            handle(scheduled);
        }
    }
    now_ = end;
}

void bench_mesh::handle(const scheduled_event& scheduled)
{
    if (const auto* fired = std::get_if<timer_fired>(scheduled.node_event.get())) {
        auto& timers = timers_[scheduled.node];
        const auto found = timers.find(fired->key);
        if (found == timers.end() || found->second != scheduled.timer_generation) {
            return;
        }
        timers.erase(found);
    }
    const auto before = steady::now();
    auto effects = step(*nodes_[scheduled.node], *scheduled.node_event, now_);
    costs_[scheduled.node].step_time += steady::now() - before;
    apply_effects(scheduled.node, effects);
}

void bench_mesh::apply_effects(std::size_t node, effect_list& effects)
{
    for (auto& effect : effects) {
        std::visit([&](auto& alternative) { apply_effect(node, alternative); }, effect);
    }
}

duration bench_mesh::latency(std::size_t from, std::size_t to) const
{
    if (settings_[from].zone == settings_[to].zone) {
        return same_zone_latency;
    }
    return settings_[from].region == settings_[to].region ? same_region_latency
                                                          : cross_region_latency;
}

bool bench_mesh::should_drop(wire::frame& frame)
{
    if (options_.push_only) {
        frame.ping.config_version = 0;
        frame.ping_ack.config_version = 0;
        if (frame.__isset.config_pull) {
            return true;
        }
    }
    return std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss_ratio;
}

void bench_mesh::apply_effect(std::size_t node, send_frame& send)
{
    const auto to = node_by_host_.at(send.to.host);
    auto& frame = send.frame;
    frame.mesh = settings_[node].mesh;
    frame.sender = settings_[node].node.value();
    frame.incarnation = nodes_[node]->life.value();
    frame.protocol = 1;
    const auto before = steady::now();
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    compact protocol(buffer);
    frame.write(&protocol);
    const auto encoded = steady::now();
    const auto bytes = buffer->available_read() + length_prefix_bytes;
    auto& sender = costs_[node];
    sender.codec_time += encoded - before;
    sender.bytes_out += bytes;
    ++sender.frames_out;
    bytes_by_kind_[frame_kind_name(frame)] += bytes;
    full_fetches_ += frame.__isset.config_full ? 1 : 0;
    if (!nodes_[to] || should_drop(frame)) {
        return;
    }
    const auto decode_start = steady::now();
    wire::frame received;
    received.read(&protocol);
    auto& receiver = costs_[to];
    receiver.codec_time += steady::now() - decode_start;
    receiver.bytes_in += bytes;
    ++receiver.frames_in;
    if (options_.push_only) {
        received = frame;
    }
    schedule(now_ + latency(node, to), to, frame_received{std::move(received)});
}

void bench_mesh::apply_effect(std::size_t node, platform_call& call)
{
    const bool writes = std::holds_alternative<table_transact>(call.request);
    if (!writes) {
        ++table_reads_;
    }
    platform_reply reply;
    if (writes || !options_.push_only || call.ticket.owner != module_id::distribution) {
        reply = std::visit([this](const auto& request) { return serve(request); }, call.request);
    }
    schedule(now_ + platform_latency, node, platform_replied{call.ticket, std::move(reply)});
}

void bench_mesh::apply_effect(std::size_t node, set_timer& timer)
{
    const auto generation = last_sequence_ + 1;
    timers_[node][timer.key] = generation;
    schedule(timer.due, node, timer_fired{timer.key}, generation);
}

void bench_mesh::apply_effect(std::size_t node, cancel_timer& timer)
{
    timers_[node].erase(timer.key);
}

void bench_mesh::apply_effect(std::size_t node, config_applied& applied)
{
    if (on_config_applied) {
        on_config_applied(node, applied.version.value());
    }
}

platform_reply bench_mesh::serve(const table_read& request)
{
    platform_reply reply;
    reply.status = platform_status::ok;
    if (const auto found = table_.find(request.key); found != table_.end()) {
        reply.rows.push_back({found->first, found->second});
    }
    return reply;
}

platform_reply bench_mesh::serve(const table_scan& request)
{
    platform_reply reply;
    reply.status = platform_status::ok;
    for (auto row = table_.upper_bound(std::max(request.after, request.prefix));
         row != table_.end() && row->first.starts_with(request.prefix) &&
         static_cast<std::int32_t>(reply.rows.size()) < request.limit;
         ++row) {
        reply.rows.push_back({row->first, row->second});
    }
    return reply;
}

platform_reply bench_mesh::serve(const table_transact& request)
{
    platform_reply reply;
    for (const auto& condition : request.conditions) {
        const auto row = table_.find(condition.key);
        const bool holds =
            row == table_.end() ? !condition.expected : condition.expected == row->second;
        if (!holds) {
            reply.failed_keys.push_back(condition.key);
        }
    }
    reply.status = reply.failed_keys.empty() ? platform_status::ok : platform_status::conflict;
    if (reply.status != platform_status::ok) {
        return reply;
    }
    for (const auto& write : request.writes) {
        if (write.value) {
            table_[write.key] = *write.value;
        } else {
            table_.erase(write.key);
        }
    }
    return reply;
}

platform_reply bench_mesh::serve(const object_get& request)
{
    platform_reply reply;
    const auto found = objects_.find(request.name);
    reply.status = found == objects_.end() ? platform_status::not_found : platform_status::ok;
    reply.body = found == objects_.end() ? "" : found->second;
    return reply;
}

platform_reply bench_mesh::serve(const object_put& request)
{
    objects_[request.name] = request.body;
    platform_reply reply;
    reply.status = platform_status::ok;
    return reply;
}

void bench_mesh::reset_costs()
{
    std::fill(costs_.begin(), costs_.end(), node_cost{});
    bytes_by_kind_.clear();
    table_reads_ = 0;
    full_fetches_ = 0;
}

} // namespace camphor::bench
