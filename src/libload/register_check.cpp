// Linearizability check of compare-and-set registers whose revisions are known.
#include "register_check.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace camphor::load {

namespace {

enum class access_type : std::uint8_t { write, read };

/// An operation with its position in the order of writes given by the revisions.
struct positioned_operation {
    std::int64_t revision = 0;
    access_type type{};
    double started_ms = 0;
    double ended_ms = 0;
    const operation_record* record = nullptr;

    auto position() const { return std::tuple(revision, type); }
};

using kind_and_name = std::pair<std::string, std::string>;

/// Checks the operations on one resource against its known revisions.
class register_checker {
public:
    register_checker(std::string subject, violation_list& violations)
        : subject_(std::move(subject)), violations_(violations)
    {
    }

    void add_version(std::int64_t version, const std::string& operation_id)
    {
        revisions_.insert(version);
        if (!operation_id.empty()) {
            revision_by_operation_[operation_id] = version;
        }
    }

    void add(const operation_record& operation)
    {
        if (operation.result == operation_result::accepted &&
            operation.action != operation_action::read) {
            revisions_.insert(operation.revision);
        }
        operations_.push_back(&operation);
    }

    void run()
    {
        std::for_each(operations_.begin(), operations_.end(),
                      [this](const auto* operation) { assign_position(*operation); });
        check_lost_updates();
        check_revision_values();
        check_real_time_order();
    }

private:
    void add_violation(const char* rule, const std::string& detail)
    {
        violations_.push_back({rule, subject_, detail});
    }

    void assign_position(const operation_record& operation)
    {
        switch (operation.result) {
        case operation_result::accepted:
            positioned_.push_back({operation.revision, access_type_of(operation),
                                   operation.started_ms, operation.ended_ms, &operation});
            break;
        case operation_result::rejected:
            positioned_.push_back({operation.revision, access_type::read, operation.started_ms,
                                   operation.ended_ms, &operation});
            if (operation.if_match == operation.revision) {
                add_violation("baseless_rejection", "If-Match " +
                                                        std::to_string(operation.revision) +
                                                        " was the current revision");
            }
            break;
        case operation_result::unknown:
            if (const auto found = revision_by_operation_.find(operation.operation_id);
                found != revision_by_operation_.end()) {
                positioned_.push_back({found->second, access_type::write, operation.started_ms,
                                       std::numeric_limits<double>::infinity(), &operation});
            }
            break;
        case operation_result::not_run:
            break;
        }
    }

    /// A put that changed nothing counts as a read, since its revision was written by another
    /// operation.
    access_type access_type_of(const operation_record& operation) const
    {
        const auto written = revision_by_operation_.find(operation.operation_id);
        const bool is_other_operation =
            !revision_by_operation_.empty() && !operation.operation_id.empty() &&
            (written == revision_by_operation_.end() || written->second != operation.revision);
        return operation.action == operation_action::read || is_other_operation
                   ? access_type::read
                   : access_type::write;
    }

    void check_lost_updates()
    {
        for (const auto& operation : positioned_) {
            const auto& expected = operation.record->if_match;
            if (operation.type != access_type::write || !expected) {
                continue;
            }
            const auto intermediate = revisions_.upper_bound(*expected);
            if (intermediate != revisions_.end() && *intermediate < operation.revision) {
                add_violation("lost_update", "revision " + std::to_string(operation.revision) +
                                                 " replaced " + std::to_string(*expected) +
                                                 " although " + std::to_string(*intermediate) +
                                                 " was written in between");
            }
            if (*expected >= operation.revision) {
                add_violation("lost_update", "revision " + std::to_string(operation.revision) +
                                                 " is not newer than " + std::to_string(*expected));
            }
        }
    }

    void check_revision_values()
    {
        std::map<std::int64_t, std::string> value_by_revision;
        for (const auto& operation : positioned_) {
            const auto& value = operation.record->value;
            if (value.empty() || operation.record->result == operation_result::rejected) {
                continue;
            }
            if (value_by_revision.emplace(operation.revision, value).first->second != value) {
                add_violation("revision_reused", "revision " + std::to_string(operation.revision) +
                                                     " has two different values");
            }
        }
    }

    void check_real_time_order()
    {
        auto by_end_time = positioned_;
        std::sort(positioned_.begin(), positioned_.end(), [](const auto& left, const auto& right) {
            return left.started_ms < right.started_ms;
        });
        std::sort(by_end_time.begin(), by_end_time.end(), [](const auto& left, const auto& right) {
            return left.ended_ms < right.ended_ms;
        });
        auto next_ended = by_end_time.begin();
        const positioned_operation* max_ended = nullptr;
        for (const auto& operation : positioned_) {
            for (; next_ended != by_end_time.end() && next_ended->ended_ms < operation.started_ms;
                 ++next_ended) {
                if (max_ended == nullptr || next_ended->position() > max_ended->position()) {
                    max_ended = &*next_ended;
                }
            }
            if (max_ended != nullptr && max_ended->position() > operation.position()) {
                add_violation("order_inverted", "revision " + std::to_string(operation.revision) +
                                                    " was observed after revision " +
                                                    std::to_string(max_ended->revision));
            }
        }
    }

    std::string subject_;
    violation_list& violations_;
    std::set<std::int64_t> revisions_;
    std::map<std::string, std::int64_t> revision_by_operation_;
    std::vector<const operation_record*> operations_;
    std::vector<positioned_operation> positioned_;
};

/// A read that found no resource has revision 0 and no position, since the deletion that it
/// observed is not known.
bool has_position(const operation_record& operation)
{
    return operation.action != operation_action::read || operation.revision != 0;
}

} // namespace

violation_list check_linearizability(const std::vector<operation_record>& operations,
                                     const std::vector<audit_entry>& audit)
{
    violation_list violations;
    std::map<kind_and_name, register_checker> checkers;
    const auto checker_of = [&](const std::string& kind,
                                const std::string& resource) -> register_checker& {
        return checkers.try_emplace({kind, resource}, kind + "/" + resource, violations)
            .first->second;
    };
    for (const auto& entry : audit) {
        checker_of(entry.kind, entry.name).add_version(entry.version, entry.operation_id);
    }
    for (const auto& operation : operations) {
        if (has_position(operation)) {
            checker_of(operation.kind, operation.name).add(operation);
        }
    }
    for (auto& [resource, checker] : checkers) {
        checker.run();
    }
    return violations;
}

} // namespace camphor::load
