// Tests that a delta produces the next document, and that it carries little more than the change.
#define BOOST_TEST_MODULE document_delta
#include "libmesh/document_delta.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace camphor::mesh;

namespace {

/// A JSON table of `rows` rows, of which row `changed` has another value; -1: none.
std::string make_table(int rows, int changed, const std::string& version)
{
    std::string out = "{\"version\":\"" + version + "\",\"rows\":[";
    for (int i = 0; i < rows; ++i) {
        out += "[\"r" + std::to_string(i) + (i == changed ? "\",2]," : "\",1],");
    }
    return out + "],\"base\":\"" + version + "\"}";
}

struct delta_case {
    const char* name;
    std::string base;
    std::string next;
    /// Upper bound on the literal text of all parts, in bytes.
    std::size_t max_literal_bytes;
};

std::ostream& operator<<(std::ostream& out, const delta_case& sample)
{
    return out << sample.name;
}

const std::vector<delta_case> delta_cases{
    {"one row changed", make_table(500, -1, "r7"), make_table(500, 250, "r8"), 100},
    {"a row added", make_table(500, -1, "r7"), make_table(501, -1, "r8"), 100},
    {"rows removed", make_table(500, -1, "r7"), make_table(300, -1, "r8"), 100},
    {"nothing changed", make_table(50, -1, "r7"), make_table(50, -1, "r7"), 0},
    {"nothing in common", "abc", "xyz]", 4},
    {"from nothing", "", "x]y", 3},
    {"to nothing", "x]y", "", 0},
    {"repeated rows", "[1],[1],[2],", "[1],[1],[1],[2],", 20},
};

} // namespace

BOOST_DATA_TEST_CASE(applying_the_delta_gives_the_next_document,
                     boost::unit_test::data::make(delta_cases), sample)
{
    const auto parts = make_delta(sample.base, sample.next);
    const auto result = apply_delta(sample.base, parts);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(*result == sample.next);
    std::size_t literal = 0;
    for (const auto& part : parts) {
        literal += part.literal.size();
    }
    BOOST_TEST(literal <= sample.max_literal_bytes);
}

BOOST_AUTO_TEST_CASE(rejects_parts_beyond_the_base)
{
    for (const auto& [first, count] :
         std::vector<std::pair<int, int>>{{-1, 1}, {0, 9}, {9, 0}, {1, -1}}) {
        camphor::mesh_wire::document_part part;
        part.first = first;
        part.count = count;
        BOOST_TEST(!apply_delta("a]b]", {part}).has_value());
    }
}
