// Tests that a request that crashes every backend server running it is quarantined, under faults of
// nodes, links and the store, while the other requests of its route are still served.
#define BOOST_TEST_MODULE crash_request
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 6;
/// The users' rule: at most `max_late_crashes` crashing requests may reach backend servers later
/// than `propagation_time` after the third crash.
constexpr auto propagation_time = 3s;
constexpr std::size_t max_late_crashes = 3;
const std::string crash_target = "/p/crash";

/// Load on the mesh in one test.
struct traffic {
    /// The requests may run more than once.
    bool safe = false;
    /// Time between two rounds, each of `at_once` crashing requests.
    milliseconds crash_interval{350};
    int at_once = 1;
    /// Other requests per second. Every `popular_every`th has the same target; 0: none.
    int other_rate = 30;
    int popular_every = 0;
    milliseconds work{40};
    /// Time until a crashed backend server is back.
    milliseconds down{800};
    /// Connections hang after a crash instead of breaking.
    bool silent = false;
    /// Time for which the crashing request runs before the crash.
    milliseconds crash_delay{0};
    duration run_time = 16s;
    /// Time at the start without crashing requests.
    duration crash_free_start{};
};

/// A simulated mesh under the load of one `traffic`.
class crash_run {
public:
    explicit crash_run(const traffic& load) : net(node_count), load_(load)
    {
        net.configure(load.safe, 2000ms, 500ms);
        for (std::size_t i = 0; i < node_count; ++i) {
            auto& app = net.app(i);
            app.crash_on_target = crash_target;
            app.work = load.work;
            app.restart_delay = load.down;
            app.hangs_on_crash = load.silent;
            app.crash_delay = load.crash_delay;
            net.check_in(i);
        }
        net.run_for(500ms);
    }

    void run() { run_for(load_.run_time); }

    void run_for(duration run_time)
    {
        const auto end = net.now() + run_time;
        auto next_crash = net.now() + std::exchange(load_.crash_free_start, duration{});
        while (net.now() < end) {
            if (net.now() >= next_crash) {
                next_crash += load_.crash_interval;
                for (int i = 0; i < load_.at_once; ++i) {
                    send_crashing();
                }
            }
            const int number = ++other_count_;
            const bool popular = load_.popular_every > 0 && number % load_.popular_every == 0;
            const auto id = "o" + std::to_string(number);
            net.send_to(static_cast<std::size_t>(number) % node_count, id,
                        popular ? "/p/popular" : "/p/" + id);
            net.run_for(duration(1s) / load_.other_rate);
        }
        net.run_for(3s);
    }

    void send_crashing()
    {
        const int number = ++crashing_count_;
        net.send_to(static_cast<std::size_t>(number) % node_count, "c" + std::to_string(number),
                    crash_target);
    }

    std::size_t late_crashes() const
    {
        const auto& ends = net.crash_times();
        return ends.size() < 3 ? 0U
                               : static_cast<std::size_t>(
                                     std::count_if(ends.begin(), ends.end(), [&](time_point at) {
                                         return at > ends[2] + propagation_time;
                                     }));
    }

    /// Fraction of the other requests, from number `first` on, that were served.
    double served_fraction_since(int first)
    {
        int served = 0;
        for (int i = first; i <= other_count_; ++i) {
            served += net.results()["o" + std::to_string(i)].status == 200 ? 1 : 0;
        }
        return static_cast<double>(served) / std::max(1, other_count_ - first + 1);
    }

    /// Checks that requests answered with 503, which promises that they have not run, did not run.
    void check_refused_requests_did_not_run()
    {
        for (const auto& [id, result] : net.results()) {
            if (result.status == 503) {
                BOOST_TEST_CONTEXT(id)
                {
                    BOOST_TEST(net.run_count(id) == 0);
                }
            }
        }
    }

    int other_count() const { return other_count_; }

