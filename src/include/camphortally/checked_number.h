// Numbers of documents that come from outside, within the range that their meaning allows.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>

namespace camphor {

/// Smallest and largest value that a number may have, both included.
template <class T>
struct number_range {
    T low{};
    T high{};
};

/// Counts and versions: whole, from zero on.
inline constexpr number_range<std::int64_t> any_count{0, std::numeric_limits<std::int64_t>::max()};
inline constexpr number_range<std::int64_t> any_port{1, 65'535};
/// Milliseconds up to a day: no wait of a mesh lasts longer, and clocks count them safely.
inline constexpr number_range<double> any_span_ms{0, 86'400'000};
inline constexpr number_range<double> any_span_s{0, 86'400};

/// The number, when it is one of T's kind and within the range.
/// @throws std::out_of_range naming `what`
template <class T>
T checked_value(const nlohmann::json& value, const std::string& what, number_range<T> range)
{
    const auto refuse = [&](const std::string& problem) {
        throw std::out_of_range(what + " " + problem);
    };
    if constexpr (std::is_integral_v<T>) {
        if (!value.is_number_integer()) {
            refuse("is not a whole number");
        }
        if (value.is_number_unsigned() &&
            value.get<std::uint64_t>() > static_cast<std::uint64_t>(any_count.high)) {
            refuse("is too large");
        }
        const auto number = value.get<std::int64_t>();
        if (number < range.low || number > range.high) {
            refuse(std::to_string(number) + " is not between " + std::to_string(range.low) +
                   " and " + std::to_string(range.high));
        }
        return static_cast<T>(number);
    } else {
        if (!value.is_number()) {
            refuse("is not a number");
        }
        const auto number = value.get<double>();
        // Written so that it also refuses what is no number.
        if (!(number >= range.low && number <= range.high)) {
            refuse(std::to_string(number) + " is not between " + std::to_string(range.low) +
                   " and " + std::to_string(range.high));
        }
        return static_cast<T>(number);
    }
}

/// The same of a document's field.
/// @throws nlohmann::json::exception when there is none
template <class T>
T checked_number(const nlohmann::json& document, const char* key, number_range<T> range)
{
    return checked_value<T>(document.at(key), key, range);
}

/// `otherwise` when the document has no such field.
template <class T>
T checked_number_or(const nlohmann::json& document, const char* key, number_range<T> range,
                    T otherwise)
{
    return document.contains(key) ? checked_number<T>(document, key, range) : otherwise;
}

} // namespace camphor
