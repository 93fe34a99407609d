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
        answered_reads += std::holds_alternative<mesh::rows_read>(event) ? 1 : 0;
        rows_were_read = rows_were_read || std::holds_alternative<mesh::rows_read>(event);
        const auto* status = std::get_if<mesh::rollout_status_read>(&event);
        statuses += status != nullptr ? 1 : 0;
    }

    void run_until(const std::function<bool(const store_fixture&)>& done)
    {
        shell::test::run_until(io, [&] { return done(*this); });
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

} // namespace camphor::sidecar