    /// Number of other requests that were refused as quarantined.
    std::int64_t other_requests_quarantined()
    {
        return std::count_if(net.results().begin(), net.results().end(), [](const auto& entry) {
            return entry.first.front() == 'o' && entry.second.reason == quarantine_reason;
        });
    }

    simulated_mesh net;

private:
    traffic load_;
    int other_count_ = 0;
    int crashing_count_ = 0;
};

struct crash_case {
    const char* name;
    traffic load;
    std::function<void(simulated_mesh&)> fault = [](simulated_mesh&) {
    };
    /// Time from the start of the run to the fault.
    duration fault_at = 3s;
};

std::ostream& operator<<(std::ostream& out, const crash_case& sample)
{
    return out << sample.name;
}

void partition_zone(simulated_mesh& net, bool is_partitioned)
{
    // Nodes are assigned to the three availability zones in turn.
    for (std::size_t i = 0; i < node_count; i += 3) {
        net.set_partitioned(i, is_partitioned);
    }
}

void partition_zone_for_8s(simulated_mesh& net)
{
    partition_zone(net, true);
    net.after(8s, [&net] { partition_zone(net, false); });
}

const std::vector<crash_case> crash_cases{
    {"unsafe, sent to all nodes in turn", {}},
    {"safe, retried by the nodes", {.safe = true}},
    {"several at once", {.at_once = 4}},
    {"rarely", {.crash_interval = 2500ms}},
    {"beside long requests", {.other_rate = 60, .work = 300ms}},
    {"beside a popular request", {.safe = true, .popular_every = 2, .work = 100ms}},
    {"several at once beside a popular request",
     {.safe = true,
      .crash_interval = 1070ms,
      .at_once = 3,
      .popular_every = 2,
      .work = 389ms,
      .crash_free_start = 2s}},
    {"connections hang after a crash", {.silent = true}},
    {"backend servers restart slowly", {.down = 4000ms}},
    {"the node that observed the first crashes dies",
     {.crash_interval = 700ms},
     [](simulated_mesh& net) {
         net.kill(1);
         net.after(2s, [&net] { net.restart_node(1); });
     }},
    {"runs for a while before the crash", {.crash_delay = 700ms}},
    {"runs for a while before the crash, connections hang", {.silent = true, .crash_delay = 700ms}},
    {"a zone is partitioned after the quarantine", {}, partition_zone_for_8s},
    {"a zone is partitioned before the first crash", {}, partition_zone_for_8s, 0s},
    {"a zone is partitioned between two crashes",
     {.crash_interval = 600ms},
     partition_zone_for_8s,
     800ms},
    {"a zone is partitioned, and crashes are rare",
     {.crash_interval = 1100ms},
     partition_zone_for_8s,
     0s},
    {"a zone is partitioned, and the store is unreachable",
     {.crash_interval = 600ms},
     [](simulated_mesh& net) {
         partition_zone_for_8s(net);
         for (std::size_t i = 0; i < node_count; ++i) {
             net.set_store_unavailable(i, true);
         }
     },
     0s},
};

} // namespace

BOOST_DATA_TEST_CASE(a_crashing_request_is_quarantined, boost::unit_test::data::make(crash_cases),
                     sample)
{
    crash_run mesh(sample.load);
    mesh.net.after(sample.fault_at, [&] { sample.fault(mesh.net); });
    mesh.run();
    BOOST_TEST(mesh.net.crash_times().size() >= 3U);
    BOOST_TEST(mesh.late_crashes() <= max_late_crashes);
    mesh.check_refused_requests_did_not_run();
    BOOST_TEST(mesh.other_requests_quarantined() == 0);
}

