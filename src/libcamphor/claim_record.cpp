// Codec of claim rows.
#include "claim_record.h"

#include <sstream>

namespace camphor {

namespace {

constexpr const char* hex_digits = "0123456789abcdef";

std::string to_hex(const std::string& bytes)
{
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const char item : bytes) {
        const auto byte = static_cast<unsigned char>(item);
        out.push_back(hex_digits[byte >> 4U]);
        out.push_back(hex_digits[byte & 15U]);
    }
    return out;
}

std::string from_hex(const std::string& text)
{
    const std::string digits = hex_digits;
    std::string out;
    out.reserve(text.size() / 2);
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        const auto high = digits.find(text[i]);
        const auto low = digits.find(text[i + 1]);
        if (high == std::string::npos || low == std::string::npos) {
            return {};
        }
        out.push_back(static_cast<char>(high * 16 + low));
    }
    return out;
}

} // namespace

std::string to_text(const claim_record& record)
{
    std::ostringstream out;
    out << record.token << ' ' << record.digest << ' ' << record.expires_ms << ' '
        << (record.done ? "done" : "run");
    if (!record.answer.empty()) {
        out << ' ' << to_hex(record.answer);
    }
    return out.str();
}

std::optional<claim_record> parse_claim_record(const std::string& text)
{
    std::istringstream in(text);
    claim_record out;
    std::string state;
    std::string answer;
    in >> out.token >> out.digest >> out.expires_ms >> state;
    if (!in || (state != "run" && state != "done")) {
        return std::nullopt;
    }
    in >> answer;
    out.done = state == "done";
    out.answer = from_hex(answer);
    return out;
}

} // namespace camphor
