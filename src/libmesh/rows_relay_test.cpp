// Relays operators' rows through a zone while requests are served. Guards against large rows that
// block the links: cancellations queue behind them, and requests run after their callers have
// left.
#define BOOST_TEST_MODULE rows_relay
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 16;
/// 10 Mbit/s, the slowest link of the grown fleets.
constexpr std::size_t slow_link_bytes_per_ms = 1'250;
/// Time after a client's disconnect from which its request must not start any more.
constexpr auto max_start_delay = 500ms;
/// Time limit for a configuration to be in force on every node.
constexpr auto config_apply_limit = 2s;

struct relay_case {
    const char* name;
    /// Size of the configuration row in bytes.
    std::size_t config_bytes;
    /// Indices of the nodes that are killed while the row is being relayed.
    std::vector<std::size_t> killed_nodes;
};

std::ostream& operator<<(std::ostream& out, const relay_case& scenario)
{
    return out << scenario.name;
}

const std::vector<relay_case> relay_cases{
    {"a small row", 1'000, {}},
    {"a configuration of 816 routes", 66'000, {}},
    {"a configuration of 2,000 routes", 160'000, {}},
    {"nodes die while they relay the row", 66'000, {1, 8}},
};

/// Two versions share no piece, as when a column was added, so a delta saves nothing.
mesh_wire::operator_row make_config_row(std::int64_t version, std::size_t config_bytes)
{
    std::string document;
    for (int i = 0; document.size() < config_bytes; ++i) {
        document += "[\"r" + std::to_string(i) + "\"," + std::to_string(version) + "],";
    }
    mesh_wire::operator_row row;
    row.__set_key("config");
    row.__set_row_version(version);
    row.__set_document(document);
    return row;
}

} // namespace

BOOST_DATA_TEST_CASE(starts_no_runs_for_disconnected_clients_while_a_large_configuration_is_relayed,
                     boost::unit_test::data::make(relay_cases), scenario)
{
    simulated_mesh net(node_count, 1);
    net.configure(true);
    // n0 has no backend server, so its requests go to other nodes.
    for (std::size_t i = 1; i < node_count; ++i) {
        net.check_in(i);
    }
    net.read_row(0, make_config_row(1, scenario.config_bytes));
    net.run_for(5s);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.set_link_speed(i, slow_link_bytes_per_ms);
    }
    const auto changed_at = net.now();
    net.read_row(0, make_config_row(2, scenario.config_bytes));
    for (const auto killed : scenario.killed_nodes) {
        net.kill(killed);
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        net.send(0, "left" + std::to_string(i), 250ms);
    }
    net.run_for(70ms);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.disconnect_client(0, "left" + std::to_string(i));
    }
    const auto disconnected_at = net.now();
    net.run_for(config_apply_limit - (disconnected_at - changed_at));
    for (std::size_t i = 0; i < node_count; ++i) {
        const auto last_started = net.last_run_at("left" + std::to_string(i));
        BOOST_TEST((!last_started || *last_started <= disconnected_at + max_start_delay));
        const bool killed = std::find(scenario.killed_nodes.begin(), scenario.killed_nodes.end(),
                                      i) != scenario.killed_nodes.end();
        BOOST_TEST((killed || net.core(i).config()->version() == config_version{2}));
    }
}