BOOST_AUTO_TEST_CASE(other_requests_are_served_during_the_quarantine)
{
    crash_run mesh({});
    mesh.run_for(8s);
    const auto first = mesh.other_count();
    mesh.run_for(8s);
    BOOST_TEST(mesh.served_fraction_since(first + 1) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_applies_the_quarantine)
{
    crash_run mesh({});
    mesh.net.after(1s, [&] { mesh.net.kill(node_count - 1); });
    mesh.run_for(6s);
    const auto crashes_before = mesh.net.crash_times().size();
    mesh.net.restart_node(node_count - 1);
    mesh.net.run_for(propagation_time);
    mesh.run_for(6s);
    BOOST_TEST(mesh.net.crash_times().size() == crashes_before);
}

BOOST_AUTO_TEST_CASE(the_quarantine_survives_a_restart_of_all_nodes)
{
    crash_run mesh({});
    mesh.run_for(6s);
    const auto crashes_before = mesh.net.crash_times().size();
    for (std::size_t i = 0; i < node_count; ++i) {
        mesh.net.kill(i);
    }
    mesh.net.run_for(1s);
    for (std::size_t i = 0; i < node_count; ++i) {
        mesh.net.restart_node(i);
    }
    mesh.net.run_for(propagation_time);
    mesh.run_for(6s);
    BOOST_TEST(mesh.net.crash_times().size() == crashes_before);
}

struct independent_crash_case {
    const char* name;
    traffic load;
    /// Time between two rounds of crashes. Each round crashes the next `at_once` backend servers in
    /// turn.
    duration interval;
    int at_once = 1;
};

std::ostream& operator<<(std::ostream& out, const independent_crash_case& sample)
{
    return out << sample.name;
}

const std::vector<independent_crash_case> independent_crash_cases{
    {"one after the other", {.safe = true, .popular_every = 3, .work = 100ms}, 1s},
    {"in quick succession", {.safe = true, .popular_every = 3, .work = 100ms}, 300ms},
    {"half at once, a popular request on all",
     {.safe = true, .other_rate = 120, .popular_every = 1, .work = 100ms},
     2s,
     node_count / 2},
    {"all at once",
     {.safe = true, .other_rate = 120, .popular_every = 1, .work = 100ms},
     3s,
     node_count},
    {"unsafe", {.popular_every = 2, .work = 100ms}, 500ms},
    {"connections hang after a crash",
     {.safe = true, .popular_every = 3, .work = 100ms, .silent = true},
     1s},
};

void crash_in_turn(simulated_mesh& net, const independent_crash_case& sample)
{
    for (int round = 1; sample.interval * round < sample.load.run_time; ++round) {
        net.after(sample.interval * round, [&net, at_once = sample.at_once, round] {
            for (int i = 0; i < at_once; ++i) {
                net.crash_backend(static_cast<std::size_t>(round * at_once + i) % node_count);
            }
        });
    }
}

BOOST_DATA_TEST_CASE(independent_crashes_quarantine_no_request,
                     boost::unit_test::data::make(independent_crash_cases), sample)
{
    auto load = sample.load;
    load.crash_interval = 1h;
    crash_run mesh(load);
    for (std::size_t i = 0; i < node_count; ++i) {
        mesh.net.app(i).crash_on_target.clear();
    }
    crash_in_turn(mesh.net, sample);
    mesh.run();
    BOOST_TEST(mesh.net.refusals(quarantine_reason) == 0U);
}

BOOST_AUTO_TEST_CASE(requests_that_could_not_connect_are_not_suspected)
{
    simulated_mesh net(node_count);
    net.configure(true, 2000ms, 500ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.check_in(i);
        // No node has noticed the crash yet.
        net.app(i).crashed = true;
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        net.send_to(i, "first" + std::to_string(i), "/p/same");
    }
    net.run_for(3s);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).crashed = false;
        net.check_in(i);
    }
    net.run_for(1s);
    net.send_to(0, "second", "/p/same");
    net.run_for(3s);
    BOOST_TEST(net.results().at("second").status == 200);
    BOOST_TEST(net.refusals(quarantine_reason) == 0U);
}
