// Tests that nodes agree on quarantined requests in whatever order crash reports arrive, and that
// answers clear requests.
#define BOOST_TEST_MODULE crash_suspects
#include "libmesh/crash_suspects.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <ostream>
#include <string>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

request_fingerprint make_fingerprint(std::uint64_t content, const std::string& caller = "a")
{
    return {content, service_id{caller}};
}

backend_incarnation make_incarnation(int number)
{
    return {backend_id{"b" + std::to_string(number)}, number};
}

/// One observation by the node beside some backend server.
struct observation {
    enum class kind : std::uint8_t { crash, answered, alive } type;
    /// Number of the backend server, for `crash` and `alive`.
    int backend_number = 0;
    std::string caller = "a";
};
constexpr auto crash = observation::kind::crash;
constexpr auto answered = observation::kind::answered;
constexpr auto alive = observation::kind::alive;

struct quarantine_case {
    const char* name;
    std::vector<observation> observations;
    std::string caller;
    bool is_quarantined;
};

std::ostream& operator<<(std::ostream& out, const quarantine_case& sample)
{
    return out << sample.name;
}

const std::vector<quarantine_case> quarantine_cases{
    {"two crashes", {{crash, 1}, {crash, 2}}, "a", false},
    {"three crashes", {{crash, 1}, {crash, 2}, {crash, 3}}, "a", true},
    {"one crash reported three times", {{crash, 1}, {crash, 1}, {crash, 1}}, "a", false},
    {"three crashes under another caller", {{crash, 1}, {crash, 2}, {crash, 3}}, "b", true},
    {"three crashes, but another caller was answered: that caller",
     {{crash, 1}, {crash, 2}, {crash, 3}, {crash, 4, "b"}, {answered, 0, "b"}},
     "b",
     false},
    {"three crashes, but another caller was answered: the first caller",
     {{crash, 1}, {crash, 2}, {crash, 3}, {crash, 4, "b"}, {answered, 0, "b"}},
     "a",
     true},
    {"three crashes under three callers",
     {{crash, 1, "a"}, {crash, 2, "b"}, {crash, 3, "c"}},
     "d",
     true},
    {"an answer after two of four crashes",
     {{crash, 1}, {crash, 2}, {answered}, {crash, 3}, {crash, 4}},
     "a",
     false},
    {"three crashes after an answer",
     {{crash, 1}, {answered}, {crash, 2}, {crash, 3}, {crash, 4}},
     "a",
     true},
    {"one of three backend servers had not crashed",
     {{crash, 1}, {crash, 2}, {crash, 3}, {alive, 2}},
     "a",
     false},
};

/// Reports that the nodes would send, each after one observation.
std::vector<mesh_wire::crash_report> reports_of(const quarantine_case& sample)
{
    std::vector<mesh_wire::crash_report> out;
    crash_suspects network;
    // A new node records each crash, as if earlier answers had left the memory of answered
    // requests.
    auto now = start;
    for (const auto& observation : sample.observations) {
        now += 1ms;
        const auto fingerprint = make_fingerprint(7, observation.caller);
        switch (observation.type) {
        case observation::kind::crash: {
            crash_suspects observer;
            out.push_back(observer.record_crash(make_incarnation(observation.backend_number),
                                                {fingerprint}, now));
            network.merge(out.back(), now);
            break;
        }
        case observation::kind::answered:
            out.push_back(network.record_answer(fingerprint, now));
            break;
        case observation::kind::alive:
            out.push_back(network.record_alive(make_incarnation(observation.backend_number), now));
            break;
        }
    }
    return out;
}

} // namespace

