// Cold backend servers, which bear few requests a second, and zones that are evacuated and taken
// back.
#define BOOST_TEST_MODULE cold_start
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr double cold_rate = 15;

struct cold_case {
    const char* name;
    int requests_per_second;
    duration work;
    /// Requests that may wait for the limit; otherwise they are refused at once.
    bool may_wait;
};

std::ostream& operator<<(std::ostream& out, const cold_case& sample)
{
    return out << sample.name;
}

const std::vector<cold_case> cold_cases{
    {"steep load, refused at once", 400, 20ms, false},
    {"steep load, queued", 400, 20ms, true},
    {"short requests", 1'000, 1ms, true},
    {"load below the limit", 10, 20ms, true},
};

} // namespace

// The load: a zone's backend servers come back together and all nodes send them their share at
// once.
BOOST_DATA_TEST_CASE(a_cold_backend_server_gets_no_more_than_it_bears,
                     boost::unit_test::data::make(cold_cases), sample)
{
    slot_queue queue;
    queue.set_slots(9);
    time_point now{std::chrono::seconds(100)};
    const auto end_of_cold = now + 3s;
    queue.set_cold(end_of_cold, cold_rate);
    std::vector<time_point> starts;
    std::vector<std::pair<time_point, run_id>> running;
    std::uint64_t next = 0;
    const auto start = [&](run_id run) {
        starts.push_back(now);
        running.emplace_back(now + sample.work, run);
    };
    for (; now < end_of_cold; now += duration(1s) / sample.requests_per_second) {
        while (!running.empty() && running.front().first <= now) {
            queue.finish(running.front().second, true, now);
            running.erase(running.begin());
        }
        while (const auto run = queue.start_next(now)) {
            start(*run);
        }
        slot_request request;
        request.run = run_id{++next};
        request.route = route_id{"r"};
        request.deadline = now + 2s;
        request.objective = now + 1s;
        request.may_wait = sample.may_wait;
        if (queue.offer(request, now).result == slot_queue::admission::run) {
            start(request.run);
        }
    }
    std::size_t most = 0;
    for (const auto first : starts) {
        most = std::max(most, static_cast<std::size_t>(
                                  std::count_if(starts.begin(), starts.end(), [&](auto at) {
                                      return at >= first && at < first + duration(1s);
                                  })));
    }
    BOOST_TEST(most <= static_cast<std::size_t>(cold_rate));
    // The limit is used, and ends with the cold time.
    const auto usable = std::min<double>(cold_rate, sample.requests_per_second);
    BOOST_TEST(static_cast<double>(starts.size()) >= usable * 3 * 0.8);
    now = end_of_cold + 1s;
    for (const auto& [end, run] : running) {
        queue.finish(run, true, now);
    }
    queue.clear_waiting();
    int started = 0;
    for (int i = 0; i < 2 * static_cast<int>(cold_rate); ++i) {
        const run_id run{++next};
        started += queue.offer({run, route_id{"r"}, 0, now + 1s, now + 1s, false}, now).result ==
                           slot_queue::admission::run
                       ? 1
                       : 0;
        queue.finish(run, true, now);
    }
    BOOST_TEST(started == 2 * static_cast<int>(cold_rate));
}

BOOST_AUTO_TEST_CASE(an_evacuated_zone_gets_nothing_until_it_is_taken_back)
{
    constexpr std::size_t nodes = 6;
    simulated_mesh net(nodes);
    net.configure(true);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.check_in(i);
    }
    net.run_for(100ms);
    int sent = 0;
    const auto send_load = [&](duration span) {
        for (const auto end = net.now() + span; net.now() < end;) {
            net.send(static_cast<std::size_t>(sent) % nodes, "q" + std::to_string(sent));
            ++sent;
            net.run_for(20ms);
        }
    };
    const auto order = [&](bool active, std::int64_t version) {
        for (std::size_t i = 0; i < nodes; ++i) {
            net.feed_evacuation(i, {zone_id{"z1"}, active, version});
        }
    };
    send_load(1s);
    BOOST_TEST(net.app(1).arrivals > 0);
    order(true, 10);
    const int before = net.app(1).arrivals + net.app(4).arrivals;
    send_load(2s);
    // An order that is older than the known one changes nothing.
    order(false, 9);
    send_load(1s);
    BOOST_TEST(net.app(1).arrivals + net.app(4).arrivals == before);
    order(false, 11);
    send_load(2s);
    BOOST_TEST(net.app(1).arrivals > 0);
    BOOST_TEST(net.app(1).arrivals + net.app(4).arrivals > before);
    net.run_for(1s);
    for (const auto& [id, result] : net.results()) {
        BOOST_TEST(result.status == 200);
    }
}

// Guards against a zone that stays evacuated because the store had dropped the history in which the
// order was removed.
BOOST_AUTO_TEST_CASE(a_row_that_a_whole_table_lacks_counts_as_removed)
{
    mesh_settings settings;
    settings.node = node_id{"n0"};
    settings.zone = zone_id{"z0"};
    node core(settings, 1, 1);
    const time_point start{std::chrono::hours(1)};
    mesh_wire::operator_row order;
    order.__set_key("evacuate/z1");
    order.__set_row_version(10);
    order.__set_document("{}");
    const auto removed_by = [&](const rows_read& read) {
        std::vector<mesh_wire::operator_row> rows;
        for (const auto& effect : core.step(read, start)) {
            if (const auto* command = std::get_if<apply_rows>(&effect)) {
                rows.insert(rows.end(), command->rows.begin(), command->rows.end());
            }
        }
        return rows;
    };
    BOOST_TEST(removed_by({{order}, 10, true, false}).empty());
    // A change without the row, and a stale read of the table, say nothing.
    BOOST_TEST(removed_by({{}, 11, true, false}).empty());
    BOOST_TEST(removed_by({{}, 9, true, true}).empty());
    const auto removed = removed_by({{}, 12, true, true});
    BOOST_REQUIRE(removed.size() == 1U);
    BOOST_TEST(removed.front().key == "evacuate/z1");
    BOOST_TEST(removed.front().removed);
    BOOST_TEST(removed.front().row_version == 12);
    BOOST_TEST(removed_by({{}, 13, true, true}).empty());
}
