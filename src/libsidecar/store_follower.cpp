// Calls to the store: announcement, node list, operators' rows, roll-out status, crash reports.
#include "libsidecar/store_follower.h"

#include "libmesh/log_text.h"
#include "platform/operator_rows.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace camphor::sidecar {

using namespace std::chrono_literals;

namespace {

/// The store takes some milliseconds for a call, and up to a second when it is slow.
constexpr std::chrono::milliseconds call_timeout{2'000};
/// Exponential backoff after failed calls: each delay is random between half of the current ceiling
/// and the ceiling, which doubles up to max_backoff.
constexpr std::chrono::milliseconds initial_backoff{200};
constexpr std::chrono::milliseconds max_backoff{1'600};
constexpr int max_backoff_doublings = 3;

} // namespace

store_follower::store_follower(boost::asio::io_context& io, const mesh::listen_address& store,
                               mesh_wire::node_record own_record,
                               std::chrono::milliseconds long_poll_timeout, event_handler on_event,
                               std::function<void(mesh::log_line)> on_log, std::uint64_t seed)
    : call_client_(io, store), feed_client_(io, store), announce_retry_timer_(io.get_executor()),
      list_retry_timer_(io.get_executor()), status_retry_timer_(io.get_executor()),
      feed_retry_timer_(io.get_executor()), own_record_(std::move(own_record)),
      long_poll_timeout_(long_poll_timeout), on_event_(std::move(on_event)),
      on_log_(std::move(on_log)), random_(seed)
{
}

void store_follower::start()
{
    announce();
    read_operator_table();
}

void store_follower::stop()
{
    stopped_ = true;
    for (auto* timer :
         {&announce_retry_timer_, &list_retry_timer_, &status_retry_timer_, &feed_retry_timer_}) {
        timer->cancel();
    }
}

void store_follower::set_address(const mesh::listen_address& store)
{
    whole_table_needed_ = true;
    call_client_.set_address(store);
    feed_client_.set_address(store);
}

void store_follower::set_long_poll_timeout(std::chrono::milliseconds timeout)
{
    long_poll_timeout_ = timeout;
}

shell::store_counters store_follower::counters() const
{
    auto out = call_client_.counters();
    out.calls += feed_client_.counters().calls;
    out.failures += feed_client_.counters().failures;
    out.bytes += feed_client_.counters().bytes;
    return out;
}

std::optional<duration> store_follower::read_age() const
{
    if (!following_feed_) {
        return std::nullopt;
    }
    return clock::now() - feed_answered_at_;
}

void store_follower::log(log_level level, const std::string& name, mesh::log_fields fields)
{
    on_log_({level, name, "", std::move(fields)});
}

void store_follower::call(shell::store_client& client, const platform::store_call& call,
                          std::chrono::milliseconds limit, reply_handler done)
{
    client.call(call, limit, [this, done = std::move(done)](const shell::store_reply& reply) {
        enter_era(reply.era);
        done(reply);
    });
}

void store_follower::enter_era(std::int64_t era)
{
    if (era <= era_) {
        return;
    }
    const bool is_first = era_ == 0 && read_up_to_ == mesh::store_position{};
    const auto before = std::exchange(era_, era);
    if (is_first) {
        return;
    }
    whole_table_needed_ = true;
    log(log_level::warning, "store.restored",
        {{"era", std::to_string(era)},
         {"before", std::to_string(before)},
         {"read_up_to", std::to_string(read_up_to_.version())}});
    on_event_(mesh::store_restored{era});
    // The node's row may be gone, as may those of nodes that have not listed this one.
    nodes_listed_ = false;
    if (announce_pending_) {
        announce_again_ = true;
    } else {
        start_backoff(&store_follower::announce);
    }
}

mesh::store_position store_follower::position(const shell::store_reply& reply,
                                              std::int64_t version) const
{
    return {reply.era > 0 ? reply.era : era_, version};
}

void store_follower::announce()
{
    if (announce_pending_) {
        announce_again_ = true;
        return;
    }
    announce_pending_ = true;
    announce_again_ = false;
    announce_retry_timer_.cancel();
    // A write that was sent by an earlier process may still be carried out: only the condition on
    // the version keeps it from undoing this one.
    const auto row = platform::write_row(platform::node_table, own_record_.node,
                                         platform::write_node_row(own_record_, departures_.starts),
                                         own_row_version_);
    call(call_client_, row, call_timeout,
         [this, revision = departures_.revision](const shell::store_reply& reply) {
             on_announced(reply, revision);
         });
}

void store_follower::on_announced(const shell::store_reply& reply, std::int64_t revision)
{
    announce_pending_ = false;
    if (reply.status == shell::store_conflict) {
        const auto version_before = own_row_version_;
        take_over_row(reply);
        if (own_row_version_ == version_before) {
            retry_later({reply.status, "", "the row has another version than stated", true},
                        &store_follower::announce);
        } else {
            announce();
        }
        return;
    }
    if (reply.status != shell::store_ok) {
        retry_later(reply, &store_follower::announce);
        return;
    }
    own_row_version_ = platform::read_written_version(reply.body);
    report_departures({});
    on_event_(mesh::departures_stored{revision});
    if (announce_again_) {
        announce();
    } else if (!std::exchange(nodes_listed_, true)) {
        list_nodes();
    }
}

void store_follower::take_over_row(const shell::store_reply& reply)
{
    own_row_version_ = std::nullopt;
    try {
        const auto answer = read_rows(reply);
        if (answer.rows.empty() && answer.unreadable.empty()) {
            own_row_version_ = 0;
        }
        for (const auto& row : answer.rows) {
            if (row.key != own_record_.node) {
                continue;
            }
            own_row_version_ = row.version;
            const auto starts = platform::read_departures(row.value);
            std::copy_if(starts.begin(), starts.end(), std::back_inserter(departures_.starts),
                         [this](const auto& start) {
                             const auto& known = departures_.starts;
                             return std::find(known.begin(), known.end(), start) == known.end();
                         });
            report_departures(starts);
        }
    } catch (const std::runtime_error& error) {
        log(log_level::warning, "store.bad_row",
            {{"table", platform::node_table}, {"key", own_record_.node}, {"reason", error.what()}});
    }
}

void store_follower::report_departures(const std::vector<mesh::backend_start>& starts)
{
    if (!std::exchange(departures_reported_, true)) {
        on_event_(mesh::departures_read{starts});
    }
}

void store_follower::write(const mesh::store_departures& effect)
{
    departures_ = effect;
    announce();
}

void store_follower::list_nodes()
{
    list_nodes_from_key("");
}

void store_follower::list_nodes_from_key(const std::string& first_key)
{
    const auto call = platform::read_table(platform::node_table, {first_key, "", 0});
    this->call(call_client_, call, call_timeout,
               [this, first_key](const shell::store_reply& reply) {
                   if (reply.status != shell::store_ok) {
                       retry_later(reply, &store_follower::list_nodes);
                       return;
                   }
                   try {
                       const auto answer = read_rows(reply);
                       report_nodes(answer.rows);
                       if (answer.truncated && answer.rows.size() > 1) {
                           // The next page starts with the last row of this one.
                           list_nodes_from_key(answer.rows.back().key);
                       }
                   } catch (const platform::bad_store_answer& error) {
                       retry_later({0, "", error.what(), true}, &store_follower::list_nodes);
                   }
               });
}

platform::store_rows store_follower::read_rows(const shell::store_reply& reply)
{
    auto out = platform::read_rows(reply.body);
    for (const auto& row : out.unreadable) {
        log(log_level::warning, "store.bad_row", {{"key", row.key}, {"reason", row.reason}});
    }
    return out;
}

void store_follower::report_nodes(const std::vector<platform::store_row>& rows)
{
    mesh::nodes_listed listed;
    for (const auto& row : rows) {
        try {
            listed.nodes.push_back(platform::read_node_row(row.value));
        } catch (const platform::bad_row& error) {
            log(log_level::warning, "store.bad_row", {{"key", row.key}, {"reason", error.what()}});
        }
    }
    on_event_(std::move(listed));
}

void store_follower::read_status()
{
    call(call_client_, platform::read_table(platform::status_table), call_timeout,
         [this](const shell::store_reply& reply) {
             if (reply.status != shell::store_ok) {
                 retry_later(reply, &store_follower::read_status);
                 return;
             }
             try {
                 report_statuses(reply, read_rows(reply).rows);
             } catch (const platform::bad_store_answer& error) {
                 retry_later({0, "", error.what(), true}, &store_follower::read_status);
             }
         });
}

void store_follower::report_statuses(const shell::store_reply& reply,
                                     const std::vector<platform::store_row>& rows)
{
    for (const auto& row : rows) {
        try {
            if (const auto status = platform::read_rollout_status(row.key, row.value)) {
                on_event_(
                    mesh::rollout_status_read{*status, position(reply, row.version).packed()});
            }
        } catch (const platform::bad_row& error) {
            log(log_level::warning, "store.bad_row",
                {{"table", "status"}, {"key", row.key}, {"reason", error.what()}});
        }
    }
}

void store_follower::retry_later(const shell::store_reply& reply, void (store_follower::*retry)())
{
    if (stopped_) {
        return;
    }
    update_contact(false, reply);
    if (!following_feed_ &&
        (retry == &store_follower::read_operator_table || retry == &store_follower::poll_feed) &&
        read_up_to_.version() > 0) {
        feed_pending_ = false;
        return;
    }
    start_backoff(retry);
}

void store_follower::start_backoff(void (store_follower::*retry)())
{
    const auto unbounded_backoff =
        initial_backoff * (1 << std::min(consecutive_failures_, max_backoff_doublings));
    const auto backoff_ceiling = std::min(unbounded_backoff, max_backoff);
    std::uniform_int_distribution<std::int64_t> backoff(backoff_ceiling.count() / 2,
                                                        backoff_ceiling.count());
    ++consecutive_failures_;
    timer_of(retry).start(std::chrono::milliseconds(backoff(random_)), [this, retry] {
        if (!stopped_) {
            (this->*retry)();
        }
    });
}

shell::cancellable_timer& store_follower::timer_of(void (store_follower::*retry)())
{
    struct retry_entry {
        void (store_follower::*retry)();
        shell::cancellable_timer store_follower::*timer;
    };
    static constexpr std::array<retry_entry, 3> entries{{
        {&store_follower::announce, &store_follower::announce_retry_timer_},
        {&store_follower::list_nodes, &store_follower::list_retry_timer_},
        {&store_follower::read_status, &store_follower::status_retry_timer_},
    }};
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [retry](const auto& entry) { return entry.retry == retry; });
    return found == entries.end() ? feed_retry_timer_ : this->*(found->timer);
}

void store_follower::update_contact(bool is_reachable, const shell::store_reply& reply)
{
    if (is_reachable) {
        consecutive_failures_ = 0;
    }
    if (is_reachable == store_reachable_) {
        return;
    }
    store_reachable_ = is_reachable;
    if (is_reachable) {
        log(log_level::info, "store.regained",
            {{"read_up_to", std::to_string(read_up_to_.version())}});
    } else {
        log(log_level::warning, "store.lost",
            {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
        on_event_(mesh::rows_read{{}, read_up_to_.packed(), false});
    }
}

void store_follower::set_following(bool enabled)
{
    if (following_feed_ == enabled) {
        return;
    }
    following_feed_ = enabled;
    // A pending call continues; its answer shows whether the store is reachable.
    if (enabled && !feed_pending_) {
        read_operator_table();
    }
}

void store_follower::note_feed_sent()
{
    feed_pending_ = true;
    feed_sent_at_ = clock::now();
    feed_sent_in_era_ = era_;
    feed_sent_at_position_ = read_up_to_;
}

void store_follower::read_operator_table()
{
    note_feed_sent();
    call(feed_client_, platform::read_table(platform::operator_table), call_timeout,
         [this](const shell::store_reply& reply) { on_rows(reply, true); });
}

void store_follower::poll_feed()
{
    if (!following_feed_) {
        feed_pending_ = false;
        return;
    }
    if (whole_table_needed_) {
        read_operator_table();
        return;
    }
    note_feed_sent();
    call(feed_client_,
         platform::watch_table(platform::operator_table, read_up_to_.version(), long_poll_timeout_),
         long_poll_timeout_ + call_timeout,
         [this](const shell::store_reply& reply) { on_rows(reply, false); });
}

void store_follower::on_rows(const shell::store_reply& reply, bool whole_table)
{
    if (stopped_) {
        return;
    }
    if (reply.status == shell::store_history_gone && !whole_table) {
        on_history_gone();
        return;
    }
    const auto retry =
        whole_table ? &store_follower::read_operator_table : &store_follower::poll_feed;
    if (reply.status != shell::store_ok) {
        retry_later(reply, retry);
        return;
    }
    // A poll tells nothing of what the store lost, nor of what was written below its version.
    const bool crossed_eras = feed_sent_at_position_.era() != position(reply, 0).era();
    if (!whole_table && (whole_table_needed_ || crossed_eras)) {
        read_operator_table();
        return;
    }
    try {
        report_rows(reply, read_rows(reply), whole_table);
    } catch (const platform::bad_store_answer& error) {
        retry_later({0, "", error.what(), true}, retry);
        return;
    }
    if (whole_table_needed_) {
        start_backoff(&store_follower::read_operator_table);
    } else {
        poll_feed();
    }
}

void store_follower::on_history_gone()
{
    ++histories_gone_;
    log(log_level::info, "store.history_gone",
        {{"read_up_to", std::to_string(read_up_to_.version())}});
    // The history may be gone again by the time that the whole table has been read.
    if (histories_gone_in_a_row_++ == 0) {
        read_operator_table();
    } else {
        consecutive_failures_ = std::max(consecutive_failures_, histories_gone_in_a_row_ - 2);
        start_backoff(&store_follower::read_operator_table);
    }
}

void store_follower::report_rows(const shell::store_reply& reply,
                                 const platform::store_rows& answer, bool whole_table)
{
    const bool decreased = answer.store_version < feed_sent_at_position_.version();
    if (decreased) {
        log(log_level::warning, "store.version_decreased",
            {{"stated", std::to_string(answer.store_version)},
             {"read_up_to", std::to_string(feed_sent_at_position_.version())},
             {"whole_table", whole_table ? "true" : "false"}});
    }
    if (decreased && whole_table && reply.era == 0 && feed_sent_in_era_ == era_ &&
        feed_sent_at_position_.era() == era_) {
        // The store states no era, but only a store that came back from a copy goes back.
        enter_era(era_ + 1);
        feed_sent_in_era_ = era_;
    }
    const auto era = reply.era > 0 ? reply.era : feed_sent_in_era_;
    mesh::rows_read event;
    bool has_order = false;
    for (const auto& row : answer.rows) {
        mesh_wire::operator_row wire_row;
        wire_row.__set_key(row.key);
        wire_row.__set_row_version(mesh::store_position(era, row.version).packed());
        wire_row.__set_document(row.value);
        wire_row.__set_removed(row.removed);
        has_order = decode_row(wire_row) || has_order;
        event.rows.push_back(std::move(wire_row));
    }
    const mesh::store_position read_up_to(era, answer.store_version);
    read_up_to_ = whole_table ? read_up_to : std::max(read_up_to_, read_up_to);
    // The store is linearizable: a read that was sent in the latest known era is current.
    whole_table_needed_ = whole_table_needed_ && !(whole_table && feed_sent_in_era_ == era_);
    histories_gone_in_a_row_ = whole_table ? histories_gone_in_a_row_ : 0;
    event.read_up_to = read_up_to_.packed();
    event.fresh = true;
    event.whole_table = whole_table;
    feed_answered_at_ = clock::now();
    update_contact(true, reply);
    if (!event.rows.empty()) {
        log(log_level::info, "store.rows_read",
            {{"rows", std::to_string(event.rows.size())},
             {"read_up_to", std::to_string(read_up_to_.version())},
             {"waited_ms", mesh::format_ms(feed_answered_at_ - feed_sent_at_)}});
    }
    on_event_(std::move(event));
    if (whole_table && has_order) {
        // The roll-out order may already be finished: the status table holds its outcome.
        read_status();
    }
}

bool store_follower::decode_row(mesh_wire::operator_row& row)
{
    try {
        auto document = row.removed
                            ? platform::read_removed_row(row.key, row.row_version)
                            : platform::read_operator_row(row.key, row.document, row.row_version);
        if (auto* config = std::get_if<mesh::config_read>(&document)) {
            row.__set_config_version(config->config->version().value());
            on_event_(std::move(*config));
        } else if (auto* rollout_order = std::get_if<mesh::rollout_order_read>(&document)) {
            on_event_(std::move(*rollout_order));
            return true;
        } else if (auto* evacuation = std::get_if<mesh::evacuation_read>(&document)) {
            on_event_(std::move(*evacuation));
        }
    } catch (const platform::bad_row& error) {
        log(log_level::error, "store.bad_row", {{"key", row.key}, {"reason", error.what()}});
    }
    return false;
}

void store_follower::decode_rows(const mesh::apply_rows& effect)
{
    for (auto row : effect.rows) {
        decode_row(row);
    }
    const auto read_up_to = mesh::store_position::from_packed(effect.read_up_to);
    enter_era(read_up_to.era());
    read_up_to_ = std::max(read_up_to_, read_up_to);
}

void store_follower::write(const mesh::write_rollout_status& effect)
{
    const auto row = platform::write_row(
        platform::status_table, platform::rollout_status_key(effect.status.service),
        platform::write_rollout_status(effect.status), effect.expected_version);
    call(call_client_, row, call_timeout, [this, effect](const shell::store_reply& reply) {
        using outcome = mesh::rollout_status_written::outcome;
        mesh::rollout_status_written event;
        event.status = effect.status;
        if (reply.status == shell::store_ok) {
            event.result = outcome::written;
            event.row_version =
                position(reply, platform::read_written_version(reply.body)).packed();
        } else if (reply.status == shell::store_conflict) {
            event.result = outcome::conflict;
            read_status();
        } else {
            event.result = outcome::failed;
            log(log_level::warning, "rollout.status_not_written",
                {{"service", effect.status.service.value()},
                 {"status", std::to_string(reply.status)},
                 {"reason", reply.problem}});
            // The store may have applied the write: reading the row shows whether it did.
            if (reply.was_sent) {
                read_status();
            }
        }
        on_event_(std::move(event));
    });
}

void store_follower::read_crashes()
{
    call(call_client_, platform::read_table(platform::crash_table), call_timeout,
         [this](const shell::store_reply& reply) {
             mesh::crashes_read event;
             if (reply.status == shell::store_ok) {
                 event.done = true;
                 event.report = decode_crashes(reply);
             } else {
                 log(log_level::info, "suspects.not_read",
                     {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
             }
             on_event_(std::move(event));
         });
}

mesh_wire::crash_report store_follower::decode_crashes(const shell::store_reply& reply)
{
    mesh_wire::crash_report out;
    try {
        for (const auto& row : read_rows(reply).rows) {
            try {
                const auto part =
                    platform::read_crash_row(row.value, std::chrono::system_clock::now());
                out.ends.insert(out.ends.end(), part.ends.begin(), part.ends.end());
            } catch (const platform::bad_row& error) {
                log(log_level::warning, "store.bad_row",
                    {{"table", platform::crash_table}, {"key", row.key}, {"reason", error.what()}});
            }
        }
    } catch (const platform::bad_store_answer& error) {
        log(log_level::warning, "store.bad_row",
            {{"table", platform::crash_table}, {"reason", error.what()}});
    }
    return out;
}

void store_follower::write(const mesh::write_crashes& effect)
{
    const auto row = platform::write_row(
        platform::crash_table, own_record_.node,
        platform::write_crash_row(effect.report, std::chrono::system_clock::now()));
    call(call_client_, row, call_timeout, [this](const shell::store_reply& reply) {
        if (reply.status != shell::store_ok) {
            log(log_level::warning, "suspects.not_written",
                {{"status", std::to_string(reply.status)}, {"reason", reply.problem}});
        }
        on_event_(mesh::crashes_written{reply.status == shell::store_ok});
    });
}

} // namespace camphor::sidecar
