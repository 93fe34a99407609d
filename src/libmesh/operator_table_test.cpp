// Guards against configurations that are not passed on, or go back, after the store came back from
// a copy.
#define BOOST_TEST_MODULE operator_table
#include "libmesh/operator_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;

namespace {

mesh_wire::operator_row make_row(store_position written, std::int64_t config_version,
                                 const std::string& document, bool removed = false)
{
    mesh_wire::operator_row row;
    row.__set_key("k");
    row.__set_row_version(written.packed());
    row.__set_config_version(config_version);
    row.__set_document(document);
    row.__set_removed(removed);
    return row;
}

struct order_case {
    const char* name;
    mesh_wire::operator_row known;
    mesh_wire::operator_row found;
    bool taken;
};

std::ostream& operator<<(std::ostream& out, const order_case& sample)
{
    return out << sample.name;
}

const std::vector<order_case> order_cases{
    {"later write", make_row({0, 5}, 0, "a"), make_row({0, 6}, 0, "b"), true},
    {"earlier write", make_row({0, 5}, 0, "a"), make_row({0, 4}, 0, "b"), false},
    {"lower version of a later era", make_row({1, 9}, 0, "a"), make_row({2, 4}, 0, "b"), true},
    {"higher version of an earlier era", make_row({2, 4}, 0, "a"), make_row({1, 9}, 0, "b"), false},
    {"later configuration at a lower version", make_row({0, 9}, 7, "a"), make_row({0, 4}, 8, "b"),
     true},
    {"earlier configuration of a later era", make_row({1, 4}, 7, "a"), make_row({2, 9}, 6, "b"),
     false},
    {"the same configuration, written again", make_row({1, 9}, 7, "a"), make_row({2, 4}, 7, "a"),
     true},
    {"removal of a configuration", make_row({1, 9}, 7, "a"), make_row({2, 4}, 0, "", true), false},
    {"removal of another row", make_row({1, 9}, 0, "a"), make_row({2, 4}, 0, "", true), true},
};

rows_read make_read(std::vector<mesh_wire::operator_row> rows, store_position read_up_to)
{
    return {std::move(rows), read_up_to.packed(), true, true};
}

} // namespace

BOOST_DATA_TEST_CASE(takes_over_newer_rows_only, boost::unit_test::data::make(order_cases), sample)
{
    for (const bool from_store : {true, false}) {
        operator_table tested;
        std::vector<mesh_wire::operator_row> removed;
        tested.read(make_read({sample.known}, {0, 1}), removed);
        mesh_wire::rows_push push;
        push.__set_rows({sample.found});
        rows_read feed{{sample.found}, 1, true, false};
        const auto changes = from_store ? tested.read(feed, removed) : tested.receive(push);
        BOOST_TEST(changes.rows.size() == (sample.taken ? 1U : 0U));
        BOOST_TEST(changes.dropped.size() == (sample.taken ? 0U : 1U));
        BOOST_TEST((tested.all().front() == (sample.taken ? sample.found : sample.known)));
    }
}

BOOST_AUTO_TEST_CASE(a_configuration_outlasts_a_copy_that_lacks_it)
{
    auto other = make_row({1, 6}, 0, "other");
    other.__set_key("other");
    operator_table tested;
    std::vector<mesh_wire::operator_row> removed;
    tested.read(make_read({make_row({1, 5}, 7, "a"), other}, {1, 6}), removed);
    tested.read(make_read({}, {2, 3}), removed);
    BOOST_REQUIRE_EQUAL(removed.size(), 1U);
    BOOST_TEST(removed.front().key == "other");
    BOOST_TEST(tested.all().front().document == "a");
    BOOST_TEST(tested.read_up_to().era() == 2);
    // A read of an earlier era that was under way removes nothing.
    tested.read(make_read({make_row({2, 4}, 0, "b")}, {2, 4}), removed);
    removed.clear();
    tested.read(make_read({}, {1, 9}), removed);
    BOOST_TEST(removed.empty());
}

BOOST_AUTO_TEST_CASE(a_delta_across_eras_gives_the_whole_document)
{
    const std::string base(4'000, 'x');
    operator_table reader;
    operator_table receiver;
    std::vector<mesh_wire::operator_row> removed;
    for (const auto& row :
         {make_row({1, 9}, 7, base), make_row({2, 4}, 8, base + "]y"), make_row({2, 5}, 9, "z")}) {
        mesh_wire::rows_push push;
        push.__set_rows(reader.read({{row}, row.row_version, true, false}, removed).deltas);
        const auto changes = receiver.receive(push);
        BOOST_REQUIRE_EQUAL(changes.rows.size(), 1U);
        BOOST_TEST(changes.rows.front().document == row.document);
        BOOST_TEST(changes.rows.front().config_version == row.config_version);
    }
}
