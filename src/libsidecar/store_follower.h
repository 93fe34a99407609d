// Keeps a node up to date with the platform's store: makes the node known, lists the others,
// follows the operators' rows.
#pragma once

#include "libmesh/messages.h"
#include "libshell/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace camphor::sidecar {

class store_follower {
public:
    using event_function = std::function<void(mesh::event)>;

    /// `on_event` hears nodes_listed, config_read, order_read, rollout_status_read, rows_read and
    /// log-worthy changes; `on_log` hears of lost and regained contact and of unusable rows.
    store_follower(boost::asio::io_context& io, const mesh::listen_address& store,
                   mesh_wire::node_record self, std::chrono::milliseconds longest_read,
                   event_function on_event, std::function<void(mesh::log_line)> on_log,
                   std::uint64_t seed);

    void start();
    void stop();
    void set_address(const mesh::listen_address& store);
    /// The store is asked to answer a read after this long though nothing changed.
    void set_longest_read(std::chrono::milliseconds wait);
    /// Whether the operators' rows are read from the store, or come from other nodes alone.
    void set_following(bool follow);
    /// Decodes rows that another node read.
    void take(const mesh::take_rows& order);
    void write(const mesh::write_rollout_status& order);
    /// Reads which requests are in quarantine; crashes_read tells.
    void read_crashes();
    void write(const mesh::write_crashes& order);

    shell::store_counters counters() const;
    /// Time since the store last answered a read of the operators' rows (since the start before the
    /// first answer); none while other nodes read them.
    std::optional<duration> read_age() const;

private:
    using clock = std::chrono::steady_clock;

    void announce();
    void list_nodes();
    /// Lists the nodes whose rows' keys are not less than `first`.
    void list_nodes_from(const std::string& first);
    /// Logs the rows that cannot be read.
    /// @throws platform::bad_store_answer
    platform::store_rows read_rows(const shell::store_reply& reply);
    mesh_wire::crash_report take_crashes(const shell::store_reply& reply);
    void take_nodes(const std::vector<platform::store_row>& rows);
    void take_statuses(const std::vector<platform::store_row>& rows);
    void read_all();
    void read_status();
    void follow();
    void on_rows(const shell::store_reply& reply, bool whole_table);
    void retry_later(const shell::store_reply& reply, void (store_follower::*again)());
    /// True when the row holds an order.
    bool decode(const mesh_wire::operator_row& row);
    void note_contact(bool good, const shell::store_reply& reply);
    void log(log_level level, const std::string& name, mesh::log_fields fields);

    shell::store_client calls_;
    shell::store_client feed_;
    boost::asio::steady_timer announce_timer_;
    boost::asio::steady_timer follow_timer_;
    mesh_wire::node_record self_;
    std::chrono::milliseconds longest_read_;
    event_function on_event_;
    std::function<void(mesh::log_line)> on_log_;
    std::mt19937_64 random_;
    /// Newest version of the store that the operators' rows were read at.
    std::int64_t read_up_to_ = 0;
    bool following_ = true;
    bool feed_pending_ = false;
    /// When the pending call for the operators' rows was sent.
    clock::time_point asked_at_;
    clock::time_point answered_at_ = clock::now();
    bool in_contact_ = false;
    int failures_ = 0;
    bool stopped_ = false;
};

} // namespace camphor::sidecar
