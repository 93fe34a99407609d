// Lookup of organisations by name and by key.
#include "libmesh/organisations.h"

#include <camphortally/balancer.h>

#include <array>
#include <cstdio>
#include <stdexcept>
#include <utility>

namespace camphor::mesh {

organisation_directory::organisation_directory(std::vector<organisation> organisations)
    : organisations_(std::move(organisations))
{
    for (std::size_t i = 0; i < organisations_.size(); ++i) {
        auto& entry = organisations_[i];
        if (!by_name_.emplace(entry.name, i).second) {
            throw std::invalid_argument("organisation " + entry.name.value() + " occurs twice");
        }
        for (auto& key : entry.keys) {
            const auto fingerprint = key_fingerprint(key);
            if (key.empty()) {
                throw std::invalid_argument("organisation " + entry.name.value() +
                                            " has an empty key");
            }
            if (!by_key_.emplace(std::move(key), i).second) {
                throw std::invalid_argument("the key " + fingerprint + " of organisation " +
                                            entry.name.value() + " occurs twice");
            }
        }
        // The directory holds the keys.
        entry.keys.clear();
    }
}

const organisation* organisation_directory::find_by_key(std::string_view key) const
{
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : &organisations_[found->second];
}

const organisation* organisation_directory::find(const organisation_id& name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &organisations_[found->second];
}

std::string key_fingerprint(std::string_view key)
{
    constexpr std::size_t hex_digits = 8;
    std::array<char, hex_digits + 1> text{};
    // Half of the hash suffices to tell keys apart and says less about them.
    std::snprintf(text.data(), text.size(), "%08x",
                  static_cast<unsigned>(stable_hash(std::string(key)) >> 32U));
    return text.data();
}

} // namespace camphor::mesh
