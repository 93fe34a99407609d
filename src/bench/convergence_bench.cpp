// Benchmark of configuration convergence, control traffic, processor time and table reads by mesh
// size.
#include "bench_mesh.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace camphor::bench {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Size of the target mesh; smaller meshes get proportionally fewer services.
constexpr std::size_t target_nodes = 1'800;
constexpr std::size_t target_services = 280;
constexpr std::size_t min_services = 4;
constexpr duration warm_up = 20s;
constexpr duration idle_duration = 20s;
constexpr duration change_interval = 1s;
constexpr int measured_changes = 20;
constexpr double ms_per_ns = 1e-6;

double milliseconds(duration span)
{
    return static_cast<double>(span.count()) * ms_per_ns;
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::ceil(probability * last))];
}

json quantiles(const std::vector<double>& values)
{
    return {{"p50", quantile(values, 0.5)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1)},
            {"samples", values.size()}};
}

std::size_t services_for(std::size_t nodes)
{
    return std::max(min_services, nodes * target_services / target_nodes);
}

/// Records the time from the acceptance of each configuration version to its application on each
/// node. The first application on any node counts as the acceptance.
class convergence_recorder {
public:
    explicit convergence_recorder(bench_mesh& mesh) : mesh_(mesh)
    {
        mesh_.on_config_applied = [this](std::size_t node, std::int64_t version) {
            record(node, version);
        };
    }

    void clear()
    {
        accepted_at_.clear();
        delays_ms_.clear();
        max_delay_ms_by_version_.clear();
    }

    /// Milliseconds from acceptance to application, one value for each node and version.
    const std::vector<double>& delays_ms() const { return delays_ms_; }
    /// Milliseconds from acceptance to application on the last node, one value for each version.
    std::vector<double> last_node_delays_ms() const
    {
        std::vector<double> out;
        for (const auto& [version, last] : max_delay_ms_by_version_) {
            out.push_back(last);
        }
        return out;
    }

private:
    void record(std::size_t node, std::int64_t version)
    {
        // A node that started less than 5 s ago still catches up with old versions.
        const bool has_caught_up = mesh_.now() - mesh_.started_at(node) > 5s;
        const auto from = applied_versions_[node];
        applied_versions_[node] = version;
        if (!accepted_at_.contains(version)) {
            accepted_at_[version] = mesh_.now();
        }
        if (!has_caught_up) {
            return;
        }
        for (auto applied = std::max(from + 1, version - measured_changes); applied <= version;
             ++applied) {
            if (const auto found = accepted_at_.find(applied); found != accepted_at_.end()) {
                const auto delay_ms = milliseconds(mesh_.now() - found->second);
                delays_ms_.push_back(delay_ms);
                max_delay_ms_by_version_[applied] =
                    std::max(max_delay_ms_by_version_[applied], delay_ms);
            }
        }
    }

    bench_mesh& mesh_;
    std::map<std::int64_t, time_point> accepted_at_;
    std::map<std::size_t, std::int64_t> applied_versions_;
    std::vector<double> delays_ms_;
    std::map<std::int64_t, double> max_delay_ms_by_version_;
};

void put_resource(bench_mesh& mesh, std::size_t node, const std::string& kind,
                  const std::string& name, const std::string& spec)
{
    put_requested event;
    event.request = request_id{1};
    event.key = {*parse_resource_kind(kind), name};
    event.body = R"({"spec":)" + spec + "}";
    mesh.post(node, operator_event{event});
}

change make_change(std::int64_t version, const std::string& text)
{
    auto parsed = parse_resource(text);
    parsed.revision = config_version{version};
    change out;
    out.version = config_version{version};
    out.key = parsed.key;
    out.item = std::make_shared<const resource>(std::move(parsed));
    return out;
}

/// Changes that create a service, an upstream and a route for each service.
std::vector<change> service_changes(std::size_t services)
{
    std::vector<change> out;
    std::int64_t version = 0;
    const auto add = [&](const std::string& kind, const std::string& name, const json& spec) {
        const json document{{"kind", kind}, {"name", name}, {"spec", spec}};
        out.push_back(make_change(++version, document.dump()));
    };
    for (std::size_t i = 0; i < services; ++i) {
        const auto name = "service-" + std::to_string(i);
        add("service", name, {{"release", "r1"}});
        add("upstream", name, {{"service", name}, {"release", "r1"}, {"slots", 12}});
        add("route", name, {{"path_prefix", "/" + name}, {"service", name}});
    }
    return out;
}

