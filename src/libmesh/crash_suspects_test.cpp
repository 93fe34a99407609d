// What a mesh makes of ends of backend servers, whatever order it hears of them in.
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

request_print print(std::uint64_t content, const std::string& caller = "a")
{
    return {content, service_id{caller}};
}

backend_life life(int number)
{
    return {backend_id{"b" + std::to_string(number)}, number};
}

/// One thing that some owner sees.
struct sight {
    enum class kind : std::uint8_t { end, answered, alive } what;
    /// Of the backend server, for an end and for one that lives.
    int number = 0;
    std::string caller = "a";
};
constexpr auto end = sight::kind::end;
constexpr auto answered = sight::kind::answered;
constexpr auto alive = sight::kind::alive;

struct verdict_case {
    const char* name;
    std::vector<sight> sights;
    std::string caller;
    bool is_quarantined;
};

std::ostream& operator<<(std::ostream& out, const verdict_case& item)
{
    return out << item.name;
}

const std::vector<verdict_case> verdict_cases{
    {"two ends", {{end, 1}, {end, 2}}, "a", false},
    {"three ends", {{end, 1}, {end, 2}, {end, 3}}, "a", true},
    {"one end told three times", {{end, 1}, {end, 1}, {end, 1}}, "a", false},
    {"three ends for another caller", {{end, 1}, {end, 2}, {end, 3}}, "b", true},
    {"three ends, and another caller got an answer",
     {{end, 1}, {end, 2}, {end, 3}, {end, 4, "b"}, {answered, 0, "b"}},
     "b",
     false},
    {"the same for the caller of the three",
     {{end, 1}, {end, 2}, {end, 3}, {end, 4, "b"}, {answered, 0, "b"}},
     "a",
     true},
    {"three ends for three callers", {{end, 1, "a"}, {end, 2, "b"}, {end, 3, "c"}}, "d", true},
    {"an answer behind two ends", {{end, 1}, {end, 2}, {answered}, {end, 3}, {end, 4}}, "a", false},
    {"three ends behind an answer",
     {{end, 1}, {answered}, {end, 2}, {end, 3}, {end, 4}},
     "a",
     true},
    {"one of three had not ended", {{end, 1}, {end, 2}, {end, 3}, {alive, 2}}, "a", false},
};

/// Every owner has seen one thing: what each would tell the others.
std::vector<mesh_wire::crash_report> told_by_owners(const verdict_case& item)
{
    std::vector<mesh_wire::crash_report> out;
    crash_suspects all;
    // Answers are older than the memory of answered requests by the time of the next end.
    auto now = start;
    for (const auto& sight : item.sights) {
        now += 1ms;
        const auto about = print(7, sight.caller);
        switch (sight.what) {
        case sight::kind::end: {
            crash_suspects owner;
            out.push_back(owner.note_end(life(sight.number), {about}, now));
            all.merge(out.back(), now);
            break;
        }
        case sight::kind::answered:
            out.push_back(all.note_answered(about, now));
            break;
        case sight::kind::alive:
            out.push_back(all.note_alive(life(sight.number), now));
            break;
        }
    }
    return out;
}

} // namespace

