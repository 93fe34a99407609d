// Allowances of organisations over many nodes: a small fake of the links between gates and the
// lender, in virtual time. Compares lent shares with simpler ways to split an allowance.
#define BOOST_TEST_MODULE allowances
#include "libmesh/allowances.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <ostream>
#include <random>

using namespace camphor;
using namespace camphor::mesh;

namespace {

using namespace std::chrono_literals;

/// The usual load of an organisation is below its allowance by this factor.
constexpr double headroom = 1.6;
constexpr double hot_factor = 7.5;
constexpr auto step = 5ms;
constexpr auto link_delay = 5ms;
constexpr auto report_interval = 200ms;
constexpr auto window = 5s;
constexpr double tolerance = 20;
/// Most requests that may be let in within the window, as the operators set it, of an organisation
/// with this rate and a burst of one second.
constexpr double most_in_window(double rate)
{
    return rate * 6 * 1.1 + tolerance;
}

/// Splits an allowance over the nodes.
enum class split : std::uint8_t { lent, equal_parts };

/// Nodes in a row, of which the first reachable one is the lender.
class fleet {
public:
    fleet(std::size_t nodes, split way, double rate)
        : way_(way), nodes_(nodes), organisations_({{organisation_id{"o"}, 0, rate, rate, {"k"}}})
    {
        for (auto& entry : nodes_) {
            entry.gate = allowance_gate(now_);
            entry.ledger.set_tolerance(tolerance);
        }
    }

    struct node_state {
        allowance_gate gate;
        allowance_ledger ledger;
        bool alive = true;
        bool cut_off = false;
        time_point next_report{};
    };
    struct grant {
        time_point at;
        std::size_t to = 0;
        time_point sent_at;
        std::vector<organisation_share> shares;
    };

    node_state& node(std::size_t i) { return nodes_.at(i); }
    void restart(std::size_t i)
    {
        nodes_.at(i).gate = allowance_gate(now_);
        nodes_.at(i).ledger = {};
        nodes_.at(i).ledger.set_tolerance(tolerance);
    }

    /// Sends `per_second` requests to nodes chosen by `choose`, for `span`.
    void run(duration span, double per_second, const std::function<std::size_t(double)>& choose)
    {
        std::poisson_distribution<int> arrivals(per_second *
                                                std::chrono::duration<double>(step).count());
        std::uniform_real_distribution<double> fraction(0, 1);
        for (const auto end = now_ + span; now_ < end; now_ += step) {
            for (int left = arrivals(random_); left > 0; --left) {
                auto& target = nodes_.at(choose(fraction(random_)));
                if (!target.alive) {
                    continue;
                }
                ++asked_;
                const auto* entry = organisations_.find(organisation_id{"o"});
                if (target.gate.refuse(*entry, nodes_.size(), fraction(random_), now_)) {
                    ++refused_;
                } else {
                    admitted_.push_back(now_);
                }
            }
            exchange();
        }
    }

    int take_asked() { return std::exchange(asked_, 0); }
    int take_refused() { return std::exchange(refused_, 0); }
    /// Most requests that were let in within any window.
    std::size_t worst_window() const
    {
        std::size_t worst = 0;
        for (auto first = admitted_.begin(); first != admitted_.end(); ++first) {
            const auto last = std::lower_bound(first, admitted_.end(), *first + window);
            worst = std::max(worst, static_cast<std::size_t>(last - first));
        }
        return worst;
    }

private:
    void exchange()
    {
        if (way_ == split::equal_parts) {
            for (auto& entry : nodes_) {
                entry.gate.expire();
            }
            return;
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            auto& from = nodes_[i];
            if (!from.alive || now_ < from.next_report) {
                continue;
            }
            from.next_report = now_ + report_interval;
            const auto lender = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& other) {
                return other.alive && (&other == &from || (!other.cut_off && !from.cut_off));
            });
            const node_id name{"n" + std::to_string(i)};
            grants_.push_back({now_ + link_delay * 2, i, now_,
                               lender->ledger.on_report(name, from.gate.take_usage(),
                                                        organisations_, nodes_.size(), now_)});
        }
        while (!grants_.empty() && grants_.front().at <= now_) {
            const auto& next = grants_.front();
            nodes_.at(next.to).gate.on_grants(next.shares, next.sent_at);
            grants_.pop_front();
        }
    }

    split way_;
    std::vector<node_state> nodes_;
    organisation_directory organisations_;
    std::deque<grant> grants_;
    std::vector<time_point> admitted_;
    std::mt19937 random_{5};
    time_point now_{std::chrono::hours(1)};
    int asked_ = 0;
    int refused_ = 0;
};

struct load_case {
    const char* name;
    std::size_t nodes;
    split way;
    double rate;
    /// All requests of the organisation arrive at the first of so many parts of the nodes.
    std::size_t parts;
    /// Refused below the allowance, of what was asked.
    double max_refused;
};

