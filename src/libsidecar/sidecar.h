// A node on the users' platform: the decisions of libmesh with their I/O.
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

class sidecar {
public:
    /// @throws boost::system::system_error when it cannot listen
    sidecar(mesh::mesh_settings settings, const std::string& settings_path,
            const std::string& settings_text);
    ~sidecar();
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;

    /// Serves until SIGTERM and the end of what is in flight.
    void run();

private:
    http_handlers outbound_handlers();
    http_handlers control_handlers();
    http_handlers ready_handlers();
    http_handlers metrics_handlers();
    void post(mesh::event happened);
    void drain_events();
    void perform(const mesh::effect& item);
    void arm();
    /// Reports a timer that was handled much too late.
    void note_lateness(duration late);
    void on_client_request(const std::shared_ptr<http_connection>& from, std::uint64_t number,
                           http_request&& message);
    void on_check_in(const std::shared_ptr<http_connection>& from, std::uint64_t number,
                     const http_request& message);
    void watch_signals();
    /// Takes over what can change in a running node; the rest is logged.
    void reload(const std::string& settings_text);
    void stop();
    void end_when_quiet(std::chrono::steady_clock::time_point at_the_latest);
    void write_log(const mesh::log_line& line);
    std::string render_metrics() const;

    void carry_out(const mesh::deliver_answer& order);
    void carry_out(const mesh::deliver_refusal& order);
    void carry_out(const mesh::send_to_app& order) { app_.send(order); }
    void carry_out(const mesh::drop_run& order) { app_.drop(order.run); }
    void carry_out(const mesh::dial_peer& order) { peers_.dial(order.peer); }
    void carry_out(const mesh::send_to_peer& order) { peers_.send(order.link, order.frame); }
    void carry_out(const mesh::close_link& order) { peers_.close(order.link); }
    void carry_out(const mesh::follow_store& order) { store_.set_following(order.follow); }
    void carry_out(const mesh::take_rows& order) { store_.take(order); }
    void carry_out(const mesh::write_rollout_status& order) { store_.write(order); }
    void carry_out(const mesh::read_crashes&) { store_.read_crashes(); }
    void carry_out(const mesh::write_crashes& order) { store_.write(order); }
    void carry_out(const mesh::log_line& line) { write_log(line); }
    void carry_out(const mesh::may_stop&) { stop(); }

    mesh::mesh_settings settings_;
    boost::asio::io_context io_;
    shell::json_log log_;
    log_limiter limiter_;
    mesh::node node_;
    app_client app_;
    peer_links peers_;
    store_follower store_;
    http_listener outbound_;
    http_listener inbound_;
    http_listener ready_;
    http_listener control_;
    http_listener metrics_;
    boost::asio::signal_set signals_;
    settings_watch settings_watch_;
    boost::asio::steady_timer timer_;
    /// Connections of the clients' requests that are not answered.
    std::unordered_map<std::uint64_t, std::weak_ptr<http_connection>> clients_;
    std::deque<mesh::event> events_;
    bool draining_events_ = false;
    /// The timer waits for the end of the last connections.
    bool leaving_ = false;
    time_point armed_for_{};
    mesh::mesh_config_ptr limits_from_;
};

} // namespace camphor::sidecar
