// Operators' requests that change resources.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/resource.h>

#include <optional>
#include <string>
#include <variant>

namespace camphor {

/// Who asked, for the audit trail.
struct origin {
    std::string who;
    std::string address;
};

/// PUT of one resource.
struct put_requested {
    request_id request;
    resource_key key;
    /// The body as received: `{"spec": …}` with optional kind, name, revision.
    std::string body;
    /// From If-Match; 0 means that the resource must not exist yet.
    std::optional<config_version> if_match;
    /// Empty when the operator gave none.
    operation_id operation;
    origin from;
};

/// DELETE of one resource.
struct delete_requested {
    request_id request;
    resource_key key;
    std::optional<config_version> if_match;
    operation_id operation;
    origin from;
};

using operator_event = std::variant<put_requested, delete_requested>;

} // namespace camphor