std::ostream& operator<<(std::ostream& out, const load_case& sample)
{
    return out << sample.name;
}

const std::vector<load_case> load_cases{
    {"3 nodes", 3, split::lent, 200, 1, 0},
    {"71 nodes", 71, split::lent, 200, 1, 0},
    {"71 nodes, a small organisation", 71, split::lent, 10, 1, 0},
    {"300 nodes", 300, split::lent, 200, 1, 0},
    {"71 nodes, clients at a third of them", 71, split::lent, 200, 3, 0},
    {"71 nodes, clients at one of them", 71, split::lent, 200, 71, 0},
    {"baseline: equal parts, 71 nodes", 71, split::equal_parts, 200, 1, 1},
    {"baseline: equal parts, clients at a third of 71", 71, split::equal_parts, 200, 3, 1},
};

} // namespace

BOOST_DATA_TEST_CASE(usual_load_is_let_in_and_too_much_is_not,
                     boost::unit_test::data::make(load_cases), sample)
{
    fleet all(sample.nodes, sample.way, sample.rate);
    const auto choose = [&](double fraction) {
        return static_cast<std::size_t>(fraction * static_cast<double>(sample.nodes) /
                                        static_cast<double>(sample.parts));
    };
    const double usual = sample.rate / headroom;
    all.run(10s, usual, choose);
    const double refused_usual =
        static_cast<double>(all.take_refused()) / static_cast<double>(all.take_asked());
    all.run(8s, usual * hot_factor, choose);
    all.take_refused();
    all.take_asked();
    // The organisation makes up for what it sent too much, then is free again.
    all.run(5s, usual, choose);
    all.take_refused();
    all.take_asked();
    all.run(10s, usual, choose);
    const double refused_after =
        static_cast<double>(all.take_refused()) / static_cast<double>(all.take_asked());
    BOOST_TEST_MESSAGE("refused " << refused_usual << " before, " << refused_after
                                  << " after, worst window " << all.worst_window() << " of "
                                  << most_in_window(sample.rate));
    BOOST_TEST(refused_usual <= sample.max_refused);
    BOOST_TEST(refused_after <= sample.max_refused);
    BOOST_TEST(static_cast<double>(all.worst_window()) <= most_in_window(sample.rate));
}

namespace {

struct failure_case {
    const char* name;
    /// What happens one second after the load became too high.
    std::function<void(fleet&)> begin;
    /// What happens four seconds later.
    std::function<void(fleet&)> end;
};

std::ostream& operator<<(std::ostream& out, const failure_case& sample)
{
    return out << sample.name;
}

constexpr std::size_t failing_fleet = 71;

void cut_first(fleet& all, std::size_t count, bool cut)
{
    for (std::size_t i = 0; i < count; ++i) {
        all.node(i).cut_off = cut;
    }
}

const std::vector<failure_case> failure_cases{
    {"the lender dies", [](fleet& all) { all.node(0).alive = false; },
     [](fleet&) {
     }},
    {"the lender dies and comes back", [](fleet& all) { all.node(0).alive = false; },
     [](fleet& all) {
         all.node(0).alive = true;
         all.restart(0);
     }},
    {"the lender is cut off, each cut node lends to itself",
     [](fleet& all) { cut_first(all, 1, true); },
     [](fleet& all) {
         cut_first(all, 1, false);
     }},
    {"a sixth of the nodes are cut off one from another",
     [](fleet& all) { cut_first(all, failing_fleet / 6, true); },
     [](fleet& all) {
         cut_first(all, failing_fleet / 6, false);
     }},
    {"all nodes restart",
     [](fleet& all) {
         for (std::size_t i = 0; i < failing_fleet; ++i) {
             all.restart(i);
         }
     },
     [](fleet&) {
     }},
    {"the lender's machine was suspended", [](fleet& all) { all.node(0).gate.expire(); },
     [](fleet&) {
     }},
};

} // namespace

BOOST_DATA_TEST_CASE(an_allowance_holds_over_failures, boost::unit_test::data::make(failure_cases),
                     sample)
{
    constexpr double rate = 200;
    fleet all(failing_fleet, split::lent, rate);
    const auto anywhere = [](double fraction) {
        return static_cast<std::size_t>(fraction * failing_fleet);
    };
    const double usual = rate / headroom;
    all.run(5s, usual, anywhere);
    all.run(1s, usual * hot_factor, anywhere);
    sample.begin(all);
    all.run(4s, usual * hot_factor, anywhere);
    sample.end(all);
    all.run(5s, usual * hot_factor, anywhere);
    BOOST_TEST_MESSAGE("worst window " << all.worst_window() << " of " << most_in_window(rate));
    BOOST_TEST(static_cast<double>(all.worst_window()) <= most_in_window(rate));
}
