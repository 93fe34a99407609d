// Fingerprint of a request, which identifies repetitions of it under other request ids.
#pragma once

#include "libmesh/messages.h"

#include <compare>
#include <cstdint>
#include <string>

namespace camphor::mesh {

/// The parts of a request that stay the same when a client repeats it. Requests with the same
/// fingerprint are the same work: a backend server that crashes on one is likely to crash on the
/// other.
struct request_fingerprint {
    /// Hash of host, method, target and body.
    std::uint64_t content = 0;
    /// Service of the backend server that sent the request, beside the node that received it first.
    service_id caller;

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
};

/// Computes the fingerprint of a request sent by `caller`.
request_fingerprint fingerprint_of(const request& content, const service_id& caller);
/// Text for log lines: the content hash in hexadecimal, a slash and the caller.
std::string text_of(const request_fingerprint& fingerprint);

} // namespace camphor::mesh
