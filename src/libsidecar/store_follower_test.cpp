// Reads of the store at the start of a node, against the platform stand-in.
#define BOOST_TEST_MODULE store_follower
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libshell/test_io.h"
#include "libsidecar/store_follower.h"
#include "platform/operator_rows.h"
#include "standins/http_server.h"
#include "standins/platform_service.h"

#include <ostream>
#include <set>

namespace camphor::sidecar {

namespace {

mesh_wire::node_record make_node_record(const std::string& name)
{
    mesh_wire::node_record out;
    out.__set_node(name);
    out.__set_zone("z");
    out.__set_host("10.0.0.1");
    out.__set_port(1);
    out.__set_boot(1);
    return out;
}

using backend_start_list = std::vector<mesh::backend_start>;

struct discarding_exchange : standin::http_exchange {
    void answer(standin::http_response) override {}
    void drop() override {}
    void set_close_handler(std::function<void()>) override {}
};

/// A platform stand-in and the store_follower of one node, whose events are recorded.
struct store_fixture {
    explicit store_fixture(std::vector<platform::row_write> rows, bool with_rollout_order = false,
                           std::chrono::milliseconds long_poll_timeout = std::chrono::seconds(20))
        : follower(
              io, {"127.0.0.1", port}, make_node_record("n0"), long_poll_timeout,
              [this](const mesh::event& event) { record_event(event); },
              [](const mesh::log_line&) {}, 1)
    {
        if (with_rollout_order) {
            service.handle({"PUT",
                            "/control/row?table=op&key=rollout%2Fs",
                            {},
                            R"({"service":"s","target":"v2","duration_s":9})"},
                           std::make_shared<discarding_exchange>());
        }
        for (std::size_t first = 0; first < rows.size(); first += rows_per_transaction) {
            const auto last = std::min(rows.size(), first + rows_per_transaction);
            const std::vector<platform::row_write> batch(
                rows.begin() + static_cast<std::ptrdiff_t>(first),
                rows.begin() + static_cast<std::ptrdiff_t>(last));
            bool done = false;
            writer.call(platform::write_rows({}, batch), std::chrono::seconds(5),
                        [&](const auto&) { done = true; });
            shell::test::run_until(io, [&] { return done; });
        }
        follower.start();
    }

    void record_event(const mesh::event& event)
    {
        if (const auto* listed = std::get_if<mesh::nodes_listed>(&event)) {
            for (const auto& node : listed->nodes) {
                nodes.insert(node.node);
            }
        }
        if (const auto* read = std::get_if<mesh::departures_read>(&event)) {
            ++departures_reads;
            departed = read->starts;
        }
        if (const auto* stored = std::get_if<mesh::departures_stored>(&event)) {
            stored_revision = stored->revision;
        }
        if (const auto* config = std::get_if<mesh::config_read>(&event)) {
            config_version = config->config->version().value();
        }
        answered_reads += std::holds_alternative<mesh::rows_read>(event) ? 1 : 0;
        rows_were_read = rows_were_read || std::holds_alternative<mesh::rows_read>(event);
        const auto* status = std::get_if<mesh::rollout_status_read>(&event);
        statuses += status != nullptr ? 1 : 0;
    }

    bool nodes_announced()
    {
        run_until([](const store_fixture& fixture) { return fixture.nodes.contains("n0"); });
        return nodes.contains("n0");
    }

    /// The departures in the node's row.
    backend_start_list read_own_row()
    {
        std::optional<backend_start_list> out;
        writer.call(platform::read_table(platform::node_table, {"n0", "", 1}),
                    std::chrono::seconds(5), [&](const shell::store_reply& reply) {
                        out = platform::read_departures(
                            platform::read_rows(reply.body).rows.at(0).value);
                    });
        shell::test::run_until(io, [&] { return out.has_value(); });
        return out.value();
    }

    void run_until(const std::function<bool(const store_fixture&)>& done)
    {
        shell::test::run_until(io, [&] { return done(*this); });
    }

    void control(const std::string& target, const std::string& body = "")
    {
        service.handle({"PUT", "/control/" + target, {}, body},
                       std::make_shared<discarding_exchange>());
    }

    /// Writes configurations one after the other and waits until the newest is reported.
    void write_configs(int count)
    {
        for (int i = 0; i < count; ++i) {
            control(
                "row?table=op&key=config",
                R"({"version":"r)" + std::to_string(++written_version) +
                    R"(","routes":{"columns":[],"rows":[]},"services":{"columns":[],"rows":[]}})");
        }
        run_until([](const store_fixture& fixture) {
            return fixture.config_version == fixture.written_version;
        });
        BOOST_TEST(config_version == written_version);
    }

    static constexpr std::size_t rows_per_transaction = 90;
    boost::asio::io_context io{1};
    std::uint16_t port = shell::test::free_port();
    standin::platform_service service{io, 1};
    standin::http_server server{io, "127.0.0.1", port,
                                [this](const auto& request, const auto& reply) {
                                    service.handle(request, reply);
                                }};
    shell::store_client writer{io, {"127.0.0.1", port}};
    std::set<std::string> nodes;
    bool rows_were_read = false;
    int statuses = 0;
    int departures_reads = 0;
    backend_start_list departed;
    std::int64_t stored_revision = -1;
    std::int64_t config_version = 0;
    std::int64_t written_version = 0;
    /// Number of rows_read events.
    int answered_reads = 0;
    store_follower follower;
};

} // namespace

