// The table and object store that the resources are kept in, on the rows and objects of the
// platform's store.
#pragma once

#include "libshell/event_sink.h"

#include <camphortally/platform_client.h>
#include <camphortally/timer.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace camphor::shell {

struct platform_settings {
    std::string host;
    std::uint16_t port = 0;
    /// One request, connecting included.
    std::chrono::milliseconds timeout{1'000};
};

struct platform_traffic {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
    /// Heads and bodies, both ways.
    byte_count bytes;
};

/// Runs platform requests over a few kept connections; requests beyond them wait in order.
/// A write whose answer is lost ends as `outcome_unknown`; a read, or a write that was never sent,
/// as `unavailable`. Conditions on values are carried out as conditions on the versions that rows
/// had when they were last seen with these values; rows not seen lately are read first.
class platform_http {
public:
    using reply_function = std::function<void(platform_reply)>;

    platform_http(boost::asio::io_context& io, const platform_settings& settings);
    ~platform_http();
    platform_http(const platform_http&) = delete;
    platform_http& operator=(const platform_http&) = delete;

    /// `done` is called once, later, on the I/O thread, unless this is destroyed before.
    void call(const platform_request& request, reply_function done);
    platform_traffic traffic() const;

private:
    class implementation;
    std::shared_ptr<implementation> self_;
};

} // namespace camphor::shell
