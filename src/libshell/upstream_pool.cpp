// Idle upstream connections.
#include "libshell/upstream_pool.h"

#include <algorithm>

namespace camphor::shell {

std::shared_ptr<http_channel> upstream_pool::take(const upstream_address& address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) {
        return nullptr;
    }
    auto channel = std::move(found->second.back());
    found->second.pop_back();
    channel->set_owner(nullptr);
    return channel;
}

void upstream_pool::give_back(const upstream_address& address,
                              const std::shared_ptr<http_channel>& channel)
{
    auto& list = idle_[address];
    if (list.size() >= idle_limit_) {
        channel->close();
        return;
    }
    channel->set_owner(this);
    channel->read();
    list.push_back(channel);
}

void upstream_pool::on_read(http_channel& channel, boost::system::error_code /*error*/)
{
    channel.set_owner(nullptr);
    channel.close();
    for (auto& [address, list] : idle_) {
        std::erase_if(list, [&](const auto& item) { return item.get() == &channel; });
    }
}

void upstream_pool::on_flushed(http_channel& /*channel*/, boost::system::error_code /*error*/) {}

void upstream_pool::trim(std::chrono::steady_clock::duration idle)
{
    const auto oldest = std::chrono::steady_clock::now() - idle;
    for (auto& [address, list] : idle_) {
        std::erase_if(list, [&](const auto& item) {
            const bool old = item->last_progress() < oldest;
            if (old) {
                item->set_owner(nullptr);
                item->close();
            }
            return old;
        });
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void upstream_pool::clear()
{
    for (auto& [address, list] : idle_) {
        for (auto& channel : list) {
            channel->set_owner(nullptr);
            channel->close();
        }
    }
    idle_.clear();
}

std::size_t upstream_pool::idle_count() const
{
    std::size_t count = 0;
    for (const auto& [address, list] : idle_) {
        count += list.size();
    }
    return count;
}

} // namespace camphor::shell
