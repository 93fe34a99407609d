// Tests of the stand-in platform table and of the parsers for requests and faults.
#define BOOST_TEST_MODULE standin
#include <boost/test/unit_test.hpp>

#include "libcamphor/test_damage.h"
#include "standins/backend_fault.h"
#include "standins/platform_service.h"
#include "standins/platform_table.h"

#include <camphortally/error.h>

namespace {

using namespace camphor;
using namespace camphor::standin;

} // namespace

BOOST_AUTO_TEST_CASE(transaction_is_atomic)
{
    platform_table table;
    const rows_transaction first{{{"t", "a", 0}}, {{"t", "a", "1"}, {"t", "b", "2"}}};
    BOOST_TEST(table.transact(first));
    BOOST_TEST(!table.transact(first));
    const auto version = table.current_rows({{"t", "a", 0}}).rows.front().version;
    BOOST_TEST(!table.transact(
        {{{"t", "a", version}, {"t", "b", version + 1}}, {{"t", "a", std::nullopt}}}));
    BOOST_TEST(table.row_count() == 2U);
    BOOST_TEST(table.transact({{{"t", "a", version}}, {{"t", "a", std::nullopt}}}));
    BOOST_TEST(table.row_count() == 1U);
}

BOOST_AUTO_TEST_CASE(read_returns_ordered_range_of_one_table)
{
    platform_table table;
    table.transact({{}, {{"t", "x3", "c"}, {"t", "x1", "a"}, {"t", "x2", "b"}, {"u", "x0", "z"}}});
    BOOST_TEST(table.read("t", {}).rows.size() == 3U);
    const auto limited = table.read("t", {"x1", "x3", 1});
    BOOST_REQUIRE_EQUAL(limited.rows.size(), 1U);
    BOOST_TEST(limited.rows.front().key == "x1");
    BOOST_TEST(limited.truncated);
}

BOOST_AUTO_TEST_CASE(changes_are_ordered_and_unique_and_end_with_dropped_history)
{
    platform_table table;
    table.transact({{}, {{"t", "a", "1"}, {"t", "b", "1"}}});
    const auto after = table.version();
    table.transact({{}, {{"t", "b", "2"}}});
    table.transact({{}, {{"t", "a", std::nullopt}}});
    table.transact({{}, {{"t", "b", "3"}, {"u", "c", "1"}}});
    const auto changes = table.changes("t", after);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE_EQUAL(changes->rows.size(), 2U);
    BOOST_TEST(changes->rows.front().removed);
    BOOST_TEST(changes->rows.back().value == "3");
    table.drop_history();
    BOOST_TEST(!table.changes("t", after).has_value());
    BOOST_TEST(table.changes("t", table.version()).has_value());
    BOOST_TEST(!table.changes("t", table.version() + 1).has_value());
}

BOOST_AUTO_TEST_CASE(malformed_transaction_is_parsed_or_rejected)
{
    BOOST_TEST(test::survives_damage<invalid_input>(
        R"({"expect":[{"table":"t","part":"","key":"a","ver":0}],
            "writes":[{"table":"t","part":"","key":"a","value":"eA=="}],
            "deletes":[{"table":"t","part":"","key":"b"}]})",
        [](const std::string& text) { parse_transaction(text); }));
}

BOOST_AUTO_TEST_CASE(transaction_over_entry_limit_is_rejected)
{
    std::string entries;
    for (int i = 0; i < 101; ++i) {
        entries += (i == 0 ? "" : ",") + std::string(R"({"table":"t","part":"","key":"a"})");
    }
    BOOST_CHECK_THROW(parse_transaction(R"({"expect":[],"writes":[],"deletes":[)" + entries + "]}"),
                      invalid_input);
}

BOOST_AUTO_TEST_CASE(malformed_platform_fault_is_parsed_or_rejected)
{
    BOOST_TEST(test::survives_damage<invalid_input>(
        R"({"mode":"slow","for_ms":100,"latency_ms":20,"ratio":0.5})",
        [](const std::string& text) { parse_platform_fault(text); }));
}

BOOST_AUTO_TEST_CASE(malformed_backend_fault_is_parsed_or_rejected)
{
    BOOST_TEST(test::survives_damage<invalid_input>(
        R"({"release":"r2","route":"/a","error_ratio":0.3,"added_latency_ms":20,"after_s":1.5,
            "above_rps":10,"crash_on_header":"X-A","health_lies":true})",
        [](const std::string& text) { parse_backend_fault(text); }));
}
