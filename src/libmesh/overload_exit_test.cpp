// A burst beyond the capacity of a service, after which the load falls back to its usual. Guards
// against an overload that feeds itself, through clients that return after a refusal.
#define BOOST_TEST_MODULE overload_exit
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <ostream>
#include <random>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 3;
constexpr int slots = 12;
constexpr auto request_duration = 120ms;
/// Requests per second that the backend servers can serve.
constexpr double capacity = node_count * slots * 1000.0 / 120;
constexpr double burst_factor = 1.7;
constexpr auto burst_duration = 3s;
constexpr auto settling_time = 5s;
constexpr auto patience = 1500ms;
constexpr auto objective = 400ms;
constexpr auto check_in_interval = 1500ms;

struct burst_case {
    const char* name;
    /// Usual load as a fraction of the capacity.
    double usual_load;
    /// How often a client returns after refusals.
    int max_returns;
    /// Clients return at once instead of at the time that they were told.
    bool impatient;
    /// Backend server 2 takes this many times as long.
    int slow_factor;
};

std::ostream& operator<<(std::ostream& out, const burst_case& scenario)
{
    return out << scenario.name;
}

const std::vector<burst_case> burst_cases{
    {"clients give up", 0.85, 0, false, 1},
    {"clients return once, when told", 0.85, 1, false, 1},
    {"clients return twice, when told", 0.85, 2, false, 1},
    {"clients return three times, at once", 0.85, 3, true, 1},
    {"one slow backend server", 0.70, 1, false, 2},
};

/// Clients that send requests at a changing rate and return after a refusal.
class client_crowd {
public:
    client_crowd(simulated_mesh& net, const burst_case& scenario)
        : net_(net), scenario_(scenario), random_(11)
    {
    }

    /// Sends requests at `rate` a second for `span`; each id starts with `prefix`.
    void send(double rate, duration span, const std::string& prefix)
    {
        std::exponential_distribution<double> gap(rate);
        std::uniform_int_distribution<std::size_t> any_node(0, node_count - 1);
        const auto end = net_.now() + span;
        int sent = 0;
        while (net_.now() < end) {
            check_in_when_due();
            first_attempt(any_node(random_), prefix + std::to_string(sent++));
            net_.run_for(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_))));
            return_refused();
        }
    }

    /// Requests with the prefix that ended without success.
    int unserved(const std::string& prefix) const
    {
        return static_cast<int>(std::count_if(clients_.begin(), clients_.end(), [&](auto& entry) {
            return entry.first.starts_with(prefix) && entry.second.ended && !entry.second.served;
        }));
    }

private:
    struct client {
        std::size_t node = 0;
        time_point deadline;
        int returns = 0;
        bool ended = false;
        bool served = false;
        std::optional<time_point> returns_at;
    };

    void first_attempt(std::size_t node, const std::string& id)
    {
        auto& entry = clients_[id];
        entry.node = node;
        entry.deadline = net_.now() + patience;
        attempt(id);
    }

    void attempt(const std::string& id)
    {
        auto& entry = clients_.at(id);
        const auto name = id + "/" + std::to_string(entry.returns);
        open_[name] = id;
        net_.send(entry.node, name,
                  std::chrono::duration_cast<milliseconds>(entry.deadline - net_.now()));
    }

    void return_refused()
    {
        for (auto open = open_.begin(); open != open_.end();) {
            const auto result = net_.results().find(open->first);
            if (result == net_.results().end()) {
                ++open;
                continue;
            }
            on_result(clients_.at(open->second), result->second);
            open = open_.erase(open);
        }
        for (auto& [id, entry] : clients_) {
            if (entry.returns_at && *entry.returns_at <= net_.now()) {
                entry.returns_at.reset();
                ++entry.returns;
                attempt(id);
            }
        }
    }

    void on_result(client& entry, const client_result& result)
    {
        const auto left = entry.deadline - net_.now();
        const duration told = result.retry_after.value_or(0ms);
        const bool returns = result.status == 503 && entry.returns < scenario_.max_returns &&
                             (scenario_.impatient || told <= left / 3);
        if (returns) {
            entry.returns_at = net_.now() + (scenario_.impatient ? duration{} : told);
            return;
        }
        entry.ended = true;
        entry.served = result.status == 200;
    }

    void check_in_when_due()
    {
        if (net_.now() < next_check_in_) {
            return;
        }
        for (std::size_t i = 0; i < node_count; ++i) {
            net_.check_in(i);
        }
        next_check_in_ = net_.now() + check_in_interval;
    }

    simulated_mesh& net_;
    const burst_case& scenario_;
    std::mt19937 random_;
    time_point next_check_in_{};
    std::map<std::string, client> clients_;
    /// Client of each attempt without a result, by the attempt's id.
    std::map<std::string, std::string> open_;
};

} // namespace

BOOST_DATA_TEST_CASE(leaves_the_overload_when_the_load_is_usual_again,
                     boost::unit_test::data::make(burst_cases), scenario)
{
    simulated_mesh net(node_count);
    net.configure(true, patience, objective);
    for (std::size_t i = 0; i < node_count; ++i) {
        net.app(i).slots = slots;
        net.app(i).work = request_duration;
        net.check_in(i);
    }
    net.app(2).work = request_duration * scenario.slow_factor;
    net.run_for(200ms);
    client_crowd clients(net, scenario);
    const double usual = capacity * scenario.usual_load;
    clients.send(usual, 3s, "before");
    clients.send(usual * burst_factor, burst_duration, "burst");
    clients.send(usual, settling_time, "settling");
    clients.send(usual, 5s, "after");
    BOOST_TEST_MESSAGE("not served: before " << clients.unserved("before") << ", burst "
                                             << clients.unserved("burst") << ", settling "
                                             << clients.unserved("settling") << ", after "
                                             << clients.unserved("after"));
    BOOST_TEST(clients.unserved("burst") > 0);
    BOOST_TEST(clients.unserved("after") == 0);
}
