// Rules that an order must keep on the version it is to follow.
#pragma once

#include <camphortally/change_writer.h>

#include <optional>
#include <string>
#include <vector>

namespace camphor {

/// Why an order cannot be accepted on some version.
struct order_refusal {
    /// HTTP status: 404, 409, 412 or 422.
    std::int32_t status = 0;
    std::string code;
    std::vector<fault> faults;
};

/// Checks `order` against `base`; empty when it may be tried.
std::optional<order_refusal> check_order(const snapshot& base, const change_order& order,
                                         wall_time now);

/// The order's parts as the versions that follow `base`.
std::vector<change> changes_of(const change_order& order, const snapshot& base, wall_time now);

} // namespace camphor
