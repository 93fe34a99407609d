// Violations found by the history checks.
#pragma once

#include <string>
#include <vector>

namespace camphor::load {

/// One case of a broken rule.
struct violation {
    /// Stable name of the rule, such as "duplicate_execution".
    std::string rule;
    /// The key, request id, node, version, resource or move that broke the rule.
    std::string subject;
    /// Text that states what was observed.
    std::string detail;
};
using violation_list = std::vector<violation>;

} // namespace camphor::load
