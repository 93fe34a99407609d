// What a node reads of the store at its start, against the stand-in platform.
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

mesh_wire::node_record record_of(const std::string& name)
{
    mesh_wire::node_record out;
    out.__set_node(name);
    out.__set_zone("z");
    out.__set_host("10.0.0.1");
    out.__set_port(1);
    out.__set_boot(1);
    return out;
}

struct ignored_reply : standin::exchange {
    void answer(standin::http_response) override {}
    void drop() override {}
    void on_closed(std::function<void()>) override {}
};

/// The stand-in and one node's follower; remembers what the follower tells.
struct followed_store {
    explicit followed_store(std::vector<platform::row_write> rows, bool with_order = false,
                            std::chrono::milliseconds longest_read = std::chrono::seconds(20))
        : follower(
              io, {"127.0.0.1", port}, record_of("n0"), longest_read,
              [this](const mesh::event& happened) { take(happened); }, [](const mesh::log_line&) {},
              1)
    {
        if (with_order) {
            service.handle({"PUT",
                            "/control/row?table=op&key=rollout%2Fs",
                            {},
                            R"({"service":"s","target":"v2","duration_s":9})"},
                           std::make_shared<ignored_reply>());
        }
        for (std::size_t first = 0; first < rows.size(); first += rows_at_once) {
            const auto last = std::min(rows.size(), first + rows_at_once);
            const std::vector<platform::row_write> part(
                rows.begin() + static_cast<std::ptrdiff_t>(first),
                rows.begin() + static_cast<std::ptrdiff_t>(last));
            bool done = false;
            writer.call(platform::write_rows({}, part), std::chrono::seconds(5),
                        [&](const auto&) { done = true; });
            shell::test::run_until(io, [&] { return done; });
        }
        follower.start();
    }

    void take(const mesh::event& happened)
    {
        if (const auto* listed = std::get_if<mesh::nodes_listed>(&happened)) {
            for (const auto& node : listed->nodes) {
                nodes.insert(node.node);
            }
        }
        answered_reads += std::holds_alternative<mesh::rows_read>(happened) ? 1 : 0;
        read_rows = read_rows || std::holds_alternative<mesh::rows_read>(happened);
        const auto* status = std::get_if<mesh::rollout_status_read>(&happened);
        statuses += status != nullptr ? 1 : 0;
    }

    void run_until(const std::function<bool(const followed_store&)>& done)
    {
        shell::test::run_until(io, [&] { return done(*this); });
    }

    static constexpr std::size_t rows_at_once = 90;
    boost::asio::io_context io{1};
    std::uint16_t port = shell::test::free_port();
    standin::platform_service service{io, 1};
    standin::http_server server{io, "127.0.0.1", port,
                                [this](const auto& request, const auto& reply) {
                                    service.handle(request, reply);
                                }};
    shell::store_client writer{io, {"127.0.0.1", port}};
    std::set<std::string> nodes;
    bool read_rows = false;
    int statuses = 0;
    /// Reads of the operators' rows that the store answered.
    int answered_reads = 0;
    store_follower follower;
};

} // namespace

BOOST_AUTO_TEST_CASE(lists_more_nodes_than_the_store_gives_at_once)
{
    constexpr int count = 1'200;
    std::vector<platform::row_write> rows;
    for (int i = 1; i <= count; ++i) {
        const auto name = "n" + std::to_string(i);
        rows.push_back({platform::node_table, name, platform::write_node_row(record_of(name))});
    }
    followed_store store(std::move(rows));
    store.run_until([](const followed_store& seen) { return seen.nodes.size() == count + 1U; });
    BOOST_TEST(store.nodes.size() == count + 1U);
}

BOOST_DATA_TEST_CASE(reads_outcomes_only_beside_an_order, boost::unit_test::data::make({0, 1}),
                     orders)
{
    mesh::rollout_status status;
    status.service = service_id{"s"};
    status.target = release_id{"v2"};
    status.order = 7;
    status.phase = mesh::rollout_phase::completed;
    followed_store store({{platform::status_table, platform::rollout_status_key(status.service),
                           platform::write_rollout_status(status)}},
                         orders > 0);
    store.run_until([orders](const followed_store& seen) {
        return seen.read_rows && seen.nodes.size() == 1 && seen.statuses == orders;
    });
    BOOST_TEST(store.read_rows);
    BOOST_TEST(store.statuses == orders);
    // Its own row, the nodes, the operator's rows, perhaps outcomes, and the feed that waits.
    BOOST_TEST(store.follower.counters().calls <= 4U + static_cast<std::uint64_t>(orders));
}

BOOST_AUTO_TEST_CASE(hears_of_the_store_while_nothing_changes)
{
    constexpr int enough = 3;
    followed_store store({}, false, mesh::longest_read(mesh::mesh_bounds{}));
    store.run_until([](const followed_store& seen) { return seen.answered_reads >= enough; });
    BOOST_TEST(store.answered_reads >= enough);
}

} // namespace camphor::sidecar
