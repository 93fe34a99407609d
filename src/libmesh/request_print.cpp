// Fingerprint of a request.
#include "libmesh/request_print.h"

#include <camphortally/balancer.h>

#include <array>
#include <charconv>

namespace camphor::mesh {

request_fingerprint fingerprint_of(const request& content, const service_id& caller)
{
    // Each part's hash seeds the next one, so that moving bytes from one part to another changes
    // the hash.
    auto hash = stable_hash(content.host);
    for (const auto* part : {&content.method, &content.target, &content.body}) {
        hash = stable_hash(*part, hash);
    }
    return {hash, caller};
}

std::string text_of(const request_fingerprint& fingerprint)
{
    constexpr int base = 16;
    std::array<char, sizeof(fingerprint.content) * 2> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.content, base);
    return std::string(digits.data(), end) + "/" + fingerprint.caller.value();
}

} // namespace camphor::mesh