/// Writes the services to the table and installs them on every node, so that the mesh starts
/// converged.
void preload_services(bench_mesh& mesh)
{
    const auto changes = service_changes(services_for(mesh.size()));
    for (const auto& accepted : changes) {
        mesh.table()[change_key(accepted.version)] = to_record(accepted);
    }
    mesh.table()["head"] = std::to_string(changes.back().version.value());
    const auto config = std::make_shared<const snapshot>(snapshot().with(changes));
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        mesh.preload(i, config);
    }
}

void announce_backend(bench_mesh& mesh, std::size_t node)
{
    backend_announced event;
    event.backend = backend_id{"backend-" + std::to_string(node)};
    event.service = service_id{"service-" + std::to_string(node % services_for(mesh.size()))};
    event.release = release_id{"r1"};
    event.host = "127.0.0.1";
    event.port = 8000;
    event.slots = 12;
    mesh.post(node, backend_event{event});
}

/// Advances simulated time by `span` while every backend server announces itself once per second.
void run_with_announcements(bench_mesh& mesh, duration span)
{
    for (duration elapsed{}; elapsed < span; elapsed += 1s) {
        for (std::size_t i = 0; i < mesh.size(); ++i) {
            if (mesh.is_running(i)) {
                announce_backend(mesh, i);
            }
        }
        mesh.run(std::min<duration>(1s, span - elapsed));
    }
}

json cost_report(const bench_mesh& mesh, duration span)
{
    std::vector<double> bytes;
    std::vector<double> step_share;
    std::vector<double> codec_share;
    std::vector<double> frames;
    for (const auto& cost : mesh.costs()) {
        bytes.push_back(static_cast<double>(cost.bytes_in + cost.bytes_out) / seconds(span));
        frames.push_back(static_cast<double>(cost.frames_in + cost.frames_out) / seconds(span));
        step_share.push_back(100 * seconds(cost.step_time) / seconds(span));
        codec_share.push_back(100 * seconds(cost.codec_time) / seconds(span));
    }
    const auto mean = [](const std::vector<double>& values) {
        double sum = 0;
        for (const auto value : values) {
            sum += value;
        }
        return sum / static_cast<double>(values.size());
    };
    json kinds = json::object();
    for (const auto& [kind, count] : mesh.bytes_by_kind()) {
        kinds[kind] = static_cast<double>(count) / seconds(span) / static_cast<double>(mesh.size());
    }
    return {{"bytes_per_node_s", {{"mean", mean(bytes)}, {"max", quantile(bytes, 1)}}},
            {"frames_per_node_s", {{"mean", mean(frames)}, {"max", quantile(frames, 1)}}},
            {"core_percent", {{"mean", mean(step_share)}, {"max", quantile(step_share, 1)}}},
            {"codec_percent", {{"mean", mean(codec_share)}, {"max", quantile(codec_share, 1)}}},
            {"sent_bytes_by_kind", kinds},
            {"table_reads_per_s", static_cast<double>(mesh.table_reads()) / seconds(span)},
            {"full_fetches_per_s", static_cast<double>(mesh.full_fetches()) / seconds(span)}};
}

json measure_changes(bench_mesh& mesh, convergence_recorder& recorder, bool churn,
                     std::size_t changes)
{
    recorder.clear();
    mesh.reset_costs();
    const auto phase_start = mesh.now();
    std::mt19937_64 random(7);
    for (std::size_t i = 0; i < changes; ++i) {
        std::size_t restarted = mesh.size();
        if (churn) {
            restarted = random() % mesh.size();
            mesh.kill(restarted);
        }
        std::size_t writer = random() % mesh.size();
        while (!mesh.is_running(writer) || mesh.now() - mesh.started_at(writer) < 5s) {
            writer = random() % mesh.size();
        }
        put_resource(mesh, writer, "service", "service-0",
                     std::string(R"({"release":"r1","priority":")") +
                         (i % 2 == 0 ? "low" : "high") + R"("})");
        run_with_announcements(mesh, change_interval);
        if (restarted != mesh.size()) {
            mesh.start(restarted);
        }
    }
    run_with_announcements(mesh, 3s);
    auto out = cost_report(mesh, mesh.now() - phase_start);
    out["changes"] = changes;
    out["per_node_ms"] = quantiles(recorder.delays_ms());
    out["last_node_ms"] = quantiles(recorder.last_node_delays_ms());
    return out;
}

bool has_config_and_roster(const bench_mesh& mesh, std::size_t node, std::int64_t version)
{
    return mesh.node(node).config.current()->version().value() >= version &&
           mesh.node(node).members.members().size() == mesh.size();
}

