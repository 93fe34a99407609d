// Microbenchmarks of the core: memory, message bytes and processor time by number of resources,
// mesh members or evidence cells. The argument of each benchmark is that number; the counter
// `bytes` holds memory or message size. capacity.py fits lines through the results.
#include "live_bytes.h"

#include <camphortally/node.h>
#include <libcamphor/wire_codec.h>

#include <benchmark/benchmark.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphor::bench {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using compact = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

/// Each service has a service, an upstream and a route resource.
constexpr std::int64_t resources_per_service = 3;
constexpr std::int64_t length_prefix_bytes = 4;
constexpr std::int64_t nodes_per_zone = 67;

std::vector<std::string> service_documents(std::int64_t index)
{
    const auto name = "service-" + std::to_string(index);
    return {R"({"kind":"service","name":")" + name + R"(","spec":{"release":"r1"}})",
            R"({"kind":"upstream","name":")" + name + R"(-r1","spec":{"service":")" + name +
                R"(","release":"r1","slots":12,"connections":100}})",
            R"({"kind":"route","name":")" + name + R"(","spec":{"path_prefix":"/)" + name +
                R"(","service":")" + name + R"("}})"};
}

resource_ptr make_resource(const std::string& text, std::int64_t revision)
{
    auto parsed = parse_resource(text);
    parsed.revision = config_version{revision};
    return std::make_shared<const resource>(std::move(parsed));
}

snapshot::resource_map make_resources(std::int64_t count)
{
    snapshot::resource_map out;
    for (std::int64_t i = 0; i < count / resources_per_service; ++i) {
        for (const auto& text : service_documents(i)) {
            const auto created = make_resource(text, static_cast<std::int64_t>(out.size()) + 1);
            out[created->key] = created;
        }
    }
    return out;
}

snapshot make_snapshot(std::int64_t count)
{
    return {config_version{count}, make_resources(count)};
}

change next_change(std::int64_t version)
{
    change out;
    out.version = config_version{version};
    out.item = make_resource(service_documents(0).front(), version);
    out.key = out.item->key;
    out.operation = operation_id{"node-1234-1796362052000-17"};
    return out;
}

template <class Message>
std::int64_t encoded_bytes(const Message& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    compact protocol(buffer);
    message.write(&protocol);
    return length_prefix_bytes + buffer->available_read();
}

wire::frame make_frame(const std::string& sender)
{
    wire::frame out;
    out.mesh = "bluebonnet";
    out.sender = sender;
    out.incarnation = 1'796'362'052'000;
    out.protocol = 1;
    return out;
}

wire::frame delta_frame(const change& configuration_change)
{
    auto out = make_frame("node-1234");
    out.config_delta.base = configuration_change.version.value() - 1;
    out.config_delta.version = configuration_change.version.value();
    out.config_delta.digest = -0x123456789ABCDEFLL;
    out.config_delta.changes.push_back(to_wire(configuration_change));
    out.__isset.config_delta = true;
    return out;
}

member make_member(std::int64_t index)
{
    member out;
    out.node = node_id{"node-" + std::to_string(index)};
    out.zone = zone_id{"zone-" + std::to_string(index / nodes_per_zone)};
    out.region = region_id{"region-" + std::to_string(index / nodes_per_zone / 4)};
    out.peer = {"10.0.12." + std::to_string(index % 250), 7001};
    out.call_port = 7000;
    out.life = incarnation{1'796'362'052'000 + index};
    out.revision = 3;
    backend_view backend;
    backend.backend = backend_id{"backend-" + std::to_string(index)};
    backend.service = service_id{"service-" + std::to_string(index % 280)};
    backend.release = release_id{"r1"};
    backend.slots = 12;
    out.backends.push_back(backend);
    return out;
}

/// A started node that knows no other member of its mesh.
std::unique_ptr<node_state> make_node()
{
    node_settings settings;
    settings.mesh = "bluebonnet";
    settings.node = node_id{"node-0"};
    settings.zone = zone_id{"zone-0"};
    settings.region = region_id{"region-0"};
    settings.host = "10.0.12.0";
    settings.peer_port = 7001;
    settings.call_port = 7000;
    auto out = std::make_unique<node_state>(settings);
    step(*out, node_started{wall_time{std::chrono::hours(1)}, 1}, time_point{});
    return out;
}

wire::frame roster_frame(std::int64_t members)
{
    auto out = make_frame("node-1");
    for (std::int64_t i = 1; i < members; ++i) {
        out.roster_push.members.push_back(to_wire(make_member(i)));
    }
    out.__isset.roster_push = true;
    return out;
}

