// Guards against a crowd of long bodies that together take all memory of a node, and against short
// bodies that are kept out by it.
#define BOOST_TEST_MODULE memory_budget
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libsidecar/memory_budget.h"

#include <ostream>
#include <vector>

using namespace camphor::sidecar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;
constexpr budget_capacity capacity{1'000 * kib, 100 * kib};

struct budget_case {
    const char* name;
    /// Bytes of the bodies in the order of their arrival, and which of them are admitted.
    std::vector<std::size_t> bytes;
    std::vector<bool> admitted;
};

std::ostream& operator<<(std::ostream& out, const budget_case& sample)
{
    return out << sample.name;
}

const std::vector<budget_case> budget_cases{
    {"long bodies up to the capacity", {600 * kib, 400 * kib, 65 * kib}, {true, true, false}},
    {"a single body beyond the capacity", {5'000 * kib, 65 * kib}, {true, false}},
    {"short bodies beside a long one",
     {5'000 * kib, 60 * kib, 40 * kib, 1 * kib},
     {true, true, true, false}},
    {"a long body beside short ones", {60 * kib, 40 * kib, 5'000 * kib}, {true, true, true}},
};

} // namespace

BOOST_DATA_TEST_CASE(admits_bodies_up_to_the_capacity_of_their_kind,
                     boost::unit_test::data::make(budget_cases), sample)
{
    const auto budget = std::make_shared<memory_budget>(capacity);
    std::vector<memory_budget::share_ptr> shares;
    for (std::size_t i = 0; i < sample.bytes.size(); ++i) {
        shares.push_back(budget->open());
        BOOST_TEST(shares.back()->resize(sample.bytes[i]) == sample.admitted[i]);
    }
    shares.clear();
    BOOST_TEST(budget->held_bytes() == 0U);
}

BOOST_DATA_TEST_CASE(only_stalled_holders_give_way, boost::unit_test::data::make({0, 1}), is_kept)
{
    for (const auto stalled_after : {0ms, 3'600'000ms}) {
        const auto budget = std::make_shared<memory_budget>(capacity, stalled_after);
        memory_budget::share_ptr holder = budget->open([&holder] { holder.reset(); });
        BOOST_TEST(holder->resize(900 * kib));
        if (is_kept != 0) {
            holder->keep();
        }
        const bool gives_way = stalled_after == 0ms && is_kept == 0;
        const auto newcomer = budget->open();
        BOOST_TEST(newcomer->resize(500 * kib) == gives_way);
        BOOST_TEST((holder == nullptr) == gives_way);
        BOOST_TEST(budget->evictions() == (gives_way ? 1U : 0U));
        BOOST_TEST(budget->refusals() == (gives_way ? 0U : 1U));
    }
}

BOOST_AUTO_TEST_CASE(a_growing_holder_changes_its_kind)
{
    const auto budget = std::make_shared<memory_budget>(capacity);
    const auto growing = budget->open();
    BOOST_TEST(growing->resize(60 * kib));
    BOOST_TEST(growing->resize(900 * kib));
    const auto small = budget->open();
    BOOST_TEST(small->resize(60 * kib));
    BOOST_TEST(growing->resize(10 * kib));
    BOOST_TEST(budget->held_bytes() == 70 * kib);
    // A refused holder keeps what it had.
    BOOST_TEST(small->resize(1'100 * kib));
    BOOST_TEST(!growing->resize(70 * kib));
    BOOST_TEST(growing->bytes() == 10 * kib);
}
