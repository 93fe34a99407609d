// Tests of call records, scenarios, schedules and latency percentiles.
#define BOOST_TEST_MODULE load_records
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "call_record.h"
#include "latency.h"
#include "scenario.h"

#include <camphortally/error.h>

#include <sstream>

namespace data = boost::unit_test::data;

namespace camphor::load {

BOOST_AUTO_TEST_CASE(call_record_round_trips_through_json)
{
    call_record record;
    record.call_id = "c1";
    record.request_id = "c1-2";
    record.attempt = 2;
    record.key = "k";
    record.result = call_result::refused_not_run;
    record.body = body_status::truncated;
    record.body_hash = 0xFFFFFFFFFFFFFFFFULL;
    std::istringstream in(to_json_line(record) + "\n{\"call\":\"brok");
    const auto read = read_calls(in);
    BOOST_TEST_REQUIRE(read.size() == 1U);
    BOOST_TEST(to_json_line(read.front()) == to_json_line(record));
}

BOOST_AUTO_TEST_CASE(reports_line_number_of_invalid_line)
{
    std::istringstream in("{\"request_id\":\"a\"}\nnonsense\n{\"request_id\":\"b\"}\n");
    BOOST_CHECK_EXCEPTION(read_executions(in), invalid_input, [](const auto& error) {
        return error.faults().front().pointer == "line 2";
    });
}

struct body_case {
    std::string name;
    std::string body;
    body_status expected;
};
std::ostream& operator<<(std::ostream& out, const body_case& sample)
{
    return out << sample.name;
}
const std::vector<body_case> body_cases{
    {"whole", "abcab", body_status::whole},
    {"short", "abca", body_status::truncated},
    {"empty", "", body_status::truncated},
    {"body of another call", "abdab", body_status::crossed},
    {"complete body followed by bytes of another call", "abcabc", body_status::crossed},
};

BOOST_DATA_TEST_CASE(check_body_classifies_bodies, data::make(body_cases), sample)
{
    BOOST_TEST(to_string(check_body("abc", sample.body, 5)) == to_string(sample.expected));
}

struct scenario_case {
    std::string text;
    std::string pointer; // JSON pointer of the first fault
};
std::ostream& operator<<(std::ostream& out, const scenario_case& sample)
{
    return out << sample.text;
}
const std::vector<scenario_case> scenario_cases{
    {R"({})", "/kinds"},
    {R"({"kinds":[]})", "/kinds"},
    {R"({"kinds":[{"path":"x"}]})", "/kinds/0/path"},
    {R"({"kinds":[{"path":"/x","weight":0}]})", "/kinds/0/weight"},
    {R"({"kinds":[{"path":"/x","wieght":1}]})", "/kinds/0/wieght"},
    {R"({"kinds":[{"path":"/x","body_bytes":-1}]})", "/kinds/0/body_bytes"},
    {R"({"kinds":[{"path":"/x","keyed":"yes"}]})", "/kinds"},
};

BOOST_DATA_TEST_CASE(reports_pointer_of_scenario_fault, data::make(scenario_cases), sample)
{
    BOOST_CHECK_EXCEPTION(parse_scenario(sample.text), invalid_input, [&](const auto& error) {
        return error.faults().front().pointer == sample.pointer;
    });
}

BOOST_AUTO_TEST_CASE(schedule_follows_weights_and_rate)
{
    const auto mix =
        parse_scenario(R"({"kinds":[{"path":"/a","weight":3},{"path":"/b","expected_bytes":9}]})");
    BOOST_TEST(mix.kinds.at(1).path == "/b?bytes=9");
    schedule first(mix, 200, 7);
    schedule second(mix, 200, 7);
    constexpr int calls = 4'000;
    int path_a_calls = 0;
    for (int i = 0; i < calls; ++i) {
        const auto& name = first.next_kind().name;
        BOOST_TEST_REQUIRE(name == second.next_kind().name);
        path_a_calls += name == "/a" ? 1 : 0;
    }
    BOOST_TEST(std::abs(path_a_calls - 3'000) < 150);
    BOOST_TEST(first.send_offset(200).count() == 1'000'000'000);
}

BOOST_AUTO_TEST_CASE(percentiles_are_within_one_per_cent)
{
    latency_histogram latency;
    for (int i = 1; i <= 10'000; ++i) {
        latency.add(i / 100.0);
    }
    for (const double q : {0.5, 0.9, 0.99, 0.999}) {
        BOOST_TEST(latency.quantile(q) >= q * 100);
        BOOST_TEST(latency.quantile(q) <= q * 100 * 1.0101);
    }
    BOOST_TEST(latency.quantile(1) == 100.0);
    BOOST_TEST(latency_histogram().quantile(0.99) == 0.0);
}

} // namespace camphor::load