void set_bytes_counter(benchmark::State& state, std::int64_t bytes)
{
    state.counters["bytes"] = static_cast<double>(bytes);
}

void snapshot_memory(benchmark::State& state)
{
    std::int64_t bytes = 0;
    for (auto _ : state) {
        const auto before = live_bytes();
        const auto config = make_snapshot(state.range(0));
        bytes = live_bytes() - before;
    }
    set_bytes_counter(state, bytes);
}

/// Additional memory of a second version while the first is retained, as by a call that started
/// before the change.
void second_version_memory(benchmark::State& state)
{
    const auto base = make_snapshot(state.range(0));
    std::int64_t bytes = 0;
    for (auto _ : state) {
        const auto before = live_bytes();
        const auto next = base.with({next_change(state.range(0) + 1)});
        bytes = live_bytes() - before;
    }
    set_bytes_counter(state, bytes);
}

void build_next_version(benchmark::State& state)
{
    const auto base = make_snapshot(state.range(0));
    const std::vector<change> changes{next_change(state.range(0) + 1)};
    for (auto _ : state) {
        benchmark::DoNotOptimize(base.with(changes));
    }
}

void closure_check(benchmark::State& state)
{
    const auto config = make_snapshot(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(check_closure(config));
    }
}

void full_digest(benchmark::State& state)
{
    const auto resources = make_resources(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(snapshot(config_version{1}, resources).digest());
    }
}

void full_message(benchmark::State& state)
{
    const auto config = make_snapshot(state.range(0));
    auto frame = make_frame("node-1234");
    frame.__isset.config_full = true;
    for (auto _ : state) {
        frame.config_full = to_wire(config);
        benchmark::DoNotOptimize(encoded_bytes(frame));
    }
    set_bytes_counter(state, encoded_bytes(frame));
}

