// Socket options that every connection of a node gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphor::shell {

/// No delay; keep-alive probes and a bound on unacknowledged data, so that a connection that went
/// silent is noticed within about three seconds whether it is idle or not.
inline void set_tcp_options(boost::asio::ip::tcp::socket& socket)
{
    /// Seconds of silence before the first probe, between probes, and probes without an answer.
    constexpr int probe_after_s = 1;
    constexpr int probe_gap_s = 1;
    constexpr int lost_probes = 2;
    /// Milliseconds that sent data may stay unacknowledged.
    constexpr int unacknowledged_ms = 3000;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof(probe_after_s));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_gap_s, sizeof(probe_gap_s));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &lost_probes, sizeof(lost_probes));
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
}

} // namespace camphor::shell