BOOST_DATA_TEST_CASE(nodes_agree_whatever_the_order_of_reports,
                     boost::unit_test::data::make(quarantine_cases), sample)
{
    const auto reports = reports_of(sample);
    std::vector<std::size_t> order(reports.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    do {
        crash_suspects receiver;
        for (const auto i : order) {
            receiver.merge(reports[i], start + 1s);
            receiver.merge(reports[i], start + 1s);
        }
        // A node that only receives this node's report reaches the same state.
        crash_suspects second_receiver;
        second_receiver.merge(receiver.report(start + 2s), start + 2s);
        for (const auto* node : {&receiver, &second_receiver}) {
            const auto left =
                node->remaining_quarantine(make_fingerprint(7, sample.caller), start + 2s);
            BOOST_TEST(left.has_value() == sample.is_quarantined);
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends_after_the_retention)
{
    crash_suspects suspects;
    for (int i = 1; i <= 3; ++i) {
        suspects.record_crash(make_incarnation(i), {make_fingerprint(7)}, start + i * 1min);
    }
    const auto last = start + 3min;
    BOOST_TEST(
        (suspects.remaining_quarantine(make_fingerprint(7), last) == crash_suspects::retention));
    BOOST_TEST(suspects
                   .remaining_quarantine(make_fingerprint(7),
                                         last + crash_suspects::retention - 2min - 1ms)
                   .has_value());
    suspects.expire(last + crash_suspects::retention);
    BOOST_TEST(suspects.empty());
}

BOOST_AUTO_TEST_CASE(a_recently_answered_request_is_not_suspected)
{
    crash_suspects suspects;
    suspects.record_answer(make_fingerprint(7), start);
    BOOST_TEST(suspects
                   .record_crash(make_incarnation(1), {make_fingerprint(7), make_fingerprint(8)},
                                 start + 5s)
                   .ends.size() == 1U);
    BOOST_TEST(suspects.crash_count(make_fingerprint(7)) == 0U);
    BOOST_TEST(suspects.crash_count(make_fingerprint(8)) == 1U);
    // Long after its last answer the request is a suspect again.
    suspects.record_crash(make_incarnation(2), {make_fingerprint(7)},
                          start + 10 * crash_suspects::answered_retention);
    BOOST_TEST(suspects.crash_count(make_fingerprint(7)) == 1U);
}

BOOST_AUTO_TEST_CASE(many_crashes_use_bounded_memory_and_keep_a_quarantine)
{
    constexpr std::size_t max_bytes = 32'768;
    crash_suspects suspects;
    for (int i = 1; i <= 3; ++i) {
        suspects.record_crash(make_incarnation(i), {make_fingerprint(7)}, start);
    }
    for (int i = 4; i < 1'000; ++i) {
        std::vector<request_fingerprint> running;
        for (std::uint64_t slot = 0; slot < 12; ++slot) {
            running.push_back(make_fingerprint(1'000 + static_cast<std::uint64_t>(i) * 12 + slot));
        }
        suspects.record_crash(make_incarnation(i), running, start + i * 1ms);
    }
    BOOST_TEST(suspects.remaining_quarantine(make_fingerprint(7), start + 1s).has_value());
    std::size_t bytes = 0;
    for (const auto& entry : suspects.report(start + 1s).ends) {
        bytes += sizeof(std::int64_t) * 3 + entry.backend.size() + entry.caller_service.size();
    }
    BOOST_TEST(bytes <= max_bytes);
}

BOOST_AUTO_TEST_CASE(a_node_that_recently_answered_a_request_clears_it_on_all_nodes)
{
    crash_suspects answering;
    crash_suspects observer;
    crash_suspects other;
    answering.record_answer(make_fingerprint(7), start);
    const auto reported = observer.record_crash(
        make_incarnation(1), {make_fingerprint(7), make_fingerprint(8)}, start + 5s);
    BOOST_TEST(other.merge(reported, start + 5s).contradicted.ends.empty());
    const auto contradicted = answering.merge(reported, start + 5s).contradicted;
    BOOST_TEST(contradicted.ends.size() == 1U);
    BOOST_TEST(answering.crash_count(make_fingerprint(7)) == 0U);
    // The node that observed the crash tells all others, once.
    const auto cleared = observer.merge(contradicted, start + 5s).cleared;
    BOOST_TEST(cleared.ends.size() == 1U);
    BOOST_TEST(observer.merge(contradicted, start + 5s).cleared.ends.empty());
    BOOST_TEST(other.merge(cleared, start + 5s).cleared.ends.empty());
    for (const auto* node : {&observer, &other}) {
        BOOST_TEST(node->crash_count(make_fingerprint(7)) == 0U);
        BOOST_TEST(node->crash_count(make_fingerprint(8)) == 1U);
    }
}

struct invalid_crash {
    const char* name;
    std::int64_t content;
    std::int64_t age_ms;
};

std::ostream& operator<<(std::ostream& out, const invalid_crash& sample)
{
    return out << sample.name;
}

const std::vector<invalid_crash> invalid_crashes{
    {"no fingerprint", 0, 0},
    {"in the future", 7, -1},
    {"older than the retention", 7, 600'000},
    {"largest age", 7, std::numeric_limits<std::int64_t>::max()},
    {"smallest age", 7, std::numeric_limits<std::int64_t>::min()},
};

BOOST_DATA_TEST_CASE(ignores_invalid_crashes, boost::unit_test::data::make(invalid_crashes), sample)
{
    mesh_wire::crash_report report;
    for (int i = 0; i < 3; ++i) {
        mesh_wire::backend_end reported;
        reported.__set_content_print(sample.content);
        reported.__set_caller_service("a");
        reported.__set_backend("b" + std::to_string(i));
        reported.__set_age_ms(sample.age_ms);
        report.ends.push_back(reported);
    }
    crash_suspects suspects;
    suspects.merge(report, start);
    BOOST_TEST(suspects.empty());
}
