// A request that ends every backend server which runs it, beside others on its route.
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

constexpr std::size_t nodes = 6;
/// The users' rule: of the arrivals at backend servers so long after the third end, more than three
/// are too many.
constexpr auto contact = 3s;
constexpr std::size_t most_late = 3;
const std::string crash_target = "/p/crash";

struct play {
    bool safe = false;
    /// Between two requests that end backend servers; a round sends `at_once` of them.
    milliseconds pause{350};
    int at_once = 1;
    /// Other requests a second; every `popular_each`th has the same target.
    int others = 30;
    int popular_each = 0;
    milliseconds work{40};
    milliseconds down{800};
    bool silent = false;
    milliseconds ends_after{0};
    duration span = 16s;
    /// Without the crashing request, at the start.
    duration calm{};
};

class crash_play {
public:
    explicit crash_play(const play& wanted) : net(nodes), wanted_(wanted)
    {
        net.configure(wanted.safe, 2000ms, 500ms);
        for (std::size_t i = 0; i < nodes; ++i) {
            auto& app = net.app(i);
            app.ends_by = crash_target;
            app.work = wanted.work;
            app.down = wanted.down;
            app.ends_silently = wanted.silent;
            app.ends_after = wanted.ends_after;
            net.check_in(i);
        }
        net.run_for(500ms);
    }

    void run() { run_for(wanted_.span); }

    void run_for(duration span)
    {
        const auto end = net.now() + span;
        auto next_crash = net.now() + std::exchange(wanted_.calm, duration{});
        while (net.now() < end) {
            if (net.now() >= next_crash) {
                next_crash += wanted_.pause;
                for (int i = 0; i < wanted_.at_once; ++i) {
                    send_crashing();
                }
            }
            const int number = ++others_;
            const bool popular = wanted_.popular_each > 0 && number % wanted_.popular_each == 0;
            const auto id = "o" + std::to_string(number);
            net.send_to(static_cast<std::size_t>(number) % nodes, id,
                        popular ? "/p/popular" : "/p/" + id);
            net.run_for(duration(1s) / wanted_.others);
        }
        net.run_for(3s);
    }

    void send_crashing()
    {
        const int number = ++crashing_;
        net.send_to(static_cast<std::size_t>(number) % nodes, "c" + std::to_string(number),
                    crash_target);
    }

    std::size_t late_ends() const
    {
        const auto& ends = net.ends();
        return ends.size() < 3 ? 0U
                               : static_cast<std::size_t>(
                                     std::count_if(ends.begin(), ends.end(), [&](time_point at) {
                                         return at > ends[2] + contact;
                                     }));
    }

    /// Part of the other requests since the `first`th that were served.
    double served_since(int first)
    {
        int served = 0;
        for (int i = first; i <= others_; ++i) {
            served += net.results()["o" + std::to_string(i)].status == 200 ? 1 : 0;
        }
        return static_cast<double>(served) / std::max(1, others_ - first + 1);
    }

    /// What callers were told "not run" has not run.
    void check_refusals()
    {
        for (const auto& [id, result] : net.results()) {
            if (result.status == 503) {
                BOOST_TEST_CONTEXT(id)
                {
                    BOOST_TEST(net.runs(id) == 0);
                }
            }
        }
    }

    int others() const { return others_; }

    /// Other requests that were taken for the crashing one.
    std::int64_t innocents_refused()
    {
        return std::count_if(net.results().begin(), net.results().end(), [](const auto& entry) {
            return entry.first.front() == 'o' && entry.second.reason == quarantine_reason;
        });
    }

    test_net net;

private:
    play wanted_;
    int others_ = 0;
    int crashing_ = 0;
};

struct crash_case {
    const char* name;
    play wanted;
    std::function<void(test_net&)> trouble = [](test_net&) {
    };
    /// When the trouble strikes.
    duration at = 3s;
};

std::ostream& operator<<(std::ostream& out, const crash_case& item)
{
    return out << item.name;
}

void cut_zone(test_net& net, bool is_cut)
{
    // Zones are dealt round the nodes.
    for (std::size_t i = 0; i < nodes; i += 3) {
        net.cut(i, is_cut);
    }
}

void cut_zone_for_a_while(test_net& net)
{
    cut_zone(net, true);
    net.after(8s, [&net] { cut_zone(net, false); });
}

