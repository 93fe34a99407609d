// Reads of the store that stay unanswered while the connection remains open. Guards against a zone
// that keeps an old configuration because the node that reads the store for it waits for such an
// answer.
#define BOOST_TEST_MODULE late_reads
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

constexpr std::int64_t first_version = 2;
constexpr std::int64_t changed_version = 3;

struct late_case {
    const char* name;
    std::size_t node_count;
    std::size_t zone_count;
    /// Size of the configuration row in bytes.
    std::size_t config_bytes;
    /// Indices of the nodes whose reads the store does not answer. The first node of each zone
    /// reads the store for its zone.
    std::vector<std::size_t> unanswered_nodes;
    /// Time from the last answer to the outage, and from the outage to the change.
    duration answer_to_outage;
    duration outage_to_change;
};

std::ostream& operator<<(std::ostream& out, const late_case& scenario)
{
    return out << scenario.name;
}

const std::vector<late_case> late_cases{
    {"the only reader of a zone", 4, 1, 1'000, {0}, 1ms, 0ms},
    {"the reader and the next two", 6, 1, 1'000, {0, 1, 2}, 1ms, 0ms},
    {"the readers of all zones", 12, 3, 1'000, {0, 1, 2, 3}, 1ms, 0ms},
    {"the readers of all zones, a change later", 12, 3, 1'000, {0, 1, 2}, 400ms, 300ms},
    {"the readers of all zones, a large configuration", 12, 3, 66'000, {0, 1, 2}, 1ms, 0ms},
    {"the reader of a large zone, a large configuration", 32, 1, 66'000, {0, 1}, 1ms, 0ms},
    {"others than the reader", 6, 1, 66'000, {2, 3}, 1ms, 0ms},
};

mesh_wire::operator_row make_config_row(std::int64_t version, std::size_t config_bytes)
{
    mesh_wire::operator_row row;
    row.__set_key("config");
    row.__set_row_version(version);
    row.__set_document(std::string(config_bytes, version % 2 == 0 ? 'a' : 'b'));
    return row;
}

bool contains(const std::vector<std::size_t>& values, std::size_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

BOOST_DATA_TEST_CASE(applies_a_configuration_in_time_while_store_reads_hang,
                     boost::unit_test::data::make(late_cases), scenario)
{
    const auto apply_limit = mesh_bounds{}.config_apply;
    simulated_mesh net(scenario.node_count, scenario.zone_count);
    net.configure(true);
    net.run_for(3s);
    // This answer starts each reader's next read.
    net.write_row(make_config_row(first_version, scenario.config_bytes));
    net.run_for(scenario.answer_to_outage);
    for (const auto node : scenario.unanswered_nodes) {
        net.set_store_unavailable(node, true);
    }
    net.run_for(scenario.outage_to_change);
    net.write_row(make_config_row(changed_version, scenario.config_bytes));
    net.run_for(apply_limit);
    for (std::size_t i = 0; i < scenario.node_count; ++i) {
        BOOST_TEST_CONTEXT("node " << i)
        {
            BOOST_TEST((contains(scenario.unanswered_nodes, i) ||
                        net.config_version_of(i) == changed_version));
        }
    }
    // Nodes whose reads are unanswered receive the configuration from other nodes.
    net.run_for(apply_limit);
    for (std::size_t i = 0; i < scenario.node_count; ++i) {
        BOOST_TEST(net.config_version_of(i) == changed_version);
    }
    for (const auto node : scenario.unanswered_nodes) {
        net.set_store_unavailable(node, false);
    }
    net.run_for(apply_limit);
    net.write_row(make_config_row(changed_version + 1, scenario.config_bytes));
    net.run_for(apply_limit);
    for (std::size_t i = 0; i < scenario.node_count; ++i) {
        BOOST_TEST(net.config_version_of(i) == changed_version + 1);
    }
}
