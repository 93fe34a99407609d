// Order of the writes of the platform's store.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace camphor::mesh {

/// Position of a write, or of a read, in the store. A store that comes back from a copy gives
/// versions out again, and its era rises; positions of a later era are higher whatever the version.
/// Rows and messages hold it packed into one number, which is the version itself in era 0, the era
/// of stores that state none.
class store_position {
public:
    constexpr store_position() = default;
    constexpr store_position(std::int64_t era, std::int64_t version)
        : packed_((std::clamp<std::int64_t>(era, 0, max_era) << version_bits) |
                  std::clamp<std::int64_t>(version, 0, max_version))
    {
    }
    static constexpr store_position from_packed(std::int64_t packed)
    {
        return {packed >> version_bits, packed & max_version};
    }

    constexpr std::int64_t packed() const { return packed_; }
    constexpr std::int64_t era() const { return packed_ >> version_bits; }
    /// Version as the store states it.
    constexpr std::int64_t version() const { return packed_ & max_version; }

    friend constexpr auto operator<=>(const store_position&, const store_position&) = default;

private:
    static constexpr int version_bits = 40;
    static constexpr std::int64_t max_version = (std::int64_t{1} << version_bits) - 1;
    static constexpr std::int64_t max_era = (std::int64_t{1} << (62 - version_bits)) - 1;

    std::int64_t packed_ = 0;
};

} // namespace camphor::mesh
