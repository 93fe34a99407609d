// Damaged documents: read or refused by invalid_input, never anything else.
#define BOOST_TEST_MODULE bad_document
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <camphortally/change_writer.h>
#include <camphortally/resource.h>
#include <camphortally/roster_rows.h>

#include "test_damage.h"
#include "test_resources.h"

namespace {

using namespace camphor;

const std::vector<std::string> resources{
    R"({"kind":"service","name":"desk","revision":3,"spec":{"release":"r1","priority":"high"}})",
    R"({"kind":"upstream","name":"desk-r1","spec":{"service":"desk","release":"r1","slots":12}})",
    R"({"kind":"route","name":"all","spec":{"path_prefix":"/","service":"desk","timeout_ms":5,
        "headers":{"x-a":"b"},"require_key":true}})",
    R"({"kind":"move","name":"m","spec":{"service":"desk","from_release":"r1","to_release":"r2",
        "deadline":"2026-12-31T18:00:00.5Z","soak_ms":100},"status":{"phase":"progressing",
        "share_permille":50,"stage":2,"holder":"n","evidence":"{}","changed_at":"x"}})",
};

const std::string roster_text = R"({"zone":"z","host":"10.0.0.8","port":7620,"at":17})";

} // namespace

BOOST_DATA_TEST_CASE(a_damaged_resource_is_read_or_refused, boost::unit_test::data::make(resources),
                     whole)
{
    BOOST_TEST(test::survives_damage<invalid_input>(whole, [](const std::string& text) {
        const auto read = parse_resource(text);
        RC_ASSERT(to_json(parse_resource(to_json(read))) == to_json(read));
    }));
}

BOOST_DATA_TEST_CASE(a_damaged_change_record_is_read_or_refused,
                     boost::unit_test::data::make(resources), whole)
{
    const auto record = to_record(test::change_of(7, whole));
    BOOST_TEST(test::survives_damage<invalid_input>(
        record, [](const std::string& text) { parse_change_record(text); }));
}

BOOST_DATA_TEST_CASE(an_odd_relay_row_is_refused,
                     boost::unit_test::data::make({"70000", "-1", "0", "4294967297", "1e300", "7.5",
                                                   "\"7620\"", "null", "[[[[]]]]"}),
                     port)
{
    auto text = roster_text;
    const std::string good = "7620";
    BOOST_TEST(parse_roster_row(text).address.port == 7620);
    text.replace(text.find(good), good.size(), port);
    BOOST_CHECK_THROW(parse_roster_row(text), invalid_input);
}

BOOST_AUTO_TEST_CASE(a_damaged_relay_row_is_read_or_refused)
{
    BOOST_TEST(test::survives_damage<invalid_input>(
        roster_text, [](const std::string& text) { parse_roster_row(text); }));
}
