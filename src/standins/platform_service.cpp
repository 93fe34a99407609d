// Request routing, change feeds and fault injection of the stand-in platform.
#include "platform_service.h"

#include "libshell/url.h"

#include <camphortally/change_writer.h>
#include <camphortally/schema.h>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>

namespace camphor::standin {

namespace {

using nlohmann::json;

constexpr std::array mode_names{"down", "slow", "lose_answers"};
constexpr std::size_t max_kept_seconds = 600;
/// Maximum time that a feed request waits for a change.
constexpr std::int64_t max_feed_wait_ms = 30'000;
/// Tables that only the operator may write, through /control/row.
const std::array<std::string, 2> operator_tables{platform::operator_table, "servers"};
const std::string get_object_path = "/-/blob-get/";
const std::string put_object_path = "/-/blob-put/";

http_response error_response(int status, const std::string& code, const std::string& reason)
{
    return {status, error_body(code, {{"", reason}}), "application/json", {}, false};
}

std::int64_t parse_number(const shell::url_parts& parts, const std::string& name,
                          std::int64_t maximum, std::int64_t default_value)
{
    const auto text = parts.parameter(name, std::to_string(default_value));
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, value).ptr != end || value < 0 || value > maximum) {
        throw invalid_input("", name + " is a number from 0 to " + std::to_string(maximum));
    }
    return value;
}

bool targets_operator_table(const platform::row_write& write)
{
    return std::find(operator_tables.begin(), operator_tables.end(), write.table) !=
           operator_tables.end();
}

} // namespace

platform_fault_request parse_platform_fault(const std::string& text)
{
    const json document = parse_json(text);
    try {
        platform_fault_request out;
        const auto mode = document.at("mode").get<std::string>();
        out.clear = mode == "none";
        const auto* found = std::find(mode_names.begin(), mode_names.end(), mode);
        if (found == mode_names.end() && !out.clear) {
            throw invalid_input("/mode", "is none of down, slow, lose_answers, none");
        }
        out.mode = static_cast<platform_fault_mode>(found - mode_names.begin());
        out.fault.duration = std::chrono::milliseconds(document.value("for_ms", std::uint32_t{0}));
        out.fault.latency =
            std::chrono::milliseconds(document.value("latency_ms", std::uint32_t{0}));
        out.fault.ratio = document.value("ratio", 1.0);
        return out;
    } catch (const json::exception& error) {
        throw invalid_input("", std::string("not a fault: ") + error.what());
    }
}

bool platform_service::is_active(platform_fault_mode mode) const
{
    return clock::now() < faults_.at(static_cast<std::size_t>(mode)).ends_at;
}

const platform_fault& platform_service::fault(platform_fault_mode mode) const
{
    return faults_.at(static_cast<std::size_t>(mode)).fault;
}

platform_service::second_counts& platform_service::current_counts()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
    if (counts_by_second_.empty() || counts_by_second_.back().second != second) {
        counts_by_second_.push_back({second, 0, 0, 0, 0});
    }
    if (counts_by_second_.size() > max_kept_seconds) {
        counts_by_second_.pop_front();
    }
    return counts_by_second_.back();
}

void platform_service::answer(const http_exchange_ptr& reply, http_response response) const
{
    if (states_era_) {
        response.headers.emplace_back("Store-Era", std::to_string(era_));
    }
    reply->answer(std::move(response));
}

