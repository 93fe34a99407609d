// Ties decisions and I/O of a node on the users' platform together.
#include <utility>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include "libshell/http_head.h"
#include "libshell/metrics.h"
#include "libsidecar/node_metrics.h"
#include "libsidecar/sidecar.h"
#include "platform/boot_file.h"
#include "platform/check_in.h"
#include "platform/header_names.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <csignal>
#include <iostream>
#include <random>

namespace camphor::sidecar {

namespace http = boost::beast::http;
namespace header = platform::header;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// A stopping process stays so long at most for connections that still carry something, and looks
/// so often whether one does; within the margin that the decisions keep of the grace period.
constexpr auto longest_goodbye = 500ms;
constexpr auto goodbye_check = 100ms;
/// A timer that is handled so much too late shows that the process stood still or had no processor
/// time; looks at the peers are due every 200 ms.
constexpr auto reported_lateness = 250ms;

time_point monotonic_now()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

std::int64_t boot_number()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Fields of a request that the node sets itself at the backend server.
bool is_set_by_node(std::string_view name)
{
    const auto same = [&](const char* other) {
        return shell::is_same_name(name, other);
    };
    return same(header::time_left) || same(header::caller_service) ||
           same(header::expected_backend);
}

std::optional<std::chrono::milliseconds> read_patience(const http::fields& fields)
{
    const auto text = fields[header::time_left];
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || text.empty() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

sidecar::sidecar(mesh::mesh_settings settings, const std::string& settings_path,
                 const std::string& settings_text)
    : settings_(std::move(settings)), io_(1),
      log_({settings_.node, settings_.zone}, log_level::info, std::cout),
      node_(settings_, boot_number(), std::random_device{}()),
      app_(io_, settings_.app, [this](mesh::event happened) { post(std::move(happened)); }),
      peers_(io_, settings_.peers, [this](mesh::event happened) { post(std::move(happened)); }),
      store_(
          io_, settings_.store, node_.record(), mesh::longest_read(settings_.bounds),
          [this](mesh::event happened) { post(std::move(happened)); },
          [this](const mesh::log_line& line) { write_log(line); }, std::random_device{}()),
      outbound_(io_, settings_.outbound.host, settings_.outbound.port, outbound_handlers()),
      inbound_(io_, settings_.inbound.host, settings_.inbound.port, outbound_handlers()),
      ready_(io_, settings_.ready.host, settings_.ready.port, ready_handlers()),
      control_(io_, settings_.control.host, settings_.control.port, control_handlers()),
      metrics_(io_, settings_.metrics.host, settings_.metrics.port, metrics_handlers()),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      settings_watch_(
          io_, settings_path, settings_text, [this](const std::string& text) { reload(text); },
          [this](const std::string& problem) {
              write_log({log_level::error, "node.bad_settings", "", {{"reason", problem}}});
          }),
      timer_(io_)
{
}

sidecar::~sidecar() = default;

void sidecar::run()
{
    write_log(
        {log_level::info,
         "node.started",
         "",
         {{"service", settings_.service.value()}, {"boot", std::to_string(node_.record().boot)}}});
    watch_signals();
    settings_watch_.start();
    store_.start();
    arm();
    io_.run();
    write_log({log_level::info, "node.stopped", "", {}});
}

http_handlers sidecar::outbound_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t number, http_request&& message) {
        on_client_request(from, number, std::move(message));
    };
    out.on_gone = [this](std::uint64_t number) {
        clients_.erase(number);
        post(mesh::client_gone{call_id{number}});
    };
    out.is_closing = [this] {
        return node_.is_stopping();
    };
    return out;
}

http_handlers sidecar::control_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t number, const http_request& message) {
        on_check_in(from, number, message);
    };
    return out;
}

http_handlers sidecar::ready_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t number, const http_request& message) {
        http_reply reply;
        const bool asked = platform::is_readiness_question(std::string(message.method_string()),
                                                           std::string(message.target()));
        reply.status = !asked ? 404 : node_.is_ready() ? 200 : 503;
        from->respond(number, std::move(reply));
    };
    return out;
}

http_handlers sidecar::metrics_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t number, const http_request&) {
        http_reply reply;
        reply.head = "Content-Type: text/plain; version=0.0.4\r\n";
        reply.body = render_metrics();
        from->respond(number, std::move(reply));
    };
    return out;
}

