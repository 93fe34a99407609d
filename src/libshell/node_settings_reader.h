// Reads a node's settings from JSON: schema first, then the rules that a schema cannot say.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/error.h>
#include <camphortally/settings.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphor::shell {

/// Where the node listens for operators and its backend servers.
struct admin_listen_settings {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
};

/// Where the platform's service is.
struct platform_endpoint {
    std::string host;
    std::uint16_t port = 0;
    /// One request, connecting included.
    std::chrono::milliseconds timeout{1'000};
};

/// Bounds on what callers and operators may ask of the process.
struct listen_limits {
    std::size_t call_connections = 2'048;
    std::size_t admin_connections = 256;
    std::uint32_t header_bytes = 16U * 1024;
    /// Bodies of keyed calls, which are kept for a digest.
    std::uint64_t keyed_body_bytes = 1ULL * 1024 * 1024;
    std::uint64_t admin_body_bytes = 1ULL * 1024 * 1024;
    /// Time for a request's head to arrive whole.
    std::chrono::milliseconds head_timeout{10'000};
};

/// Everything that a settings file says.
struct daemon_settings {
    node_settings node;
    admin_listen_settings admin;
    platform_endpoint platform;
    listen_limits limits;
    log_level level = log_level::info;
    /// In-flight calls get this long to finish after SIGTERM.
    std::chrono::milliseconds drain_grace{30'000};
};

/// @throws invalid_input listing every fault, with pointers into the document
daemon_settings read_node_settings(const std::string& json_text);

/// Reads a whole file.
/// @throws invalid_input when it cannot be read
std::string read_file(const std::string& path);

} // namespace camphor::shell