BOOST_DATA_TEST_CASE(nodes_agree_in_whatever_order_they_hear_of_ends,
                     boost::unit_test::data::make(verdict_cases), item)
{
    const auto told = told_by_owners(item);
    std::vector<std::size_t> order(told.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    do {
        crash_suspects heard;
        for (const auto i : order) {
            heard.merge(told[i], start + 1s);
            heard.merge(told[i], start + 1s);
        }
        // A node that is told by this one knows the same.
        crash_suspects later;
        later.merge(heard.report(start + 2s), start + 2s);
        for (const auto* who : {&heard, &later}) {
            const auto left = who->quarantined_for(print(7, item.caller), start + 2s);
            BOOST_TEST(left.has_value() == item.is_quarantined);
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends_some_time_after_the_last_end)
{
    crash_suspects held;
    for (int i = 1; i <= 3; ++i) {
        held.note_end(life(i), {print(7)}, start + i * 1min);
    }
    const auto last = start + 3min;
    BOOST_TEST((held.quarantined_for(print(7), last) == crash_suspects::memory));
    BOOST_TEST(
        held.quarantined_for(print(7), last + crash_suspects::memory - 2min - 1ms).has_value());
    held.expire(last + crash_suspects::memory);
    BOOST_TEST(held.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_was_answered_lately_is_no_suspect)
{
    crash_suspects held;
    held.note_answered(print(7), start);
    BOOST_TEST(held.note_end(life(1), {print(7), print(8)}, start + 5s).ends.size() == 1U);
    BOOST_TEST(held.ends(print(7)) == 0U);
    BOOST_TEST(held.ends(print(8)) == 1U);
    // Long after its last answer it is one again.
    held.note_end(life(2), {print(7)}, start + 10 * crash_suspects::answered_memory);
    BOOST_TEST(held.ends(print(7)) == 1U);
}

BOOST_AUTO_TEST_CASE(many_ends_leave_a_bounded_memory_in_which_a_quarantine_stays)
{
    constexpr std::size_t most_bytes = 32'768;
    crash_suspects held;
    for (int i = 1; i <= 3; ++i) {
        held.note_end(life(i), {print(7)}, start);
    }
    for (int i = 4; i < 1'000; ++i) {
        std::vector<request_print> running;
        for (std::uint64_t slot = 0; slot < 12; ++slot) {
            running.push_back(print(1'000 + static_cast<std::uint64_t>(i) * 12 + slot));
        }
        held.note_end(life(i), running, start + i * 1ms);
    }
    BOOST_TEST(held.quarantined_for(print(7), start + 1s).has_value());
    std::size_t bytes = 0;
    for (const auto& item : held.report(start + 1s).ends) {
        bytes += sizeof(std::int64_t) * 3 + item.backend.size() + item.caller_service.size();
    }
    BOOST_TEST(bytes <= most_bytes);
}

BOOST_AUTO_TEST_CASE(who_answered_a_request_lately_clears_it_for_all)
{
    crash_suspects answering;
    crash_suspects seeing;
    crash_suspects other;
    answering.note_answered(print(7), start);
    const auto told = seeing.note_end(life(1), {print(7), print(8)}, start + 5s);
    BOOST_TEST(other.merge(told, start + 5s).contradicted.ends.empty());
    const auto back = answering.merge(told, start + 5s).contradicted;
    BOOST_TEST(back.ends.size() == 1U);
    BOOST_TEST(answering.ends(print(7)) == 0U);
    // The node that saw the end tells all others, once.
    const auto cleared = seeing.merge(back, start + 5s).cleared;
    BOOST_TEST(cleared.ends.size() == 1U);
    BOOST_TEST(seeing.merge(back, start + 5s).cleared.ends.empty());
    BOOST_TEST(other.merge(cleared, start + 5s).cleared.ends.empty());
    for (const auto* who : {&seeing, &other}) {
        BOOST_TEST(who->ends(print(7)) == 0U);
        BOOST_TEST(who->ends(print(8)) == 1U);
    }
}

struct odd_end {
    const char* name;
    std::int64_t content;
    std::int64_t age_ms;
};

std::ostream& operator<<(std::ostream& out, const odd_end& item)
{
    return out << item.name;
}

const std::vector<odd_end> odd_ends{
    {"no print", 0, 0},
    {"an end to come", 7, -1},
    {"long ago", 7, 600'000},
    {"older than clocks count", 7, std::numeric_limits<std::int64_t>::max()},
    {"later than clocks count", 7, std::numeric_limits<std::int64_t>::min()},
};

BOOST_DATA_TEST_CASE(ends_that_make_no_sense_are_left_out, boost::unit_test::data::make(odd_ends),
                     item)
{
    mesh_wire::crash_report report;
    for (int i = 0; i < 3; ++i) {
        mesh_wire::backend_end told;
        told.__set_content_print(item.content);
        told.__set_caller_service("a");
        told.__set_backend("b" + std::to_string(i));
        told.__set_age_ms(item.age_ms);
        report.ends.push_back(told);
    }
    crash_suspects held;
    held.merge(report, start);
    BOOST_TEST(held.empty());
}
