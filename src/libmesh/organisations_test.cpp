// Organisations: who is let in, what backend servers are told, and directories that are refused.
#define BOOST_TEST_MODULE organisations
#include "libmesh/test_mesh_net.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <stdexcept>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;
using namespace camphor::mesh::test;

namespace {

constexpr std::size_t node_count = 3;

organisation make_organisation(const std::string& name, std::vector<std::string> keys)
{
    organisation out;
    out.name = organisation_id{name};
    out.keys = std::move(keys);
    return out;
}

struct key_case {
    const char* name;
    const char* target;
    std::optional<std::string> key;
    std::int32_t status;
    /// What the backend server is told; only with status 200.
    const char* stated;
};

std::ostream& operator<<(std::ostream& out, const key_case& sample)
{
    return out << sample.name;
}

const std::vector<key_case> key_cases{
    {"a key", "/p/1", "key-a", 200, "a"},
    {"another key of the same organisation", "/p/1", "key-a2", 200, "a"},
    {"a key of another organisation", "/p/1", "key-b", 200, "b"},
    {"an unknown key", "/p/1", "key-c", 401, ""},
    {"a part of a key", "/p/1", "key-", 401, ""},
    {"an empty key", "/p/1", "", 401, ""},
    {"no key", "/p/1", std::nullopt, 401, ""},
    {"a public route without a key", "/public/1", std::nullopt, 200, ""},
    {"a public route with an unknown key", "/public/1", "key-c", 200, ""},
    {"a public route with a key", "/public/1", "key-a", 200, "a"},
};

} // namespace

BOOST_DATA_TEST_CASE(a_request_needs_a_known_key, boost::unit_test::data::make(key_cases), sample)
{
    simulated_mesh net(node_count);
    net.set_organisations(
        {make_organisation("a", {"key-a", "key-a2"}), make_organisation("b", {"key-b"})});
    net.configure(true);
    // The only backend server is beside another node, so that the request crosses the mesh.
    net.check_in(1);
    net.run_for(100ms);
    net.set_key(sample.key);
    net.send_to(0, "q", sample.target);
    net.run_for(1s);
    BOOST_REQUIRE(net.results().contains("q"));
    BOOST_TEST(net.results().at("q").status == sample.status);
    BOOST_TEST(!net.results().at("q").retry_after);
    BOOST_TEST(net.run_count("q") == (sample.status == 200 ? 1 : 0));
    if (sample.status == 200) {
        BOOST_TEST(net.stated_organisation("q")->value() == sample.stated);
    }
}

BOOST_AUTO_TEST_CASE(keys_are_added_moved_and_taken_away)
{
    simulated_mesh net(node_count);
    net.set_organisations({make_organisation("a", {"key-1", "key-2"})});
    net.configure(true);
    net.check_in(1);
    net.run_for(100ms);
    int sent = 0;
    const auto status_of = [&](const std::string& key) {
        const auto id = "q" + std::to_string(++sent);
        net.set_key(key);
        net.send(0, id);
        net.run_for(300ms);
        return net.results().at(id).status;
    };
    BOOST_TEST(status_of("key-1") == 200);
    BOOST_TEST(status_of("key-3") == 401);
    net.set_organisations({make_organisation("a", {"key-3"}), make_organisation("b", {"key-2"})});
    net.configure(true, 1000ms, 400ms, 2);
    BOOST_TEST(status_of("key-1") == 401);
    BOOST_TEST(status_of("key-3") == 200);
    BOOST_TEST(status_of("key-2") == 200);
    BOOST_TEST(net.stated_organisation("q" + std::to_string(sent))->value() == "b");
}

BOOST_AUTO_TEST_CASE(without_organisations_no_key_is_needed)
{
    simulated_mesh net(node_count);
    net.configure(true);
    net.check_in(1);
    net.run_for(100ms);
    net.send(0, "q");
    net.run_for(300ms);
    BOOST_TEST(net.results().at("q").status == 200);
    BOOST_TEST(net.stated_organisation("q")->value().empty());
}

namespace {

struct directory_case {
    const char* name;
    std::vector<organisation> organisations;
};

std::ostream& operator<<(std::ostream& out, const directory_case& sample)
{
    return out << sample.name;
}

const std::vector<directory_case> directory_cases{
    {"a name twice", {make_organisation("a", {"1"}), make_organisation("a", {"2"})}},
    {"a key of two organisations",
     {make_organisation("a", {"secret"}), make_organisation("b", {"secret"})}},
    {"a key twice in one organisation", {make_organisation("a", {"secret", "secret"})}},
    {"an empty key", {make_organisation("a", {""})}},
};

} // namespace

BOOST_DATA_TEST_CASE(invalid_directories_are_refused, boost::unit_test::data::make(directory_cases),
                     sample)
{
    BOOST_CHECK_EXCEPTION(organisation_directory{sample.organisations}, std::invalid_argument,
                          [](const auto& error) {
                              return std::string(error.what()).find("secret") == std::string::npos;
                          });
}
