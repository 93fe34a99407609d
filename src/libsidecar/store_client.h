// One kept connection to the platform's store: one call at a time, each with a time limit.
#pragma once

#include "libmesh/mesh_settings.h"
#include "platform/store_wire.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace camphor::sidecar {

struct store_reply {
    /// HTTP status; 0 when no whole answer came.
    int status = 0;
    std::string body;
    /// Why no answer came.
    std::string problem;
    /// The call may have been carried out although no answer came.
    bool was_sent = false;
};

struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes = 0;
};

/// Calls made while one is under way wait in order.
class store_client {
public:
    using reply_function = std::function<void(const store_reply&)>;

    store_client(boost::asio::io_context& io, mesh::listen_address address);
    ~store_client();
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    /// `done` is called once, later, unless the client is destroyed before.
    void call(const platform::store_call& call, std::chrono::milliseconds limit,
              reply_function done);
    const store_counters& counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::sidecar
