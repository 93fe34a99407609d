// Open connections to backend servers and nodes, kept for the next call.
#pragma once

#include "libshell/http_channel.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphor::shell {

struct upstream_address {
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(const upstream_address&, const upstream_address&) = default;
};

/// Invariant: an idle channel has a read pending and received nothing since its last answer; one
/// that receives a byte or ends leaves the pool, so that no answer can be taken for another's.
class upstream_pool : public channel_owner {
public:
    /// Keeps at most `idle_limit` channels to one address.
    explicit upstream_pool(std::size_t idle_limit) : idle_limit_(idle_limit) {}

    /// The channel used last; null when none is idle.
    std::shared_ptr<http_channel> take(const upstream_address& address);
    void give_back(const upstream_address& address, const std::shared_ptr<http_channel>& channel);
    /// Closes channels that were idle for longer.
    void trim(std::chrono::steady_clock::duration idle);
    void clear();
    std::size_t idle_count() const;

    void on_read(http_channel& channel, boost::system::error_code error) override;
    void on_flushed(http_channel& channel, boost::system::error_code error) override;

private:
    using channel_list = std::vector<std::shared_ptr<http_channel>>;

    std::size_t idle_limit_;
    std::map<upstream_address, channel_list> idle_;
};

} // namespace camphor::shell
