// The node daemon: the core together with its listeners, platform clients and log.
#pragma once

#include "libshell/call_server.h"
#include "libshell/json_log.h"
#include "libshell/metrics.h"
#include "libshell/node_settings_reader.h"
#include "libshell/peer_link.h"
#include "libshell/platform_http.h"
#include "libshell/resource_api.h"
#include "libshell/runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace camphor::shell {

/// Runs one node of the mesh. All work is done on the thread that calls run().
class daemon {
public:
    explicit daemon(daemon_settings settings);
    ~daemon() = default;
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Serves calls until SIGTERM or SIGINT, then drains.
    /// @return true when every call in flight finished, false when the drain grace period expired
    /// @throws boost::system::system_error when a listener cannot be bound
    bool run();

private:
    effect_handlers make_effect_handlers();
    void on_applied(const config_applied& applied);
    void on_signal();
    void on_stopped();
    void shut_down();
    std::string metrics() const;

    daemon_settings settings_;
    boost::asio::io_context io_;
    json_log log_;
    runtime core_;
    platform_http platform_;
    /// Separate client for claims, so that queued keyed calls never delay configuration requests.
    platform_http claims_platform_;
    peer_link peer_link_;
    call_server call_server_;
    resource_api resource_api_;
    admin_server admin_server_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer drain_timer_;
    /// Time from the acceptance of a configuration change to its application on this node.
    duration_metric convergence_time_;
    /// Configuration version in force on this node.
    config_version applied_version_;
    /// False once the drain grace period has expired.
    bool drained_ = true;
};

} // namespace camphor::shell
