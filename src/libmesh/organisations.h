// Organisations whose clients use the mesh: their keys, priorities and allowances.
#pragma once

#include <camphortally/ids.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphor::mesh {

using organisation_id = strong_value<struct organisation_id_tag, std::string>;

/// One organisation, as the operators configure it.
struct organisation {
    organisation_id name;
    /// 0 is served first; goes before the priority of the route.
    int priority = 0;
    /// Requests per second that it may send over all nodes; 0: no limit.
    double rate_per_second = 0;
    /// Requests that it may send at once beyond the rate.
    double burst = 0;
    /// Keys by which its clients are recognised.
    std::vector<std::string> keys{};
};

/// All organisations of one configuration. Immutable.
/// Invariant: no key belongs to two organisations.
class organisation_directory {
public:
    organisation_directory() = default;
    /// @throws std::invalid_argument if two organisations have the same name or the same key, or if
    /// a key is empty
    explicit organisation_directory(std::vector<organisation> organisations);

    bool empty() const { return organisations_.empty(); }
    const std::vector<organisation>& all() const { return organisations_; }
    /// The organisation that holds the key; null when none does.
    const organisation* find_by_key(std::string_view key) const;
    /// Null when there is no such organisation.
    const organisation* find(const organisation_id& name) const;

private:
    std::vector<organisation> organisations_;
    std::unordered_map<std::string, std::size_t> by_key_;
    std::unordered_map<organisation_id, std::size_t> by_name_;
};

/// Text by which logs tell keys apart without showing them.
std::string key_fingerprint(std::string_view key);

} // namespace camphor::mesh
