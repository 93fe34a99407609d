// The stand-in platform's data: rows of tables under one counter of versions, and objects.
#pragma once

#include "platform/store_wire.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphor::standin {

/// A transaction as it is sent.
struct rows_transaction {
    std::vector<platform::row_condition> conditions;
    /// Values as they were written, not encoded.
    std::vector<platform::row_write> writes;
};

/// Invariants: a transaction is applied whole or not at all; versions only grow.
class platform_table {
public:
    /// Whether the writes were applied; a refused transaction changes nothing.
    bool transact(const rows_transaction& request);
    /// Current rows that the conditions of a transaction are about.
    platform::store_rows rows_of(const std::vector<platform::row_condition>& conditions) const;
    /// Rows in key order.
    platform::store_rows read(const std::string& table, const platform::row_range& range) const;
    /// Rows written or removed after a version, oldest first; none when that history is not kept.
    std::optional<platform::store_rows> changes(const std::string& table, std::int64_t after) const;
    /// Forgets which rows were changed up to now.
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
    /// Changes up to this version are no longer kept.
    std::int64_t forgotten_ = 0;
    std::int64_t version_ = 1;
    std::map<std::string, std::string> objects_;
};

/// Reads the body of a transaction and checks it against the store's limits.
/// @throws invalid_input when the text is something else
rows_transaction parse_transaction(const std::string& text);

/// Rows as the store answers them.
std::string rows_to_json(const platform::store_rows& rows);

} // namespace camphor::standin