void sidecar::post(mesh::event happened)
{
    events_.push_back(std::move(happened));
    if (!draining_events_) {
        drain_events();
    }
}

void sidecar::drain_events()
{
    draining_events_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        const auto effects = node_.step(next, monotonic_now());
        for (const auto& item : effects) {
            perform(item);
        }
    }
    draining_events_ = false;
    if (node_.config() && node_.config() != limits_from_) {
        limits_from_ = node_.config();
        const auto& limits = limits_from_->limits();
        outbound_.set_limits({limits.header_bytes, limits.body_bytes, limits.idle_timeout});
    }
    arm();
}

void sidecar::perform(const mesh::effect& item)
{
    std::visit([this](const auto& order) { carry_out(order); }, item);
}

void sidecar::arm()
{
    if (leaving_) {
        return;
    }
    const auto now = monotonic_now();
    const auto due = node_.next_due(now);
    if (armed_for_ > now && armed_for_ <= due) {
        return;
    }
    armed_for_ = due;
    timer_.expires_at(std::chrono::steady_clock::time_point(due.time_since_epoch()));
    timer_.async_wait([this](error_code error) {
        if (!error) {
            note_lateness(monotonic_now() - armed_for_);
            armed_for_ = {};
            post(mesh::time_passed{});
        }
    });
}

void sidecar::note_lateness(duration late)
{
    if (late > reported_lateness) {
        write_log({log_level::warning,
                   "node.late",
                   "",
                   {{"late_ms", std::to_string(late / std::chrono::milliseconds(1))}}});
    }
}

void sidecar::on_client_request(const std::shared_ptr<http_connection>& from, std::uint64_t number,
                                http_request&& message)
{
    auto content = std::make_shared<mesh::request>();
    content->method = std::string(message.method_string());
    content->target = shell::origin_form(message.target());
    content->host = shell::host_name(message[http::field::host]);
    content->head = shell::end_to_end_fields(message, is_set_by_node);
    content->id = std::string(message[header::request_id]);
    const auto patience = read_patience(message);
    content->body = std::move(message.body());
    clients_.emplace(number, from);
    post(mesh::client_request{call_id{number}, std::move(content), patience});
}

void sidecar::carry_out(const mesh::deliver_answer& order)
{
    const auto found = clients_.extract(order.call.value());
    const auto to = found.empty() ? nullptr : found.mapped().lock();
    if (to) {
        http_reply reply;
        reply.status = order.content->status;
        reply.head = order.content->head;
        reply.body = order.content->body;
        to->respond(order.call.value(), std::move(reply));
    }
}

void sidecar::carry_out(const mesh::deliver_refusal& order)
{
    const auto found = clients_.extract(order.call.value());
    const auto to = found.empty() ? nullptr : found.mapped().lock();
    if (to) {
        http_reply reply;
        reply.status = order.status;
        reply.body = shell::error_json(order.reason, shell::reason_of(order.status));
        shell::add_field(reply.head, "Content-Type", "application/json");
        if (order.retry_after) {
            const auto seconds = std::chrono::duration<double>(*order.retry_after).count();
            shell::add_field(reply.head, header::retry_after, std::to_string(seconds));
        }
        to->respond(order.call.value(), std::move(reply));
    }
}

void sidecar::on_check_in(const std::shared_ptr<http_connection>& from, std::uint64_t number,
                          const http_request& message)
{
    http_reply reply;
    try {
        const auto own = settings_.app.host + ":" + std::to_string(settings_.app.port);
        auto read = platform::read_check_in(std::string(message.method_string()),
                                            std::string(message.target()), message.body(), own);
        if (std::holds_alternative<platform::other_call>(read)) {
            reply.status = 404;
        } else if (auto* seen = std::get_if<mesh::backend_checked_in>(&read)) {
            post(std::move(*seen));
            reply.head = "Content-Type: application/json\r\n";
            reply.body = "{}";
        } else {
            post(std::get<mesh::backend_left>(read));
        }
    } catch (const platform::bad_check_in& error) {
        write_log({log_level::warning,
                   "backend.bad_check_in",
                   "",
                   {{"target", std::string(message.target())}, {"reason", error.what()}}});
        reply.status = 400;
    }
    from->respond(number, std::move(reply));
}

void sidecar::watch_signals()
{
    signals_.async_wait([this](error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            if (!settings_watch_.check()) {
                write_log({log_level::info, "node.reloaded", "", {{"changed", ""}}});
            }
        } else {
            post(mesh::stop_asked{});
        }
        watch_signals();
    });
}

