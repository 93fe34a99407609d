// Request targets and percent encoding.
#include "libshell/url.h"

#include <camphortally/error.h>

#include <algorithm>
#include <charconv>

namespace camphor::shell {

namespace {

constexpr int hex_base = 16;

bool is_unreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '.' || c == '_' || c == '~';
}

char decode_escape(const std::string& text, std::size_t at)
{
    unsigned value = 0;
    const char* first = text.data() + at + 1;
    const char* last = first + 2;
    if (at + 3 > text.size() || std::from_chars(first, last, value, hex_base).ptr != last) {
        throw invalid_input("", "broken percent escape at byte " + std::to_string(at));
    }
    return static_cast<char>(value);
}

} // namespace

std::string url_parts::parameter(const std::string& name, const std::string& fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

url_parts split_target(const std::string& target)
{
    url_parts out;
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    std::size_t start = mark == std::string::npos ? target.size() : mark + 1;
    while (start < target.size()) {
        const auto end = std::min(target.find('&', start), target.size());
        const auto pair = target.substr(start, end - start);
        const auto equals = pair.find('=');
        const auto value = equals == std::string::npos ? "" : pair.substr(equals + 1);
        out.query[percent_decode(pair.substr(0, equals))] = percent_decode(value);
        start = end + 1;
    }
    return out;
}

std::string percent_encode(const std::string& text)
{
    constexpr auto* digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (is_unreserved(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte / hex_base];
        out += digits[byte % hex_base];
    }
    return out;
}

std::string percent_decode(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        out += decode_escape(text, i);
        i += 2;
    }
    return out;
}

} // namespace camphor::shell
