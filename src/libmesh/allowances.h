// Allowances of organisations over all nodes. An organisation that stays within its allowance is
// not limited at any node; one that exceeds it is limited everywhere, to one fraction of its
// requests. Answers the load of one organisation that suddenly sends many times its usual, on few
// nodes or on all, while nodes are cut off, killed or frozen.
#pragma once

#include "libmesh/organisations.h"

#include <camphortally/ids.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace camphor::mesh {

/// What one node has seen of an organisation since its last report.
struct organisation_usage {
    organisation_id organisation;
    /// Requests that the node let in.
    int admitted = 0;
    /// Requests that clients sent.
    int asked = 0;
};

/// What one node may let in of a limited organisation.
struct organisation_share {
    organisation_id organisation;
    /// Fraction of its requests, in [0, 1]; the same at all nodes.
    double fraction = 0;
    /// What that fraction is expected to be in requests per second.
    double rate_per_second = 0;
};

/// The node's side: lets requests in, counts them, and keeps to its shares.
/// Invariant: without grants for longer than `grant_term` the node keeps to an equal part of each
/// allowance.
class allowance_gate {
public:
    /// How long grants hold, from the sending of the report that they answer.
    static constexpr duration grant_term = std::chrono::milliseconds(1500);

    /// Starts with no organisation limited for one term.
    explicit allowance_gate(time_point now = {}) : granted_at_(now) {}

    /// Lets a request of the organisation in, or returns the time until its share refills.
    /// `known_nodes` are all nodes of the mesh.
    /// `random_fraction` is a random number in [0, 1).
    std::optional<duration> refuse(const organisation& sender, std::size_t known_nodes,
                                   double random_fraction, time_point now);
    /// Usage since the last call; organisations without requests are left out.
    std::vector<organisation_usage> take_usage();
    bool has_usage() const { return !usage_.empty(); }
    /// Takes over the shares of the limited organisations; all others are not limited. `sent_at` is
    /// when the report that they answer was sent.
    void on_grants(const std::vector<organisation_share>& limited, time_point sent_at);
    /// Drops the grants: the machine was suspended, for which the clock does not account.
    void expire() { granted_at_ = {}; }
    /// Organisations that are limited by a grant.
    std::size_t limited() const { return shares_.size(); }

private:
    /// Requests that may be let in now; refills at the rate of the equal part.
    struct token_bucket {
        double tokens = 0;
        time_point updated_at{};
    };

    /// Takes a token of the organisation's bucket; false when there is none.
    bool take_token(const organisation_id& sender, double rate, time_point now);

    std::map<organisation_id, organisation_usage> usage_;
    std::map<organisation_id, organisation_share> shares_;
    /// Of organisations whose equal part is in force.
    std::map<organisation_id, token_bucket> buckets_;
    time_point granted_at_;
};

/// The lender's side: adds up the usage of the nodes that report to it, and shares out the
/// allowances of the organisations that exceed theirs. Any node can be the lender. For each node
/// that begins to report it adds a part of the burst only, since it does not know what that node
/// has let in before.
class allowance_ledger {
public:
    /// Adds a node's report and returns its shares of the limited organisations.
    std::vector<organisation_share> on_report(const node_id& from,
                                              const std::vector<organisation_usage>& usage,
                                              const organisation_directory& organisations,
                                              std::size_t known_nodes, time_point now);
    /// Requests beyond an allowance that the operators tolerate; lets small organisations exceed
    /// theirs for a moment instead of limiting them at chance.
    void set_tolerance(double requests) { tolerance_ = requests; }

    /// Organisations that were limited or freed since the last call.
    struct change {
        organisation_id organisation;
        bool limited = false;
        /// Requests that it could still send at once.
        double tokens = 0;
        /// Requests per second that clients send.
        double demand = 0;
    };
    std::vector<change> take_changes() { return std::exchange(changes_, {}); }

private:
    struct account {
        /// Requests that the organisation may still send at once; negative when it has exceeded its
        /// allowance.
        double tokens = 0;
        time_point updated_at{};
        /// Part of all nodes that report here, when `tokens` was last changed.
        double reporting = 0;
        bool limited = false;
        /// Requests a second that clients send, by node.
        std::map<node_id, double> demand;

        double total_demand() const;
    };

    /// The account as of now. A lender accounts only for the part of the allowance of the nodes
    /// that report to it; the others have another lender or none.
    account& account_of(const organisation& entry, double reporting, time_point now);
    void add_demand(const node_id& from, const std::vector<organisation_usage>& usage,
                    duration since_report);
    organisation_share share_of(const account& of, const organisation& entry,
                                const node_id& node) const;
    void forget_silent_nodes(time_point now);

    std::map<organisation_id, account> accounts_;
    /// When each node last reported.
    std::map<node_id, time_point> reports_;
    std::vector<change> changes_;
    double tolerance_ = 0;
};

} // namespace camphor::mesh
