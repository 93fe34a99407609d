// The stand-in platform's rows and their JSON forms.
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
constexpr std::size_t most_entries = 100;
constexpr std::size_t most_row_bytes = 65'536;
constexpr std::size_t most_key_bytes = 200;
/// Changes that a feed can look back on.
constexpr std::size_t most_history = 10'000;

std::string key_of(const json& row)
{
    auto key = row.at("key").get<std::string>();
    if (key.empty() || key.size() > most_key_bytes) {
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
    const auto holds = [&](const auto& item) {
        return version_of({item.table, item.key}) == item.version;
    };
    if (!std::all_of(request.conditions.begin(), request.conditions.end(), holds)) {
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
    while (history_.size() > most_history) {
        forgotten_ = history_.front().version;
        history_.pop_front();
    }
    return true;
}

store_rows platform_table::rows_of(const std::vector<platform::row_condition>& conditions) const
{
    store_rows out;
    out.newest = version_;
    for (const auto& item : conditions) {
        const auto found = rows_.find({item.table, item.key});
        if (found != rows_.end()) {
            out.rows.push_back(
                {item.table, item.key, found->second.value, found->second.version, false});
        }
    }
    return out;
}

store_rows platform_table::read(const std::string& table, const platform::row_range& range) const
{
    const auto most = range.most == 0 ? platform::most_rows_per_read
                                      : std::min(range.most, platform::most_rows_per_read);
    store_rows out;
    out.newest = version_;
    for (auto row = rows_.lower_bound({table, range.from});
         row != rows_.end() && row->first.table == table; ++row) {
        if (!range.end.empty() && row->first.key >= range.end) {
            break;
        }
        if (out.rows.size() == most) {
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
    if (after < forgotten_) {
        return std::nullopt;
    }
    store_rows out;
    out.newest = version_;
    std::set<row_name> told;
    for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
        if (change->version <= after || change->name.table != table ||
            !told.insert(change->name).second) {
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
    forgotten_ = version_;
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
        for (const auto& item : document.at("expect")) {
            out.conditions.push_back(
                {item.at("table"), key_of(item), item.at("ver").get<std::int64_t>()});
        }
        for (const auto& item : document.at("writes")) {
            auto value = platform::decode_value(item.at("value").get<std::string>());
            if (value.size() > most_row_bytes) {
                throw invalid_input("/writes", "a row holds 65536 bytes at most");
            }
            out.writes.push_back({item.at("table"), key_of(item), std::move(value)});
        }
        for (const auto& item : document.at("deletes")) {
            out.writes.push_back({item.at("table"), key_of(item), std::nullopt});
        }
        if (out.conditions.size() + out.writes.size() > most_entries) {
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
    json list = json::array();
    for (const auto& row : rows.rows) {
        json item{{"table", row.table}, {"part", ""}, {"key", row.key}, {"ver", row.version}};
        if (row.removed) {
            item["tombstone"] = true;
        } else {
            item["value"] = platform::encode_value(row.value);
        }
        list.push_back(std::move(item));
    }
    return json{{"rows", list}, {"truncated", rows.truncated}, {"ver", rows.newest}}.dump();
}

} // namespace camphor::standin