BOOST_AUTO_TEST_CASE(lists_nodes_across_several_pages)
{
    constexpr int count = 1'200;
    std::vector<platform::row_write> rows;
    for (int i = 1; i <= count; ++i) {
        const auto name = "n" + std::to_string(i);
        rows.push_back(
            {platform::node_table, name, platform::write_node_row(make_node_record(name))});
    }
    store_fixture store(std::move(rows));
    store.run_until(
        [](const store_fixture& fixture) { return fixture.nodes.size() == count + 1U; });
    BOOST_TEST(store.nodes.size() == count + 1U);
}

struct own_row_case {
    const char* name;
    /// Content of the node's row before it starts; empty: no row.
    std::string row;
    std::size_t departed;
};

std::ostream& operator<<(std::ostream& out, const own_row_case& sample)
{
    return out << sample.name;
}

const std::vector<own_row_case> own_row_cases{
    {"first start", "", 0},
    {"an earlier process, nothing left", platform::write_node_row(make_node_record("n0")), 0},
    {"an earlier process, one left",
     platform::write_node_row(make_node_record("n0"), {{backend_id{"b0"}, 5}}), 1},
    {"unreadable departures", R"({"departed":[{"id":7}]})", 0},
    {"no document", "{", 0},
};

// Guards against departures that are lost when a node, or each node, starts again.
BOOST_DATA_TEST_CASE(departures_outlast_the_process, boost::unit_test::data::make(own_row_cases),
                     sample)
{
    std::vector<platform::row_write> rows;
    if (!sample.row.empty()) {
        rows.push_back({platform::node_table, "n0", sample.row});
    }
    store_fixture store(std::move(rows));
    store.run_until([](const store_fixture& fixture) { return fixture.stored_revision == 0; });
    BOOST_TEST(store.nodes_announced());
    BOOST_TEST(store.departures_reads == 1);
    BOOST_TEST(store.departed.size() == sample.departed);
    // A departure is added to those that the row holds.
    auto all = store.departed;
    all.push_back({backend_id{"b1"}, 9});
    store.follower.write(mesh::store_departures{1, all});
    store.run_until([](const store_fixture& fixture) { return fixture.stored_revision == 1; });
    BOOST_TEST(store.stored_revision == 1);
    BOOST_TEST((store.read_own_row() == all));
}

// Guards against a departure that is replaced by one which was reported before the row was read.
BOOST_AUTO_TEST_CASE(a_departure_before_the_first_answer_is_added_to_the_row)
{
    const backend_start_list before{{backend_id{"b0"}, 5}};
    store_fixture store(
        {{platform::node_table, "n0", platform::write_node_row(make_node_record("n0"), before)}});
    store.follower.write(mesh::store_departures{1, {{backend_id{"b1"}, 9}}});
    store.run_until([](const store_fixture& fixture) { return fixture.stored_revision == 1; });
    BOOST_TEST(store.read_own_row().size() == 2U);
}

BOOST_DATA_TEST_CASE(reads_rollout_status_only_if_an_order_exists,
                     boost::unit_test::data::make({0, 1}), order_count)
{
    mesh::rollout_status status;
    status.service = service_id{"s"};
    status.target = release_id{"v2"};
    status.order = 7;
    status.phase = mesh::rollout_phase::completed;
    store_fixture store({{platform::status_table, platform::rollout_status_key(status.service),
                          platform::write_rollout_status(status)}},
                        order_count > 0);
    store.run_until([order_count](const store_fixture& fixture) {
        return fixture.rows_were_read && fixture.nodes.size() == 1 &&
               fixture.statuses == order_count;
    });
    BOOST_TEST(store.rows_were_read);
    BOOST_TEST(store.statuses == order_count);
    // Expected calls: the write of the own node row, the node list, the operators' rows, the
    // pending long poll, and one read of the status table if an order exists.
    BOOST_TEST(store.follower.counters().calls <= 4U + static_cast<std::uint64_t>(order_count));
}

BOOST_AUTO_TEST_CASE(long_poll_returns_without_changes)
{
    constexpr int min_reads = 3;
    store_fixture store({}, false, mesh::max_read_wait(mesh::mesh_bounds{}));
    store.run_until(
        [](const store_fixture& fixture) { return fixture.answered_reads >= min_reads; });
    BOOST_TEST(store.answered_reads >= min_reads);
}

struct restored_case {
    const char* name;
    /// The store states its era in its answers.
    bool states_era;
    /// Configurations that are lost, and that are written after the store has come back.
    int lost;
    int written;
};

std::ostream& operator<<(std::ostream& out, const restored_case& sample)
{
    return out << sample.name;
}

const std::vector<restored_case> restored_cases{
    {"versions stay below the lost ones", true, 9, 2},
    {"versions pass the lost ones", true, 2, 9},
    {"nothing lost", true, 0, 2},
    {"no era stated, versions stay below the lost ones", false, 9, 2},
};

// Guards against reads without a pause from a version that the store does not have, and against
// configurations that are missed.
BOOST_DATA_TEST_CASE(follows_a_store_that_came_back_from_a_copy,
                     boost::unit_test::data::make(restored_cases), sample)
{
    store_fixture store({}, false, std::chrono::milliseconds(200));
    store.service.set_states_era(sample.states_era);
    store.write_configs(1);
    BOOST_TEST(store.nodes_announced());
    store.control("copy");
    store.write_configs(sample.lost);
    const auto calls_before = store.follower.counters().calls;
    store.control("restore");
    store.write_configs(sample.written);
    // Two reads of the whole table, the poll before and two after it, and the node's own row.
    constexpr std::uint64_t max_calls = 8;
    BOOST_TEST(store.follower.counters().calls <= calls_before + max_calls);
    BOOST_TEST(store.follower.histories_gone() <= 1U);
}

} // namespace camphor::sidecar