void read_full_message(benchmark::State& state)
{
    const auto message = to_wire(make_snapshot(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(from_wire(message));
    }
}

void delta_message(benchmark::State& state)
{
    const auto frame = delta_frame(next_change(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(encoded_bytes(frame));
    }
    set_bytes_counter(state, encoded_bytes(frame));
}

/// Rows and bytes that one accepted change writes to the table.
void change_transaction(benchmark::State& state)
{
    std::int64_t rows = 0;
    std::int64_t bytes = 0;
    for (auto _ : state) {
        const auto node = make_node();
        put_requested event;
        event.request = request_id{1};
        event.key = {resource_kind::service, "service-0"};
        event.body = R"({"spec":{"release":"r1"}})";
        event.from = {"operator@example.org", "10.0.12.7:51234"};
        for (const auto& effect : step(*node, operator_event{event}, time_point{})) {
            const auto* call = std::get_if<platform_call>(&effect);
            const auto* transaction =
                call == nullptr ? nullptr : std::get_if<table_transact>(&call->request);
            if (transaction == nullptr) {
                continue;
            }
            rows = static_cast<std::int64_t>(transaction->writes.size());
            bytes = 0;
            for (const auto& row : transaction->writes) {
                bytes += static_cast<std::int64_t>(row.key.size() + row.value->size());
            }
        }
    }
    state.counters["rows"] = static_cast<double>(rows);
    set_bytes_counter(state, bytes);
}

void member_record(benchmark::State& state)
{
    wire::member_record record;
    for (auto _ : state) {
        record = to_wire(make_member(1'234));
        benchmark::DoNotOptimize(encoded_bytes(record));
    }
    set_bytes_counter(state, encoded_bytes(record) - length_prefix_bytes);
}

/// Memory and time for a node to process the whole roster in one frame.
void learn_roster(benchmark::State& state)
{
    const event node_event = frame_received{roster_frame(state.range(0))};
    std::int64_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        auto node = make_node();
        const auto before = live_bytes();
        state.ResumeTiming();
        step(*node, node_event, time_point{std::chrono::seconds(1)});
        state.PauseTiming();
        bytes = live_bytes() - before;
        node.reset();
        state.ResumeTiming();
    }
    set_bytes_counter(state, bytes);
}

/// Time to process a push of one member record that is newer than the known record.
void merge_one_member(benchmark::State& state)
{
    auto node = make_node();
    step(*node, frame_received{roster_frame(state.range(0))}, time_point{std::chrono::seconds(1)});
    auto updated = make_member(1);
    auto now = time_point{std::chrono::seconds(2)};
    for (auto _ : state) {
        state.PauseTiming();
        ++updated.revision;
        now += std::chrono::milliseconds(100);
        auto frame = make_frame("node-1");
        frame.roster_push.members.push_back(to_wire(updated));
        frame.__isset.roster_push = true;
        const event node_event = frame_received{frame};
        state.ResumeTiming();
        benchmark::DoNotOptimize(step(*node, node_event, now));
    }
}

void rank_zone(benchmark::State& state)
{
    std::vector<node_id> nodes;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        nodes.push_back(make_member(i).node);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(push_trees(rank_nodes(zone_id{"zone-0"}, nodes)));
    }
}

std::optional<timer_key> find_control_timer(const effect_list& effects)
{
    for (const auto& effect : effects) {
        const auto* timer = std::get_if<set_timer>(&effect);
        if (timer != nullptr && timer->key.owner == module_id::control) {
            return timer->key;
        }
    }
    return std::nullopt;
}

/// Time that each node spends in each window of a move in progress when it handles no call of the
/// moved service.
void move_tick(benchmark::State& state)
{
    auto node = make_node();
    auto now = time_point{std::chrono::seconds(1)};
    step(*node, frame_received{roster_frame(state.range(0))}, now);
    auto resources = make_resources(resources_per_service);
    for (const auto* text :
         {R"({"kind":"upstream","name":"service-0-r2","spec":{"service":"service-0",)"
          R"("release":"r2","slots":12}})",
          R"({"kind":"move","name":"m","spec":{"service":"service-0","from_release":"r1",)"
          R"("to_release":"r2","deadline":"2030-01-01T00:00:00Z"}})"}) {
        const auto created = make_resource(text, 9);
        resources[created->key] = created;
    }
    effect_list effects;
    step_context context{*node, now, effects};
    node->config.apply_full(context,
                            std::make_shared<const snapshot>(config_version{9}, resources));
    const auto key = find_control_timer(effects);
    if (!key) {
        state.SkipWithError("the node set no control timer for the move");
        return;
    }
    const event node_event = timer_fired{*key};
    for (auto _ : state) {
        now += std::chrono::milliseconds(200);
        benchmark::DoNotOptimize(step(*node, node_event, now));
    }
}

void evidence_message(benchmark::State& state)
{
    constexpr std::size_t used_buckets = 24;
    auto frame = make_frame("node-1234");
    frame.evidence_report.move = "booking-desk-r2";
    frame.evidence_report.config_version = 123'456;
    frame.evidence_report.zone = "zone-12";
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        wire::evidence_cell cell;
        cell.route = "booking-desk-" + std::to_string(i / 2);
        cell.release = i % 2 == 0 ? "r1" : "r2";
        cell.successes = 310;
        cell.failures = 2;
        cell.latency_buckets.assign(used_buckets, 13);
        frame.evidence_report.cells.push_back(cell);
    }
    frame.__isset.evidence_report = true;
    for (auto _ : state) {
        benchmark::DoNotOptimize(encoded_bytes(frame));
    }
    set_bytes_counter(state, encoded_bytes(frame));
}

void add_resource_counts(benchmark::internal::Benchmark* benchmark_case)
{
    for (const std::int64_t size : {60, 240, 960, 3'840}) {
        benchmark_case->Arg(size);
    }
}

void add_member_counts(benchmark::internal::Benchmark* benchmark_case)
{
    for (const std::int64_t size : {12, 120, 600, 1'800}) {
        benchmark_case->Arg(size);
    }
}

BENCHMARK(snapshot_memory)->Apply(add_resource_counts);
BENCHMARK(second_version_memory)->Apply(add_resource_counts);
BENCHMARK(build_next_version)->Apply(add_resource_counts);
BENCHMARK(closure_check)->Apply(add_resource_counts);
BENCHMARK(full_digest)->Apply(add_resource_counts);
BENCHMARK(full_message)->Apply(add_resource_counts);
BENCHMARK(read_full_message)->Apply(add_resource_counts);
BENCHMARK(delta_message)->Arg(1)->Arg(1'000)->Arg(10'000'000);
BENCHMARK(change_transaction);
BENCHMARK(member_record);
BENCHMARK(learn_roster)->Apply(add_member_counts);
BENCHMARK(merge_one_member)->Apply(add_member_counts);
BENCHMARK(rank_zone)->Arg(4)->Arg(16)->Arg(67)->Arg(268);
BENCHMARK(move_tick)->Apply(add_member_counts);
BENCHMARK(evidence_message)->Arg(2)->Arg(8)->Arg(32);

} // namespace

} // namespace camphor::bench

BENCHMARK_MAIN();