/// Kills every second node at once, restarts them together after 5 s and measures their recovery.
json measure_restart_storm(bench_mesh& mesh)
{
    const auto version = mesh.node(1).config.current()->version().value();
    for (std::size_t i = 0; i < mesh.size(); i += 2) {
        mesh.kill(i);
    }
    run_with_announcements(mesh, 5s);
    mesh.reset_costs();
    const auto phase_start = mesh.now();
    for (std::size_t i = 0; i < mesh.size(); i += 2) {
        mesh.start(i);
    }
    std::uint64_t peak_fetches = 0;
    double config_complete_s = 0;
    double all_complete_s = 0;
    for (int second = 0; second < 60 && all_complete_s == 0; ++second) {
        const auto fetches_before = mesh.full_fetches();
        run_with_announcements(mesh, 1s);
        peak_fetches = std::max(peak_fetches, mesh.full_fetches() - fetches_before);
        std::size_t nodes_with_config = 0;
        std::size_t nodes_with_all = 0;
        for (std::size_t i = 0; i < mesh.size(); ++i) {
            nodes_with_config += mesh.node(i).config.current()->version().value() >= version;
            nodes_with_all += has_config_and_roster(mesh, i, version);
        }
        if (nodes_with_config == mesh.size() && config_complete_s == 0) {
            config_complete_s = seconds(mesh.now() - phase_start);
        }
        if (nodes_with_all == mesh.size()) {
            all_complete_s = seconds(mesh.now() - phase_start);
        }
    }
    auto out = cost_report(mesh, mesh.now() - phase_start);
    out["config_everywhere_s"] = config_complete_s;
    out["config_and_roster_everywhere_s"] = all_complete_s;
    out["peak_full_fetches_per_s"] = peak_fetches;
    return out;
}

json measure(const mesh_options& options, const std::string& phases)
{
    bench_mesh mesh(options);
    convergence_recorder recorder(mesh);
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        mesh.start(i);
    }
    mesh.run(5s);
    preload_services(mesh);
    run_with_announcements(mesh, warm_up);
    json out{{"nodes", options.nodes},
             {"zones", options.zones},
             {"seed", options.seed},
             {"loss", options.loss_ratio},
             {"push_only", options.push_only},
             {"resources", mesh.node(0).config.current()->resources().size()}};
    mesh.reset_costs();
    run_with_announcements(mesh, idle_duration);
    out["idle"] = cost_report(mesh, idle_duration);
    out["changes"] = measure_changes(mesh, recorder, false, measured_changes);
    if (phases.find("churn") != std::string::npos) {
        out["churn"] = measure_changes(mesh, recorder, true, measured_changes);
    }
    if (phases.find("storm") != std::string::npos) {
        run_with_announcements(mesh, 10s);
        out["storm"] = measure_restart_storm(mesh);
    }
    return out;
}

std::size_t default_zones(std::size_t nodes)
{
    constexpr std::size_t target_zones = 27;
    return std::clamp<std::size_t>(nodes * target_zones / target_nodes, 3, target_zones);
}

} // namespace

} // namespace camphor::bench

int main(int argc, char** argv)
{
    using namespace camphor::bench;
    cxxopts::Options parser("convergence_bench",
                            "Measures convergence and control cost by mesh size");
    parser.add_options()("nodes", "mesh sizes, separated by commas",
                         cxxopts::value<std::vector<std::size_t>>()->default_value("12,48,192"));
    parser.add_options()("phases", "optional phases to run: churn,storm",
                         cxxopts::value<std::string>()->default_value("churn,storm"));
    parser.add_options()("loss", "fraction of frames lost, from 0 to 1",
                         cxxopts::value<double>()->default_value("0"));
    parser.add_options()("push-only",
                         "measure push alone, without version comparison and table polls");
    parser.add_options()("seed", "random seed",
                         cxxopts::value<std::uint64_t>()->default_value("1"));
    parser.add_options()("json", "file to write the results to", cxxopts::value<std::string>());
    const auto arguments = parser.parse(argc, argv);
    nlohmann::json report = nlohmann::json::array();
    for (const auto nodes : arguments["nodes"].as<std::vector<std::size_t>>()) {
        mesh_options options;
        options.nodes = nodes;
        options.zones = default_zones(nodes);
        options.regions = options.zones > 3 ? std::min<std::size_t>(options.zones, 7) : 1;
        options.seed = arguments["seed"].as<std::uint64_t>();
        options.loss_ratio = arguments["loss"].as<double>();
        options.push_only = arguments.count("push-only") > 0;
        report.push_back(measure(options, arguments["phases"].as<std::string>()));
        std::cout << report.back().dump(2) << std::endl;
    }
    if (arguments.count("json") > 0) {
        std::ofstream(arguments["json"].as<std::string>()) << report.dump(2) << '\n';
    }
    return 0;
}
