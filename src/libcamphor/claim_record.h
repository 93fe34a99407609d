// The text of a claim's row.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace camphor {

struct claim_record {
    std::string token;
    std::uint64_t digest = 0;
    /// Wall clock, milliseconds.
    std::int64_t expires_ms = 0;
    bool done = false;
    /// Empty when the answer was not kept.
    std::string answer;
};

std::string to_text(const claim_record& record);
/// Empty when the text is not a record.
std::optional<claim_record> parse_claim_record(const std::string& text);

} // namespace camphor
