// Names of the reducer's parts and of their timers.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace camphor {

/// Parts of the reducer that own timers and platform requests.
enum class module_id : std::uint8_t {
    config,
    membership,
    distribution,
    control,
    calls,
    claims,
    operators,
};
inline constexpr std::size_t module_count = 7;

/// Setting a timer that is already set moves it.
struct timer_key {
    module_id owner{};
    /// Meaning is private to the owner.
    std::int32_t kind = 0;
    std::uint64_t argument = 0;
    friend auto operator<=>(const timer_key&, const timer_key&) = default;
};

/// Names a platform request; its reply comes back to `owner`.
struct platform_ticket {
    module_id owner{};
    /// Meaning is private to the owner.
    std::int32_t kind = 0;
    std::uint64_t sequence = 0;
    friend auto operator<=>(const platform_ticket&, const platform_ticket&) = default;
};

} // namespace camphor
