// Data of the stand-in platform: table rows, numbered by one version counter, and objects.
#pragma once

#include "platform/store_wire.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor::standin {

/// A transaction request: all writes are applied when all conditions hold.
struct rows_transaction {
    std::vector<platform::row_condition> conditions;
    /// Values are decoded; a write without a value deletes its row.
    std::vector<platform::row_write> writes;
};

/// In-memory tables with change history, and objects. Invariants: a transaction is applied
/// completely or not at all; versions only increase.
class platform_table {
public:
    /// Applies the writes when each condition row has the expected version (0: absent).
    /// @return whether the writes were applied
    bool transact(const rows_transaction& request);
    /// Existing rows that the conditions name, in the order of the conditions.
    platform::store_rows current_rows(const std::vector<platform::row_condition>& conditions) const;
    /// Rows of a range in key order.
    platform::store_rows read(const std::string& table, const platform::row_range& range) const;
    /// Rows written or removed after a version, each with its latest change, oldest change first;
    /// empty optional when that history is no longer kept or the version was not reached yet.
    std::optional<platform::store_rows> changes(const std::string& table, std::int64_t after) const;
    /// Discards the change history up to the current version.
    void drop_history();

    void put_object(const std::string& name, std::string body);
    std::optional<std::string> get_object(const std::string& name) const;

    std::size_t row_count() const { return rows_.size(); }
    std::size_t object_count() const { return objects_.size(); }
    std::int64_t version() const { return version_; }

private:
    struct row_name {
        std::string table;
        std::string key;
        auto operator<=>(const row_name&) const = default;
    };
    struct row_state {
        std::string value;
        std::int64_t version = 0;
    };
    struct row_change {
        std::int64_t version = 0;
        row_name name;
    };

    std::int64_t version_of(const row_name& name) const;

    std::map<row_name, row_state> rows_;
    /// Oldest first.
    std::deque<row_change> history_;
    /// Changes up to and including this version are no longer kept.
    std::int64_t discarded_version_ = 0;
    std::int64_t version_ = 1;
    std::map<std::string, std::string> objects_;
};

/// Parses the body of a transaction request and checks it against the limits of the store.
/// @throws invalid_input for invalid JSON, a missing entry, a wrong type or an exceeded limit
rows_transaction parse_transaction(const std::string& text);

/// Encodes rows as the store does in its responses.
std::string rows_to_json(const platform::store_rows& rows);

} // namespace camphor::standin
