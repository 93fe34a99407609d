// What changes in a settings file mean for a running node.
#define BOOST_TEST_MODULE mesh_settings
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libmesh/mesh_settings.h"

#include <functional>
#include <ostream>

namespace camphor::mesh {

namespace {

using namespace std::chrono_literals;

struct change_case {
    const char* name;
    std::function<void(mesh_settings&)> edit;
    bool bounds;
    bool store;
    std::vector<std::string> at_restart;
};

std::ostream& operator<<(std::ostream& out, const change_case& item)
{
    return out << item.name;
}

const std::vector<change_case> change_cases{
    {"nothing", [](mesh_settings&) {}, false, false, {}},
    {"a time", [](mesh_settings& set) { set.bounds.drain_timeout = 9s; }, true, false, {}},
    {"a ratio", [](mesh_settings& set) { set.bounds.retry_ratio = 0.7; }, true, false, {}},
    {"the store's port", [](mesh_settings& set) { set.store.port = 9; }, false, true, {}},
    {"the store and a limit",
     [](mesh_settings& set) {
         set.store.host = "10.0.0.9";
         set.bounds.retry_extra = 3;
     },
     true,
     true,
     {}},
    {"addresses",
     [](mesh_settings& set) {
         set.outbound.port = 9;
         set.ready.host = "10.0.0.9";
     },
     false,
     false,
     {"outbound", "ready"}},
    {"another service",
     [](mesh_settings& set) { set.service = service_id{"t"}; },
     false,
     false,
     {"service"}},
};

} // namespace

BOOST_DATA_TEST_CASE(tells_what_changed, boost::unit_test::data::make(change_cases), item)
{
    mesh_settings held;
    held.service = service_id{"s"};
    auto wanted = held;
    item.edit(wanted);
    const auto change = compare(held, wanted);
    BOOST_TEST(change.bounds == item.bounds);
    BOOST_TEST(change.store == item.store);
    BOOST_TEST(change.at_restart == item.at_restart, boost::test_tools::per_element());
}

} // namespace camphor::mesh
