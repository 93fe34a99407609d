// The platform's transactional table and object store, as the core sees them: requests and replies
// as data. The shell's adapter talks to the service.
#pragma once

#include <camphortally/ids.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphor {

struct table_row {
    std::string key;
    std::string value;
};

/// Holds when the row has exactly this value; `expected` empty means that the row is absent.
struct table_condition {
    std::string key;
    std::optional<std::string> expected;
};

/// Puts the row, or deletes it when `value` is empty.
struct table_write {
    std::string key;
    std::optional<std::string> value;
};

struct table_read {
    std::string key;
};

/// Rows whose key starts with `prefix` and is greater than `after`, in key order.
struct table_scan {
    std::string prefix;
    std::string after;
    std::int32_t limit = 0;
};

/// All writes or none; applied only when every condition holds.
struct table_transact {
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

struct object_get {
    std::string name;
};

struct object_put {
    std::string name;
    std::string body;
};

using platform_request =
    std::variant<table_read, table_scan, table_transact, object_get, object_put>;

enum class platform_status : std::uint8_t {
    ok,
    /// A condition of a transaction did not hold; nothing was written.
    conflict,
    /// The object does not exist.
    not_found,
    /// Certain not to have taken effect.
    unavailable,
    /// A write that may or may not have taken effect.
    outcome_unknown,
};

struct platform_reply {
    platform_status status = platform_status::unavailable;
    /// For reads and scans. A read of an absent row is `ok` with no rows.
    std::vector<table_row> rows;
    /// For `conflict`: keys of the conditions that did not hold.
    std::vector<std::string> failed_keys;
    /// For object_get.
    std::string body;
};

} // namespace camphor