const std::vector<crash_case> crash_cases{
    {"unsafe, by turns at all nodes", {}},
    {"safe: nodes send it once more themselves", {.safe = true}},
    {"several at once", {.at_once = 4}},
    {"seldom", {.pause = 2500ms}},
    {"beside long requests", {.others = 60, .work = 300ms}},
    {"beside a popular request", {.safe = true, .popular_each = 2, .work = 100ms}},
    {"several at once beside a popular request",
     {.safe = true, .pause = 1070ms, .at_once = 3, .popular_each = 2, .work = 389ms, .calm = 2s}},
    {"backend servers that fall silent", {.silent = true}},
    {"backend servers that are away for long", {.down = 4000ms}},
    {"the node that saw the first ends dies",
     {.pause = 700ms},
     [](test_net& net) {
         net.kill(1);
         net.after(2s, [&net] { net.start_again(1); });
     }},
    {"it runs for a while before", {.ends_after = 700ms}},
    {"it runs for a while before, silently", {.silent = true, .ends_after = 700ms}},
    {"a zone is cut off once it is known", {}, cut_zone_for_a_while},
    {"a zone is cut off before the first end", {}, cut_zone_for_a_while, 0s},
    {"a zone is cut off between two ends", {.pause = 600ms}, cut_zone_for_a_while, 800ms},
    {"a zone is cut off, and it comes slowly", {.pause = 1100ms}, cut_zone_for_a_while, 0s},
    {"a zone is cut off, and the store is away",
     {.pause = 600ms},
     [](test_net& net) {
         cut_zone_for_a_while(net);
         for (std::size_t i = 0; i < nodes; ++i) {
             net.turn_away(i, true);
         }
     },
     0s},
};

} // namespace

BOOST_DATA_TEST_CASE(a_request_that_ends_backend_servers_is_kept_from_them,
                     boost::unit_test::data::make(crash_cases), item)
{
    crash_play day(item.wanted);
    day.net.after(item.at, [&] { item.trouble(day.net); });
    day.run();
    BOOST_TEST(day.net.ends().size() >= 3U);
    BOOST_TEST(day.late_ends() <= most_late);
    day.check_refusals();
    BOOST_TEST(day.innocents_refused() == 0);
}

BOOST_AUTO_TEST_CASE(callers_of_others_are_served_once_the_request_is_kept_away)
{
    crash_play day({});
    day.run_for(8s);
    const auto first = day.others();
    day.run_for(8s);
    BOOST_TEST(day.served_since(first + 1) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_keeps_the_request_away)
{
    crash_play day({});
    day.net.after(1s, [&] { day.net.kill(nodes - 1); });
    day.run_for(6s);
    const auto before = day.net.ends().size();
    day.net.start_again(nodes - 1);
    day.net.run_for(contact);
    day.run_for(6s);
    BOOST_TEST(day.net.ends().size() == before);
}

BOOST_AUTO_TEST_CASE(the_end_of_all_nodes_does_not_bring_the_request_back)
{
    crash_play day({});
    day.run_for(6s);
    const auto before = day.net.ends().size();
    for (std::size_t i = 0; i < nodes; ++i) {
        day.net.kill(i);
    }
    day.net.run_for(1s);
    for (std::size_t i = 0; i < nodes; ++i) {
        day.net.start_again(i);
    }
    day.net.run_for(contact);
    day.run_for(6s);
    BOOST_TEST(day.net.ends().size() == before);
}

struct calm_case {
    const char* name;
    play wanted;
    /// Between two ends of backend servers, all of them by turns.
    duration between;
    int at_once = 1;
};

std::ostream& operator<<(std::ostream& out, const calm_case& item)
{
    return out << item.name;
}

const std::vector<calm_case> calm_cases{
    {"one after the other", {.safe = true, .popular_each = 3, .work = 100ms}, 1s},
    {"in quick succession", {.safe = true, .popular_each = 3, .work = 100ms}, 300ms},
    {"half at once, a popular request on all",
     {.safe = true, .others = 120, .popular_each = 1, .work = 100ms},
     2s,
     nodes / 2},
    {"all at once", {.safe = true, .others = 120, .popular_each = 1, .work = 100ms}, 3s, nodes},
    {"unsafe", {.popular_each = 2, .work = 100ms}, 500ms},
    {"silently", {.safe = true, .popular_each = 3, .work = 100ms, .silent = true}, 1s},
};

void end_by_turns(test_net& net, const calm_case& item)
{
    for (int round = 1; item.between * round < item.wanted.span; ++round) {
        net.after(item.between * round, [&net, at_once = item.at_once, round] {
            for (int i = 0; i < at_once; ++i) {
                net.end_app(static_cast<std::size_t>(round * at_once + i) % nodes);
            }
        });
    }
}

BOOST_DATA_TEST_CASE(backend_servers_that_end_of_their_own_bring_no_request_into_quarantine,
                     boost::unit_test::data::make(calm_cases), item)
{
    auto wanted = item.wanted;
    wanted.pause = 1h;
    crash_play day(wanted);
    for (std::size_t i = 0; i < nodes; ++i) {
        day.net.app(i).ends_by.clear();
    }
    end_by_turns(day.net, item);
    day.run();
    BOOST_TEST(day.net.refusals(quarantine_reason) == 0U);
}

BOOST_AUTO_TEST_CASE(requests_that_found_nothing_listening_are_no_suspects)
{
    test_net net(nodes);
    net.configure(true, 2000ms, 500ms);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.check_in(i);
        // Nobody has noticed yet.
        net.app(i).crashed = true;
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        net.send_to(i, "first" + std::to_string(i), "/p/same");
    }
    net.run_for(3s);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.app(i).crashed = false;
        net.check_in(i);
    }
    net.run_for(1s);
    net.send_to(0, "second", "/p/same");
    net.run_for(3s);
    BOOST_TEST(net.results().at("second").status == 200);
    BOOST_TEST(net.refusals(quarantine_reason) == 0U);
}
