// Recognises a request that comes again under another id.
#pragma once

#include "libmesh/messages.h"

#include <compare>
#include <cstdint>
#include <string>

namespace camphor::mesh {

/// What stays the same when a client repeats a request. Two requests with one print are the same
/// work: a backend server that fails at one of them is likely to fail at the other.
struct request_print {
    /// Hash of host, method, target and body.
    std::uint64_t content = 0;
    /// Service beside the node where the request began.
    service_id caller;

    friend auto operator<=>(const request_print&, const request_print&) = default;
};

request_print print_of(const request& content, const service_id& caller);
/// As it is written in log lines.
std::string text_of(const request_print& print);

} // namespace camphor::mesh
