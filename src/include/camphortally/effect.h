// Everything that the reducer asks its shell to do, as data.
#pragma once

#include <camphortally/effect_call.h>
#include <camphortally/ids.h>
#include <camphortally/platform_client.h>
#include <camphortally/timer.h>
#include <wire_types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphor {

/// Where a node listens for other nodes.
struct peer_address {
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/// Sends to a node; may be lost. The shell fills mesh, sender, incarnation and protocol.
struct send_frame {
    peer_address to;
    wire::frame frame;
};

struct platform_call {
    platform_ticket ticket;
    platform_request request;
};

struct set_timer {
    timer_key key;
    time_point due;
};

struct cancel_timer {
    timer_key key;
};

/// Answers an operator's request.
struct answer_operator {
    request_id request;
    /// HTTP status.
    std::int32_t status = 0;
    /// JSON body.
    std::string body;
    /// Revision of the resource, for the ETag; 0 when none.
    config_version revision;
};

enum class log_level : std::uint8_t { debug, info, warning, error };

struct log_record {
    log_level level = log_level::info;
    /// Short stable name, such as "config.applied".
    std::string event;
    std::string detail;
    /// Call that it is about, if any.
    std::optional<call_id> call{};
};

/// The node applied a newer configuration; watchers are told.
struct config_applied {
    config_version version;
};

/// The drain is over: the process may exit 0.
struct stopped {};

using effect = std::variant<send_frame, platform_call, set_timer, cancel_timer, answer_operator,
                            log_record, config_applied, stopped, call_effect>;
using effect_list = std::vector<effect>;

} // namespace camphor
