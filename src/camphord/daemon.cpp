// Connects the core to its network, platform and signal handlers.
#include <utility>

#include <boost/asio.hpp>

#include "camphord/daemon.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace camphor::shell {

namespace {

std::uint64_t random_seed()
{
    std::random_device source;
    constexpr unsigned word_bits = 32;
    return (static_cast<std::uint64_t>(source()) << word_bits) | source();
}

call_server_settings call_server_settings_of(const daemon_settings& settings)
{
    call_server_settings out;
    out.host = settings.node.host;
    out.call_port = settings.node.call_port;
    out.node = settings.node.node.value();
    out.head_bytes = settings.limits.header_bytes;
    out.held_body_bytes = settings.limits.keyed_body_bytes;
    out.connections = settings.limits.call_connections;
    out.head_timeout = settings.limits.head_timeout;
    return out;
}

platform_settings platform_settings_of(const daemon_settings& settings)
{
    return {settings.platform.host, settings.platform.port, settings.platform.timeout};
}

admin_settings admin_settings_of(const daemon_settings& settings)
{
    admin_settings out;
    out.host = settings.admin.host;
    out.port = settings.admin.port;
    out.connection_limit = settings.limits.admin_connections;
    out.body_limit_bytes = settings.limits.admin_body_bytes;
    out.header_limit_bytes = settings.limits.header_bytes;
    return out;
}

} // namespace

daemon::daemon(daemon_settings settings)
    : settings_(std::move(settings)), io_(1),
      log_({settings_.node.node, settings_.node.zone}, settings_.level), core_(io_, settings_.node),
      platform_(io_, platform_settings_of(settings_)),
      claims_platform_(io_, platform_settings_of(settings_)),
      peer_link_(io_, settings_.node, core_,
                 [this](const log_record& line) { log_.write(line, applied_version_); }),
      call_server_(io_, call_server_settings_of(settings_), core_),
      resource_api_(core_, platform_, log_, [this] { return metrics(); }),
      admin_server_(io_, admin_settings_of(settings_),
                    [this](const api_request& request, const responder_ptr& reply) {
                        resource_api_.handle(request, reply);
                    }),
      signals_(io_, SIGTERM, SIGINT), drain_timer_(io_)
{
}

effect_handlers daemon::make_effect_handlers()
{
    effect_handlers out;
    out.send = [this](const send_frame& effect) {
        peer_link_.send(effect);
    };
    out.call_platform = [this](const platform_call& effect) {
        auto& platform = effect.ticket.owner == module_id::claims ? claims_platform_ : platform_;
        platform.call(effect.request, [this, ticket = effect.ticket](platform_reply reply) {
            core_.post(platform_replied{ticket, std::move(reply)});
        });
    };
    out.answer = [this](const answer_operator& effect) {
        resource_api_.answer(effect);
    };
    out.log = [this](const log_record& line) {
        log_.write(line, applied_version_);
    };
    out.applied = [this](const config_applied& effect) {
        on_applied(effect);
    };
    out.call = [this](const call_effect& effect) {
        call_server_.perform(effect);
    };
    out.stopped = [this] {
        on_stopped();
    };
    return out;
}

bool daemon::run()
{
    core_.set_handlers(make_effect_handlers());
    signals_.async_wait([this](boost::system::error_code error, int /*signal*/) {
        if (!error) {
            on_signal();
        }
    });
    admin_server_.start();
    call_server_.start();
    core_.start(random_seed());
    peer_link_.start(core_.state().life);
    log_.write({log_level::info, "node.started", "mesh " + settings_.node.mesh}, applied_version_);
    io_.run();
    log_.write({log_level::info, "node.stopped",
                drained_ ? "drained" : "drain grace period expired before all calls finished"},
               applied_version_);
    return drained_;
}

void daemon::on_applied(const config_applied& applied)
{
    const auto previous_version = std::exchange(applied_version_, applied.version);
    const auto now = system_now();
    std::int64_t max_delay_ms = 0;
    for (const auto& recent_change : core_.state().config.changes_since(previous_version)) {
        const auto delay = now - recent_change.accepted_at;
        max_delay_ms = std::max<std::int64_t>(max_delay_ms, delay.count());
        convergence_time_.add(delay);
    }
    log_.write(
        {log_level::info, "config.applied", std::to_string(max_delay_ms) + " ms after acceptance"},
        applied_version_);
    resource_api_.on_applied();
}

void daemon::on_signal()
{
    log_.write({log_level::info, "node.draining", ""}, applied_version_);
    drain_timer_.expires_after(settings_.drain_grace);
    drain_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            drained_ = false;
            shut_down();
        }
    });
    core_.post(stop_requested{});
}

void daemon::on_stopped()
{
    call_server_.stop_accepting();
    // Posting the shutdown lets responses that are being written go out first; connections that are
    // open after that are closed.
    boost::asio::post(io_, [this] { shut_down(); });
}

void daemon::shut_down()
{
    drain_timer_.cancel();
    signals_.cancel();
    core_.shut_down();
    admin_server_.stop();
    call_server_.shut_down();
    io_.stop();
}

std::string daemon::metrics() const
{
    return render_node_metrics(core_.state(), peer_link_.traffic(), platform_.traffic(),
                               claims_platform_.traffic()) +
           convergence_time_.render("camphor_convergence_seconds");
}

} // namespace camphor::shell
