// The process of one mesh node: connects the decision logic of libmesh with network, timers and
// signals.
#pragma once

#include "libmesh/mesh_settings.h"
#include "libmesh/node.h"
#include "libshell/json_log.h"
#include "libsidecar/app_client.h"
#include "libsidecar/http_listener.h"
#include "libsidecar/log_limiter.h"
#include "libsidecar/peer_links.h"
#include "libsidecar/settings_watch.h"
#include "libsidecar/store_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>

namespace camphor::sidecar {

/// Feeds events from the listeners, the backend server, peers and the store to mesh::node and
/// carries out the effects that it returns. Runs on a single thread.
class sidecar {
public:
    /// `settings_text` is the content of the file at `settings_path` from which `settings` were
    /// read.
    /// @throws boost::system::system_error if an address cannot be listened on
    sidecar(mesh::mesh_settings settings, const std::string& settings_path,
            const std::string& settings_text);
    ~sidecar();
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;

    /// Serves until SIGTERM or SIGINT, then finishes the requests in flight and returns.
    void run();

private:
    http_handlers outbound_handlers();
    /// Limits that the client listeners share.
    listener_capacity client_capacity() const;
    /// Limits of the listeners for the backend server, probes and metrics.
    static listener_capacity local_capacity();
    http_handlers control_handlers();
    http_handlers ready_handlers();
    http_handlers metrics_handlers();
    void post(mesh::event event);
    void process_events();
    void perform(const mesh::effect& effect);
    /// Sets the timer to the next deadline of the node.
    void arm_timer();
    /// Logs a timer that fired later than the threshold.
    void log_late_timer(duration delay);
    /// Reports to the node that the machine was suspended since the last call.
    void detect_suspension();
    void on_client_request(const std::shared_ptr<http_connection>& from,
                           std::uint64_t request_number, http_request&& request);
    void on_check_in(const std::shared_ptr<http_connection>& from, std::uint64_t request_number,
                     const http_request& request);
    void watch_signals();
    /// Applies the settings that can change at run time and logs those that need a restart.
    void reload(const std::string& settings_text);
    /// Closes the listeners and exits once their connections are closed.
    void stop();
    void exit_when_drained(std::chrono::steady_clock::time_point deadline);
    bool is_drained() const;
    void exit_now();
    void write_log(const mesh::log_line& line);
    /// Logs and counts an exception of a handler.
    void on_handler_failure(const std::string& where, const std::string& reason);
    std::string render_metrics() const;

    void handle(const mesh::deliver_answer& effect);
    void handle(const mesh::deliver_refusal& effect);
    void handle(const mesh::send_to_backend& effect) { app_.send(effect); }
    void handle(const mesh::abort_run& effect) { app_.cancel(effect.run); }
    void handle(const mesh::dial_peer& effect) { peers_.dial(effect.peer); }
    void handle(const mesh::send_to_peer& effect) { peers_.send(effect); }
    void handle(const mesh::close_link& effect) { peers_.close(effect.link); }
    void handle(const mesh::set_store_reading& effect) { store_.set_following(effect.follow); }
    void handle(const mesh::enter_store_era& effect) { store_.enter_era(effect.era); }
    void handle(const mesh::apply_rows& effect) { store_.decode_rows(effect); }
    void handle(const mesh::write_rollout_status& effect) { store_.write(effect); }
    void handle(const mesh::acknowledge_check_in& effect);
    void handle(const mesh::store_departures& effect) { store_.write(effect); }
    void handle(const mesh::read_crashes&) { store_.read_crashes(); }
    void handle(const mesh::write_crashes& effect) { store_.write(effect); }
    void handle(const mesh::log_line& line) { write_log(line); }
    void handle(const mesh::shutdown_complete&) { stop(); }

    mesh::mesh_settings settings_;
    boost::asio::io_context io_;
    shell::json_log log_;
    log_limiter log_limiter_;
    mesh::node node_;
    app_client app_;
    body_budgets budgets_;
    peer_links peers_;
    store_follower store_;
    std::shared_ptr<request_counter> client_request_numbers_ = std::make_shared<request_counter>();
    http_listener outbound_;
    http_listener inbound_;
    http_listener ready_;
    http_listener control_;
    http_listener metrics_;
    boost::asio::signal_set signals_;
    settings_watch settings_watch_;
    boost::asio::steady_timer timer_;
    /// Time for which the machine had been suspended since its start, when last looked at.
    duration suspended_time_;
    /// Client connections of the unanswered requests, by request number.
    std::unordered_map<std::uint64_t, std::weak_ptr<http_connection>> connections_by_request_;
    /// Connections of the check-ins that are not acknowledged yet, by request number.
    std::unordered_map<std::uint64_t, std::weak_ptr<http_connection>> unacknowledged_check_ins_;
    std::deque<mesh::event> events_;
    bool processing_events_ = false;
    std::uint64_t failed_handlers_ = 0;
    /// Set while stopping: timer_ then polls for the remaining client connections.
    bool closing_connections_ = false;
    /// When timer_ fires; zero if it is not set.
    time_point timer_due_{};
    /// Configuration whose client limits are in use.
    mesh::mesh_config_ptr limits_config_;
};

} // namespace camphor::sidecar
