// Synchronises a node with the platform's store: announces the node, lists the other nodes and
// watches the rows that operators write.
#pragma once

#include "libmesh/messages.h"
#include "libmesh/store_position.h"
#include "libshell/cancellable_timer.h"
#include "libshell/store_client.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace camphor::sidecar {

/// Client of the platform's store. Failed calls are retried with exponential backoff and jitter,
/// except for crash reports and roll-out status writes, whose failures are reported as events.
class store_follower {
public:
    using event_handler = std::function<void(mesh::event)>;

    /// Reports departures_read, departures_stored, nodes_listed, config_read, order_read,
    /// rollout_status_read, rollout_status_written, rows_read, store_restored, crashes_read and
    /// crashes_written to `on_event`. `on_log` receives log lines, such as those on lost and
    /// regained contact and on unreadable rows. `seed` initialises the random backoff jitter.
    store_follower(boost::asio::io_context& io, const mesh::listen_address& store,
                   mesh_wire::node_record own_record, std::chrono::milliseconds long_poll_timeout,
                   event_handler on_event, std::function<void(mesh::log_line)> on_log,
                   std::uint64_t seed);

    void start();
    void stop();
    void set_address(const mesh::listen_address& store);
    /// Sets how long the store may hold a long-poll read open while no row changes.
    void set_long_poll_timeout(std::chrono::milliseconds timeout);
    /// Whether this node reads the operators' rows from the store itself or gets them only from
    /// other nodes.
    void set_following(bool enabled);
    /// Another node knows that the store has come back from a copy.
    void enter_era(std::int64_t era);
    /// Decodes operators' rows that another node has read from the store.
    void decode_rows(const mesh::apply_rows& effect);
    /// Writes the status if its row still has the expected version; reports rollout_status_written.
    void write(const mesh::write_rollout_status& effect);
    /// Writes the departures to the node's row until that succeeds; reports departures_stored.
    void write(const mesh::store_departures& effect);
    /// Reads the crash reports of all nodes; reports crashes_read.
    void read_crashes();
    /// Writes the crash report of this node; reports crashes_written.
    void write(const mesh::write_crashes& effect);

    shell::store_counters counters() const;
    /// Number of reads whose history was gone from the store.
    std::uint64_t histories_gone() const { return histories_gone_; }
    /// Time since the store last answered a read of the operators' rows, or since the start if it
    /// has answered none. Empty while other nodes read the rows for this one.
    std::optional<duration> read_age() const;

private:
    using clock = std::chrono::steady_clock;

    using reply_handler = std::function<void(const shell::store_reply&)>;
    /// Calls the store; `done` gets the answer after its era has been noted.
    void call(shell::store_client& client, const platform::store_call& call,
              std::chrono::milliseconds limit, reply_handler done);
    /// Position of a row that an answer states.
    mesh::store_position position(const shell::store_reply& reply, std::int64_t version) const;
    /// Writes the row of this node.
    void announce();
    void on_announced(const shell::store_reply& reply, std::int64_t revision);
    /// The row that an earlier process of this node wrote, or that an unanswered write of this one
    /// left: takes over its departures.
    void take_over_row(const shell::store_reply& reply);
    void report_departures(const std::vector<mesh::backend_start>& starts);
    void list_nodes();
    /// Lists the nodes whose row key is not less than `first_key`, one page after the other.
    void list_nodes_from_key(const std::string& first_key);
    /// Decodes an answer and logs its unreadable rows.
    /// @throws platform::bad_store_answer
    platform::store_rows read_rows(const shell::store_reply& reply);
    mesh_wire::crash_report decode_crashes(const shell::store_reply& reply);
    void report_nodes(const std::vector<platform::store_row>& rows);
    void report_statuses(const shell::store_reply& reply,
                         const std::vector<platform::store_row>& rows);
    void note_feed_sent();
    void read_operator_table();
    void read_status();
    void poll_feed();
    void on_rows(const shell::store_reply& reply, bool whole_table);
    void on_history_gone();
    /// Decodes and reports the rows, and sets where the next read goes on.
    void report_rows(const shell::store_reply& reply, const platform::store_rows& answer,
                     bool whole_table);
    /// Calls `retry` after a random delay within the current ceiling, which doubles.
    void start_backoff(void (store_follower::*retry)());
    /// Calls `retry` after the backoff. Reads of the operators' rows are not retried while other
    /// nodes read them for this one, once a first read has succeeded.
    void retry_later(const shell::store_reply& reply, void (store_follower::*retry)());
    shell::cancellable_timer& timer_of(void (store_follower::*retry)());
    /// Decodes and reports one operators' row and states the number of its configuration in it.
    /// Returns whether the row holds a roll-out order.
    bool decode_row(mesh_wire::operator_row& row);
    /// Logs when the store becomes reachable or unreachable, and resets the backoff.
    void update_contact(bool is_reachable, const shell::store_reply& reply);
    void log(log_level level, const std::string& name, mesh::log_fields fields);

    shell::store_client call_client_;
    /// Used only for reads of the operators' rows, whose long polls would delay other calls.
    shell::store_client feed_client_;
    /// One timer for each call that may wait for its retry while others do.
    shell::cancellable_timer announce_retry_timer_;
    shell::cancellable_timer list_retry_timer_;
    shell::cancellable_timer status_retry_timer_;
    shell::cancellable_timer feed_retry_timer_;
    mesh_wire::node_record own_record_;
    /// Departures to be kept in the row of this node.
    mesh::store_departures departures_;
    /// Expected version of that row: 0 while it does not exist, none when it is unreadable.
    std::optional<std::int64_t> own_row_version_ = 0;
    bool announce_pending_ = false;
    /// The row has to be written again, since departures_ has changed.
    bool announce_again_ = false;
    bool departures_reported_ = false;
    /// The nodes were listed after this node's row had been written. Of two nodes, the one that
    /// writes its row later finds the other's.
    bool nodes_listed_ = false;
    std::chrono::milliseconds long_poll_timeout_;
    event_handler on_event_;
    std::function<void(mesh::log_line)> on_log_;
    std::mt19937_64 random_;
    /// Up to where the operators' rows were read. A read of the whole table sets it, also to a
    /// lower version.
    mesh::store_position read_up_to_;
    /// Latest known era of the store; 0 before the first answer and when the store states none.
    std::int64_t era_ = 0;
    /// Changes may have been missed: the next read is one of the whole table.
    bool whole_table_needed_ = false;
    /// Reads in a row whose history was gone.
    int histories_gone_in_a_row_ = 0;
    std::uint64_t histories_gone_ = 0;
    bool following_feed_ = true;
    bool feed_pending_ = false;
    /// When the latest read of the operators' rows was sent, and what was known of the store then.
    clock::time_point feed_sent_at_;
    std::int64_t feed_sent_in_era_ = 0;
    mesh::store_position feed_sent_at_position_;
    clock::time_point feed_answered_at_ = clock::now();
    bool store_reachable_ = false;
    int consecutive_failures_ = 0;
    bool stopped_ = false;
};

} // namespace camphor::sidecar
