// Socket options that every connection of a node gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdint>

namespace camphor::shell {

/// How soon a connection that went silent is noticed, whether it is idle or not.
enum class silence_check : std::uint8_t {
    /// Within about three seconds; bears the loss of a packet or two.
    steady,
    /// Within two seconds; a lost packet may end a sound connection.
    prompt,
};

/// No delay; keep-alive probes and a bound on unacknowledged data.
inline void set_tcp_options(boost::asio::ip::tcp::socket& socket,
                            silence_check check = silence_check::steady)
{
    /// Seconds of silence before the first probe and between probes; the kernel's smallest.
    constexpr int probe_after_s = 1;
    constexpr int probe_gap_s = 1;
    const bool is_prompt = check == silence_check::prompt;
    const int lost_probes = is_prompt ? 1 : 2;
    /// Milliseconds that sent data may stay unacknowledged.
    const int unacknowledged_ms = is_prompt ? 1'500 : 3'000;
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
