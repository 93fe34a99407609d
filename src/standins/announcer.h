// Periodically announces a stand-in backend server to its node.
#pragma once

#include "backend_service.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace camphor::standin {

/// Address of the node's admin listener and of the announced backend server.
struct announce_settings {
    std::string node_host;
    std::uint16_t node_admin_port = 0;
    std::string backend_host;
    std::uint16_t backend_port = 0;
};

/// Posts an announcement every 500 ms. A failed announcement is not retried; the next one opens a
/// new connection.
class announcer {
public:
    announcer(boost::asio::io_context& io, announce_settings settings,
              const backend_service& backend);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;
    announcer(announcer&&) = delete;
    announcer& operator=(announcer&&) = delete;

    /// Sends an announcement at once and restarts the 500 ms period.
    void announce_now();

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace camphor::standin
