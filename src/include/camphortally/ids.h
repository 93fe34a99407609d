// Strong types for identifiers and units. Every other header builds on this one.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace camphor {

/// A value whose type tells what it identifies or counts; `Tag` is never defined.
template <class Tag, class Rep>
class strong_value {
public:
    using rep = Rep;

    strong_value() = default;
    explicit strong_value(Rep value) : value_(std::move(value)) {}

    /// The bare value, for codecs and messages.
    const Rep& value() const { return value_; }

    friend auto operator<=>(const strong_value&, const strong_value&) = default;

private:
    Rep value_{};
};

using node_id = strong_value<struct node_id_tag, std::string>;
using zone_id = strong_value<struct zone_id_tag, std::string>;
using region_id = strong_value<struct region_id_tag, std::string>;
using service_id = strong_value<struct service_id_tag, std::string>;
using release_id = strong_value<struct release_id_tag, std::string>;
using route_id = strong_value<struct route_id_tag, std::string>;
using move_id = strong_value<struct move_id_tag, std::string>;
using backend_id = strong_value<struct backend_id_tag, std::string>;
using operation_id = strong_value<struct operation_id_tag, std::string>;

/// Number of the last accepted change; 0 is the empty configuration. Never decreases on a node.
using config_version = strong_value<struct config_version_tag, std::int64_t>;
/// Orders the lives of one node: a restart takes a larger one.
using incarnation = strong_value<struct incarnation_tag, std::int64_t>;
/// Identifies one call within the node that received it.
using call_id = strong_value<struct call_id_tag, std::uint64_t>;
/// Identifies an operator's request while its answer is owed.
using request_id = strong_value<struct request_id_tag, std::uint64_t>;
/// Parts per thousand, 0 to 1000.
using permille = strong_value<struct permille_tag, std::int32_t>;
using byte_count = strong_value<struct byte_count_tag, std::uint64_t>;

/// Monotonic time of the node; the shell supplies it with each event.
struct core_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};
using time_point = core_clock::time_point;
using duration = core_clock::duration;

/// Wall clock, milliseconds since the Unix epoch; for deadlines that operators write.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace camphor

template <class Tag, class Rep>
struct std::hash<camphor::strong_value<Tag, Rep>> {
    std::size_t operator()(const camphor::strong_value<Tag, Rep>& id) const
    {
        return std::hash<Rep>{}(id.value());
    }
};
