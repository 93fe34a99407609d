// Tests which changes of a settings file apply at once and which require a restart.
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

std::ostream& operator<<(std::ostream& out, const change_case& sample)
{
    return out << sample.name;
}

const std::vector<change_case> change_cases{
    {"nothing", [](mesh_settings&) {}, false, false, {}},
    {"a duration",
     [](mesh_settings& settings) { settings.bounds.drain_timeout = 9s; },
     true,
     false,
     {}},
    {"a ratio",
     [](mesh_settings& settings) { settings.bounds.retry_ratio = 0.7; },
     true,
     false,
     {}},
    {"the store's port", [](mesh_settings& settings) { settings.store.port = 9; }, false, true, {}},
    {"the store and a limit",
     [](mesh_settings& settings) {
         settings.store.host = "10.0.0.9";
         settings.bounds.retry_extra = 3;
     },
     true,
     true,
     {}},
    {"addresses",
     [](mesh_settings& settings) {
         settings.outbound.port = 9;
         settings.ready.host = "10.0.0.9";
     },
     false,
     false,
     {"outbound", "ready"}},
    {"the service",
     [](mesh_settings& settings) { settings.service = service_id{"t"}; },
     false,
     false,
     {"service"}},
};

} // namespace

BOOST_DATA_TEST_CASE(reports_the_changed_settings, boost::unit_test::data::make(change_cases),
                     sample)
{
    mesh_settings current;
    current.service = service_id{"s"};
    auto updated = current;
    sample.edit(updated);
    const auto change = compare_settings(current, updated);
    BOOST_TEST(change.bounds == sample.bounds);
    BOOST_TEST(change.store == sample.store);
    BOOST_TEST(change.at_restart == sample.at_restart, boost::test_tools::per_element());
}

} // namespace camphor::mesh