void platform_service::handle(const http_request& request, const http_exchange_ptr& reply)
{
    const bool is_control = request.target.starts_with("/control/");
    if (is_control || !is_active(platform_fault_mode::slow)) {
        serve(request, reply);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(fault(platform_fault_mode::slow).latency);
    timer->async_wait([this, timer, request, reply](auto) { serve(request, reply); });
}

void platform_service::serve(const http_request& request, const http_exchange_ptr& reply)
{
    const bool is_control = request.target.starts_with("/control/");
    if (!is_control && is_active(platform_fault_mode::down)) {
        answer(reply, error_response(503, "unavailable", "the platform is down; no effect"));
        return;
    }
    bool is_write = false;
    http_response response;
    try {
        if (request.method == "GET" && request.target.starts_with("/-/rows-feed?")) {
            serve_feed(request.target, reply);
            return;
        }
        response = route(request, is_write);
    } catch (const invalid_input& error) {
        response = {
            400, error_body("invalid_request", error.faults()), "application/json", {}, false};
    }
    const bool drop_answer = is_write && is_active(platform_fault_mode::lose_answers) &&
                             std::uniform_real_distribution<>()(random_) <
                                 fault(platform_fault_mode::lose_answers).ratio;
    if (drop_answer) {
        reply->drop();
    } else {
        answer(reply, std::move(response));
    }
    if (is_write || is_control) {
        answer_waiting_feeds(is_active(platform_fault_mode::down));
    }
}

http_response platform_service::route(const http_request& request, bool& is_write)
{
    const auto& target = request.target;
    const bool is_get = request.method == "GET";
    const bool is_put = request.method == "PUT";
    if (request.method == "POST" && target == "/-/rows-tx") {
        is_write = true;
        return transact(request);
    }
    if (is_get && target.starts_with("/-/rows-get?")) {
        return read_rows(target);
    }
    if (is_get && target.starts_with(get_object_path)) {
        return handle_object(request, shell::percent_decode(target.substr(get_object_path.size())));
    }
    if (is_put && target.starts_with(put_object_path)) {
        is_write = true;
        return handle_object(request, shell::percent_decode(target.substr(put_object_path.size())));
    }
    if (is_put && target == "/control/fault") {
        return set_fault(request.body);
    }
    if (is_put && target == "/control/drop-history") {
        table_.drop_history();
        return {};
    }
    if (is_put && target == "/control/copy") {
        copy_ = table_;
        return {};
    }
    if (is_put && target == "/control/restore") {
        return restore_copy();
    }
    if ((is_put || is_get) && target.starts_with("/control/row?")) {
        return handle_control_row(request);
    }
    if (is_get && target == "/control/stats") {
        return stats();
    }
    return error_response(404, "not_found", "no such path: " + request.method + " " + target);
}

void platform_service::serve_feed(const std::string& target, const http_exchange_ptr& reply)
{
    const auto parts = shell::split_target(target);
    ++current_counts().reads;
    const auto table = parts.parameter("table");
    const auto after = parse_number(parts, "after", std::numeric_limits<std::int64_t>::max(), 0);
    const auto wait_ms = parse_number(parts, "wait_ms", max_feed_wait_ms, 0);
    const auto feed_changes = table_.changes(table, after);
    if (!feed_changes || !feed_changes->rows.empty() || wait_ms == 0) {
        answer(reply, changes(table, after));
        return;
    }
    const auto id = ++last_feed_id_;
    boost::asio::steady_timer timeout_timer(io_, std::chrono::milliseconds(wait_ms));
    timeout_timer.async_wait([this, id](boost::system::error_code error) {
        const auto feed = feeds_.find(id);
        if (!error && feed != feeds_.end()) {
            answer(feed->second.reply, changes(feed->second.table, feed->second.after));
            feeds_.erase(feed);
        }
    });
    feeds_.emplace(id, waiting_feed{table, after, reply, std::move(timeout_timer)});
}

void platform_service::answer_waiting_feeds(bool drop_all)
{
    for (auto feed_it = feeds_.begin(); feed_it != feeds_.end();) {
        const auto& feed = feed_it->second;
        const auto feed_changes = table_.changes(feed.table, feed.after);
        const bool changed = !feed_changes || !feed_changes->rows.empty();
        if (drop_all) {
            feed.reply->drop();
        } else if (changed) {
            answer(feed.reply, changes(feed.table, feed.after));
        }
        feed_it = drop_all || changed ? feeds_.erase(feed_it) : std::next(feed_it);
    }
}

http_response platform_service::changes(const std::string& table, std::int64_t after)
{
    const auto feed_changes = table_.changes(table, after);
    if (!feed_changes) {
        ++current_counts().histories_gone;
        return error_response(410, "gone", "changes after this version are no longer kept");
    }
    return {200, rows_to_json(*feed_changes), "application/json", {}, false};
}

http_response platform_service::transact(const http_request& request)
{
    const auto transaction = parse_transaction(request.body);
    auto& counts = current_counts();
    ++counts.transactions;
    if (std::any_of(transaction.writes.begin(), transaction.writes.end(), targets_operator_table)) {
        return error_response(403, "forbidden", "only the operator writes this table");
    }
    if (!table_.transact(transaction)) {
        return {412,
                rows_to_json(table_.current_rows(transaction.conditions)),
                "application/json",
                {},
                false};
    }
    counts.writes += transaction.writes.size();
    return {200, json{{"ver", table_.version()}}.dump(), "application/json", {}, false};
}

http_response platform_service::read_rows(const std::string& target)
{
    const auto parts = shell::split_target(target);
    ++current_counts().reads;
    const auto limit = parse_number(parts, "limit", platform::max_rows_per_read, 0);
    const platform::row_range range{parts.parameter("from"), parts.parameter("target"),
                                    static_cast<std::size_t>(limit)};
    return {200,
            rows_to_json(table_.read(parts.parameter("table"), range)),
            "application/json",
            {},
            false};
}

http_response platform_service::handle_object(const http_request& request, const std::string& name)
{
    if (request.method == "PUT") {
        ++current_counts().writes;
        table_.put_object(name, request.body);
        return {200, "{}", "application/json", {}, false};
    }
    ++current_counts().reads;
    auto body = table_.get_object(name);
    if (!body) {
        return error_response(404, "not_found", "no object named " + name);
    }
    return {200, std::move(*body), "application/octet-stream", {}, false};
}

http_response platform_service::handle_control_row(const http_request& request)
{
    const auto parts = shell::split_target(request.target);
    const auto table = parts.parameter("table");
    const auto key = parts.parameter("key");
    if (request.method == "PUT") {
        table_.transact({{}, {{table, key, request.body}}});
        return {200, json{{"ver", table_.version()}}.dump(), "application/json", {}, false};
    }
    const auto rows = table_.read(table, {key, "", 1}).rows;
    if (rows.empty() || rows.front().key != key) {
        return error_response(404, "not_found", "no row " + key + " in table " + table);
    }
    return {200, rows.front().value, "application/json", {}, false};
}

http_response platform_service::restore_copy()
{
    table_ = copy_;
    ++era_;
    // The store was away: the connections of the waiting feeds have ended.
    answer_waiting_feeds(true);
    return {};
}

http_response platform_service::set_fault(const std::string& body)
{
    const auto request = parse_platform_fault(body);
    if (request.clear) {
        faults_ = {};
        return {200, "{}", "application/json", {}, false};
    }
    auto& active = faults_.at(static_cast<std::size_t>(request.mode));
    active.fault = request.fault;
    active.ends_at = request.fault.duration.count() == 0 ? clock::time_point::max()
                                                         : clock::now() + request.fault.duration;
    return {200, "{}", "application/json", {}, false};
}

http_response platform_service::stats() const
{
    json by_second = json::array();
    second_counts total;
    for (const auto& counts : counts_by_second_) {
        by_second.push_back({{"second", counts.second},
                             {"reads", counts.reads},
                             {"writes", counts.writes},
                             {"transactions", counts.transactions},
                             {"histories_gone", counts.histories_gone}});
        total.reads += counts.reads;
        total.writes += counts.writes;
        total.transactions += counts.transactions;
        total.histories_gone += counts.histories_gone;
    }
    const json document{{"rows", table_.row_count()},
                        {"objects", table_.object_count()},
                        {"reads", total.reads},
                        {"writes", total.writes},
                        {"transactions", total.transactions},
                        {"histories_gone", total.histories_gone},
                        {"by_second", by_second}};
    return {200, document.dump(), "application/json", {}, false};
}

} // namespace camphor::standin
