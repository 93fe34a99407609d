// Rows of the stand-in platform and their JSON encoding.
#include "platform_table.h"

#include <camphortally/error.h>
#include <camphortally/schema.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace camphor::standin {

namespace {

using nlohmann::json;
using platform::store_rows;

/// Limits of the published protocol.
constexpr std::size_t max_transaction_entries = 100;
constexpr std::size_t max_row_bytes = 65'536;
constexpr std::size_t max_key_bytes = 200;
/// Number of changes that are kept for feeds.
constexpr std::size_t max_history_entries = 10'000;

std::string read_key(const json& row)
{
    auto key = row.at("key").get<std::string>();
    if (key.empty() || key.size() > max_key_bytes) {
        throw invalid_input("/key", "has 1 to 200 bytes");
    }
    if (!row.at("part").get<std::string>().empty()) {
        throw invalid_input("/part", "this stand-in keeps the empty part only");
    }
    return key;
}

} // namespace

std::int64_t platform_table::version_of(const row_name& name) const
{
    const auto found = rows_.find(name);
    return found == rows_.end() ? 0 : found->second.version;
}

bool platform_table::transact(const rows_transaction& request)
{
    const auto is_satisfied = [&](const auto& condition) {
        return version_of({condition.table, condition.key}) == condition.version;
    };
    if (!std::all_of(request.conditions.begin(), request.conditions.end(), is_satisfied)) {
        return false;
    }
    ++version_;
    for (const auto& write : request.writes) {
        const row_name name{write.table, write.key};
        if (write.value) {
            rows_[name] = {*write.value, version_};
        } else {
            rows_.erase(name);
        }
        history_.push_back({version_, name});
    }
    while (history_.size() > max_history_entries) {
        discarded_version_ = history_.front().version;
        history_.pop_front();
    }
    return true;
}

store_rows
platform_table::current_rows(const std::vector<platform::row_condition>& conditions) const
{
    store_rows out;
    out.store_version = version_;
    for (const auto& condition : conditions) {
        const auto found = rows_.find({condition.table, condition.key});
        if (found != rows_.end()) {
            out.rows.push_back({condition.table, condition.key, found->second.value,
                                found->second.version, false});
        }
    }
    return out;
}

store_rows platform_table::read(const std::string& table, const platform::row_range& range) const
{
    const auto limit = range.max_rows == 0 ? platform::max_rows_per_read
                                           : std::min(range.max_rows, platform::max_rows_per_read);
    store_rows out;
    out.store_version = version_;
    for (auto row = rows_.lower_bound({table, range.from});
         row != rows_.end() && row->first.table == table; ++row) {
        if (!range.end_key.empty() && row->first.key >= range.end_key) {
            break;
        }
        if (out.rows.size() == limit) {
            out.truncated = true;
            break;
        }
        out.rows.push_back({table, row->first.key, row->second.value, row->second.version, false});
    }
    return out;
}

std::optional<store_rows> platform_table::changes(const std::string& table,
                                                  std::int64_t after) const
{
    if (after < discarded_version_ || after > version_) {
        return std::nullopt;
    }
    store_rows out;
    out.store_version = version_;
    std::set<row_name> reported_rows;
    for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
        if (change->version <= after || change->name.table != table ||
            !reported_rows.insert(change->name).second) {
            continue;
        }
        const auto row = rows_.find(change->name);
        const bool removed = row == rows_.end();
        out.rows.push_back(
            {table, change->name.key, removed ? "" : row->second.value, change->version, removed});
    }
    std::reverse(out.rows.begin(), out.rows.end());
    return out;
}

void platform_table::drop_history()
{
    history_.clear();
    discarded_version_ = version_;
}

void platform_table::put_object(const std::string& name, std::string body)
{
    objects_[name] = std::move(body);
}

std::optional<std::string> platform_table::get_object(const std::string& name) const
{
    const auto found = objects_.find(name);
    return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

rows_transaction parse_transaction(const std::string& text)
{
    const json document = parse_json(text);
    try {
        rows_transaction out;
        for (const auto& entry : document.at("expect")) {
            out.conditions.push_back(
                {entry.at("table"), read_key(entry), entry.at("ver").get<std::int64_t>()});
        }
        for (const auto& entry : document.at("writes")) {
            auto value = platform::decode_value(entry.at("value").get<std::string>());
            if (value.size() > max_row_bytes) {
                throw invalid_input("/writes", "a row holds 65536 bytes at most");
            }
            out.writes.push_back({entry.at("table"), read_key(entry), std::move(value)});
        }
        for (const auto& entry : document.at("deletes")) {
            out.writes.push_back({entry.at("table"), read_key(entry), std::nullopt});
        }
        if (out.conditions.size() + out.writes.size() > max_transaction_entries) {
            throw invalid_input("", "a transaction has 100 entries at most");
        }
        return out;
    } catch (const json::exception& error) {
        throw invalid_input("", std::string("not a transaction: ") + error.what());
    } catch (const platform::bad_store_answer& error) {
        throw invalid_input("/writes", error.what());
    }
}

std::string rows_to_json(const store_rows& rows)
{
    json entries = json::array();
    for (const auto& row : rows.rows) {
        json entry{{"table", row.table}, {"part", ""}, {"key", row.key}, {"ver", row.version}};
        if (row.removed) {
            entry["tombstone"] = true;
        } else {
            entry["value"] = platform::encode_value(row.value);
        }
        entries.push_back(std::move(entry));
    }
    return json{{"rows", entries}, {"truncated", rows.truncated}, {"ver", rows.store_version}}
        .dump();
}

} // namespace camphor::standin
