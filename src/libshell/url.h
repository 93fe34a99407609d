// Parts of a request target: path, query and percent encoding (RFC 3986).
#pragma once

#include <map>
#include <string>

namespace camphor::shell {

/// A request target split at `?`, query values decoded. A name that stands twice keeps the last.
struct url_parts {
    std::string path;
    std::map<std::string, std::string> query;

    /// Value of a query parameter, or `fallback`.
    std::string parameter(const std::string& name, const std::string& fallback = "") const;
};

/// @throws invalid_input on a broken percent escape
url_parts split_target(const std::string& target);

/// Encodes everything but unreserved characters, so that the text fits one path segment.
std::string percent_encode(const std::string& text);

/// @throws invalid_input on a broken percent escape
std::string percent_decode(const std::string& text);

} // namespace camphor::shell
