// The resources that operators declare, and their JSON form.
#pragma once

#include <camphortally/error.h>
#include <camphortally/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphor {

enum class resource_kind : std::uint8_t { service, upstream, route, move };

/// Calls of a higher priority outlast the others under overload.
enum class priority : std::uint8_t { low, normal, high };

/// Identity of a resource: kind and name are unique together.
struct resource_key {
    resource_kind kind{};
    std::string name;
    friend auto operator<=>(const resource_key&, const resource_key&) = default;
};

/// A service and the release that takes its traffic while no move is in progress.
struct service_spec {
    release_id release;
    camphor::priority priority = camphor::priority::normal;
};

/// One release of a service's backend servers and what an instance of it can take.
struct upstream_spec {
    service_id service;
    release_id release;
    /// Calls that one instance runs at the same time.
    std::int32_t slots = 0;
    /// Connections kept open to one instance.
    std::int32_t connections = 0;
    /// Time during which a new instance gets a growing part of its share.
    duration cold_start{};
};

/// Which calls go to a service. The longest matching prefix wins; then the most headers; then the
/// name.
struct route_spec {
    /// Exact host name, or empty for every host.
    std::string host;
    std::string path_prefix;
    /// Headers that must be present with these values; names in lower case.
    std::map<std::string, std::string> headers;
    service_id service;
    /// Limit for one call, retries included.
    duration timeout{};
    /// Calls of unsafe methods must carry an Idempotency-Key.
    bool require_key = false;
};

/// What becomes of a move that saw too little traffic to judge.
enum class thin_evidence : std::uint8_t { revert, complete };

/// A move of a service's traffic from one release to another.
struct move_spec {
    service_id service;
    release_id from_release;
    release_id to_release;
    wall_time deadline{};
    /// Time at full share before the move counts as completed.
    duration soak{};
    /// Largest share while the new release is unproven.
    permille unproven_share{50};
    thin_evidence on_thin_evidence = thin_evidence::revert;
};

enum class move_phase : std::uint8_t { accepted, progressing, completed, reverted, refused };

/// State of a move as its control duty last wrote it.
/// Invariant: `completed`, `reverted` and `refused` are final; share is 1000 when completed and 0
/// when reverted or refused.
struct move_status {
    move_phase phase = move_phase::accepted;
    permille share{0};
    std::int32_t stage = 0;
    /// Node that holds the control duty; empty before the first stage.
    node_id holder;
    std::string reason;
    /// Numbers behind the last decision, as JSON text; empty when none.
    std::string evidence;
    wall_time changed_at{};
};

using resource_spec = std::variant<service_spec, upstream_spec, route_spec, move_spec>;

/// A declared resource. Immutable once part of a snapshot.
struct resource {
    resource_key key;
    /// config_version of the change that last touched it.
    config_version revision;
    resource_spec spec;
    /// Set for moves only.
    std::optional<move_status> status;
};
using resource_ptr = std::shared_ptr<const resource>;

/// "service", "upstream", "route", "move".
std::string to_string(resource_kind kind);
std::string to_string(priority value);
std::string to_string(move_phase phase);
/// Accepts singular and plural forms; empty when unknown.
std::optional<resource_kind> parse_resource_kind(const std::string& text);
/// RFC 3339 in UTC with milliseconds, such as "2026-12-31T18:00:00.000Z".
std::string format_time(wall_time time);
/// Inverse of format_time; the fraction may be missing. Empty when the text is not such a time.
std::optional<wall_time> parse_time(const std::string& text);
/// True for the phases that never change again.
bool is_final(move_phase phase);

/// Reads `{"kind","name","revision","spec","status"}`.
/// @throws invalid_input listing every fault, with pointers into the document
resource parse_resource(const std::string& json_text);

/// The canonical JSON text: keys sorted, no white space. Equal resources give equal texts.
std::string to_json(const resource& item);

/// Rules of one resource alone that its schema cannot say, such as a deadline in the past at `now`.
/// Empty when it breaks none.
std::vector<fault> check_resource(const resource& item, wall_time now);

} // namespace camphor