void sidecar::reload(const std::string& settings_text)
{
    mesh::mesh_settings wanted;
    try {
        wanted = platform::read_boot_file(settings_text);
    } catch (const platform::bad_boot_file& error) {
        write_log({log_level::error, "node.bad_settings", "", {{"reason", error.what()}}});
        return;
    }
    const auto change = mesh::compare(settings_, wanted);
    if (change.bounds) {
        settings_.bounds = wanted.bounds;
        post(mesh::bounds_changed{wanted.bounds});
        store_.set_longest_read(mesh::longest_read(wanted.bounds));
    }
    if (change.store) {
        settings_.store = wanted.store;
        store_.set_address(wanted.store);
    }
    const std::string changed = change.bounds && change.store ? "bounds, store"
                                : change.bounds               ? "bounds"
                                : change.store                ? "store"
                                                              : "";
    write_log(
        {change.at_restart.empty() ? log_level::info : log_level::warning,
         "node.reloaded",
         "",
         {{"changed", changed}, {"at_restart", boost::algorithm::join(change.at_restart, ", ")}}});
}

void sidecar::stop()
{
    leaving_ = true;
    settings_watch_.stop();
    store_.stop();
    outbound_.close();
    inbound_.close();
    ready_.close();
    control_.close();
    metrics_.close();
    outbound_.close_idle();
    inbound_.close_idle();
    end_when_quiet(std::chrono::steady_clock::now() + longest_goodbye);
}

void sidecar::end_when_quiet(std::chrono::steady_clock::time_point at_the_latest)
{
    // Requests that were on their way are still answered; their connections close behind the
    // answer.
    timer_.cancel();
    timer_.expires_after(goodbye_check);
    timer_.async_wait([this, at_the_latest](error_code) {
        outbound_.close_idle();
        inbound_.close_idle();
        const bool quiet = outbound_.connections() == 0 && inbound_.connections() == 0;
        if (!quiet && std::chrono::steady_clock::now() < at_the_latest) {
            end_when_quiet(at_the_latest);
            return;
        }
        write_log({quiet ? log_level::info : log_level::warning,
                   "node.connections_closed",
                   "",
                   {{"outbound", std::to_string(outbound_.connections())},
                    {"inbound", std::to_string(inbound_.connections())}}});
        peers_.close_all();
        io_.stop();
    });
}

void sidecar::write_log(const mesh::log_line& line)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [event, count] : limiter_.take_left_out(now)) {
        log_.write(log_level::warning,
                   {{"event", "log.left_out"}, {"of", event}, {"lines", count}});
    }
    if (!limiter_.admit(line.event, line.level, now)) {
        return;
    }
    nlohmann::json out{{"event", line.event}};
    if (!line.request_id.empty()) {
        out["request"] = line.request_id;
    }
    for (const auto& field : line.fields) {
        out[field.name] = field.value;
    }
    log_.write(line.level, std::move(out));
}

std::string sidecar::render_metrics() const
{
    std::string out = render_counters(node_);
    const auto line = [&](const char* name, double value) {
        out += shell::metric_line(name, value);
    };
    line("camphor_app_connections_total", static_cast<double>(app_.counters().connections));
    line("camphor_app_failed_connections_total",
         static_cast<double>(app_.counters().failed_connections));
    line("camphor_app_stray_answers_total", static_cast<double>(app_.counters().stray_answers));
    line("camphor_peer_bytes_sent_total", static_cast<double>(peers_.counters().bytes_sent));
    line("camphor_peer_bytes_received_total",
         static_cast<double>(peers_.counters().bytes_received));
    line("camphor_peer_bytes_waiting", static_cast<double>(peers_.bytes_waiting()));
    line("camphor_peer_frames_refused_total",
         static_cast<double>(peers_.counters().refused_frames));
    line("camphor_store_calls_total", static_cast<double>(store_.counters().calls));
    line("camphor_store_failures_total", static_cast<double>(store_.counters().failures));
    line("camphor_store_bytes_total", static_cast<double>(store_.counters().bytes));
    if (const auto age = store_.read_age()) {
        line("camphor_store_read_age_seconds", std::chrono::duration<double>(*age).count());
    }
    line("camphor_log_lines_left_out_total", static_cast<double>(limiter_.total_left_out()));
    return out;
}

} // namespace camphor::sidecar
