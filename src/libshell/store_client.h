// HTTP calls to the platform's store over a few kept connections, each call with a time limit.
#pragma once

#include "libmesh/mesh_settings.h"
#include "platform/store_wire.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace camphor::shell {

/// Statuses of the store that callers tell apart.
inline constexpr int store_ok = 200;
inline constexpr int store_not_found = 404;
/// A condition did not hold; nothing was written.
inline constexpr int store_conflict = 412;
/// The history that a feed asked for is no longer kept.
inline constexpr int store_history_gone = 410;

struct store_reply {
    /// HTTP status; 0 when no whole answer came.
    int status = 0;
    std::string body;
    /// Why no answer came.
    std::string problem;
    /// The call may have been carried out although no answer came.
    bool was_sent = false;
    /// How often the store had come back from a copy, as the answer states; 0 when it does not.
    std::int64_t era = 0;
};

struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Heads and bodies, both ways.
    std::uint64_t bytes = 0;
};

/// A connection carries one call at a time; calls beyond them wait in order.
class store_client {
public:
    using reply_function = std::function<void(const store_reply&)>;

    store_client(boost::asio::io_context& io, mesh::listen_address address,
                 std::size_t connections = 1);
    ~store_client();
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    /// `done` is called once, later, unless the client is destroyed before. `limit` counts from
    /// when a connection takes the call, and includes connecting.
    void call(const platform::store_call& call, std::chrono::milliseconds limit,
              reply_function done);
    /// All calls go to another address from now on; those under way end without an answer.
    void set_address(mesh::listen_address address);
    const store_counters& counters() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::shell
