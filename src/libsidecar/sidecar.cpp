// Event loop of a node: turns I/O into events of mesh::node and carries out its effects.
#include <utility>

#include <boost/algorithm/string/join.hpp>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include "libmesh/body_parts.h"
#include "libshell/http_head.h"
#include "libshell/metrics.h"
#include "libsidecar/monotonic_clock.h"
#include "libsidecar/node_metrics.h"
#include "libsidecar/sidecar.h"
#include "platform/boot_file.h"
#include "platform/check_in.h"
#include "platform/header_names.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <charconv>
#include <csignal>
#include <ctime>
#include <iostream>
#include <random>

namespace camphor::sidecar {

namespace http = boost::beast::http;
namespace header = platform::header;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// How long a stopping process waits for client connections with unanswered requests, and how often
/// it checks for them. Lies within the part of the grace period that mesh::node leaves unused.
constexpr auto connection_drain_timeout = 400ms;
constexpr auto drain_check_interval = 100ms;
/// How long a stopping process still writes the answers to the requests that it gave up at the end.
constexpr auto last_answers_timeout = 100ms;
/// A suspension longer than this is reported to the node; other nodes take over its duties after
/// 1.2 s.
constexpr auto suspension_threshold = 1s;
/// A timer this late indicates that the process was suspended or starved of CPU time. Peers are
/// checked every 200 ms.
constexpr auto timer_delay_threshold = 250ms;

/// Descriptors that are kept for files.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t min_client_connections = 16;
/// The backend server, probes and collectors of metrics need few connections and short bodies.
constexpr std::size_t max_local_connections = 64;
constexpr std::size_t max_local_body_bytes = 64UL * 1024;
/// Sockets of the process for each client connection that a listener may have open: two
/// listeners take half of them, the connections to nodes, the backend server and the store the
/// rest.
constexpr std::size_t descriptors_per_client = 4;

/// Time since the machine started, including the time for which it was suspended.
duration time_with_suspensions()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                                std::chrono::nanoseconds(time.tv_nsec));
}

/// Bodies from this length on are returned to the system as soon as they are freed. By default the
/// C library raises the length with the bodies that it sees, and keeps the memory of shorter ones.
constexpr int returned_body_bytes = 512 * 1024;

std::int64_t boot_time_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Whether the node replaces this request field when it forwards to the backend server.
bool is_set_by_node(std::string_view name)
{
    const auto is_named = [&](const char* other) {
        return shell::is_same_name(name, other);
    };
    return is_named(header::time_left) || is_named(header::caller_service) ||
           is_named(header::expected_backend);
}

/// The same where the configuration has organisations. The key must not reach a backend server.
bool is_set_by_node_of_organisations(std::string_view name)
{
    return is_set_by_node(name) || shell::is_same_name(name, header::key) ||
           shell::is_same_name(name, header::organisation);
}

std::optional<std::chrono::milliseconds> read_time_left(const http::fields& fields)
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
      node_(settings_, boot_time_ms(), std::random_device{}()),
      app_(
          io_, settings_.app, [this](mesh::event event) { post(std::move(event)); },
          request_capacity_for(settings_.memory_bytes).small),
      budgets_{std::make_shared<memory_budget>(request_capacity_for(settings_.memory_bytes)),
               std::make_shared<memory_budget>(answer_capacity_for(settings_.memory_bytes))},
      peers_(
          io_, settings_.peers, [this](mesh::event event) { post(std::move(event)); }, budgets_),
      store_(
          io_, settings_.store, node_.record(), mesh::max_read_wait(settings_.bounds),
          [this](mesh::event event) { post(std::move(event)); },
          [this](const mesh::log_line& line) { write_log(line); }, std::random_device{}()),
      outbound_(io_, settings_.outbound.host, settings_.outbound.port, outbound_handlers(),
                client_request_numbers_, client_capacity()),
      inbound_(io_, settings_.inbound.host, settings_.inbound.port, outbound_handlers(),
               client_request_numbers_, client_capacity()),
      ready_(io_, settings_.ready.host, settings_.ready.port, ready_handlers(),
             std::make_shared<request_counter>(), local_capacity()),
      control_(io_, settings_.control.host, settings_.control.port, control_handlers(),
               std::make_shared<request_counter>(), local_capacity()),
      metrics_(io_, settings_.metrics.host, settings_.metrics.port, metrics_handlers(),
               std::make_shared<request_counter>(), local_capacity()),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      settings_watch_(
          io_, settings_path, settings_text, [this](const std::string& text) { reload(text); },
          [this](const std::string& problem) {
              write_log({log_level::error, "node.bad_settings", "", {{"reason", problem}}});
          }),
      timer_(io_), suspended_time_(time_with_suspensions() - monotonic_now().time_since_epoch())
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
    mallopt(M_MMAP_THRESHOLD, returned_body_bytes);
    http_limits local_limits;
    local_limits.body_bytes = max_local_body_bytes;
    for (auto* listener : {&ready_, &control_, &metrics_}) {
        listener->set_limits(local_limits);
    }
    watch_signals();
    settings_watch_.start();
    store_.start();
    arm_timer();
    // A failed handler ends its own connection or call, never the process.
    for (bool ended = false; !ended;) {
        try {
            io_.run();
            ended = true;
        } catch (const std::exception& error) {
            on_handler_failure("connection", error.what());
        }
    }
    write_log({log_level::info, "node.stopped", "", {}});
}

void sidecar::on_handler_failure(const std::string& where, const std::string& reason)
{
    ++failed_handlers_;
    write_log(
        {log_level::error, "node.handler_failed", "", {{"where", where}, {"reason", reason}}});
}

http_handlers sidecar::outbound_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t request_number,
                            http_request&& request) {
        on_client_request(from, request_number, std::move(request));
    };
    out.on_client_gone = [this](std::uint64_t request_number) {
        connections_by_request_.erase(request_number);
        post(mesh::client_disconnected{call_id{request_number}});
    };
    out.on_limit = [this](const std::string& limit) {
        write_log({log_level::warning, "client.limited", "", {{"limit", limit}}});
    };
    out.is_closing = [this] {
        return node_.is_stopping();
    };
    out.on_failure = [this](const std::string& reason) {
        on_handler_failure("client", reason);
    };
    return out;
}

listener_capacity sidecar::client_capacity() const
{
    listener_capacity out;
    out.requests = budgets_.requests;
    out.answers = budgets_.answers;
    if (settings_.max_descriptors > 0) {
        const auto sockets =
            settings_.max_descriptors - std::min(settings_.max_descriptors, file_descriptors);
        out.connections = std::max(sockets / descriptors_per_client, min_client_connections);
    }
    return out;
}

listener_capacity sidecar::local_capacity()
{
    listener_capacity out;
    out.connections = max_local_connections;
    return out;
}

http_handlers sidecar::control_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t request_number,
                            const http_request& request) {
        on_check_in(from, request_number, request);
    };
    out.on_client_gone = [this](std::uint64_t request_number) {
        unacknowledged_check_ins_.erase(request_number);
    };
    return out;
}

http_handlers sidecar::ready_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t request_number,
                            const http_request& request) {
        http_reply reply;
        const bool is_readiness_request = platform::is_readiness_request(
            std::string(request.method_string()), std::string(request.target()));
        reply.status = !is_readiness_request ? 404 : node_.is_ready() ? 200 : 503;
        from->respond(request_number, std::move(reply));
    };
    return out;
}

http_handlers sidecar::metrics_handlers()
{
    http_handlers out;
    out.on_request = [this](const auto& from, std::uint64_t request_number, const http_request&) {
        http_reply reply;
        reply.head = "Content-Type: text/plain; version=0.0.4\r\n";
        reply.body = render_metrics();
        from->respond(request_number, std::move(reply));
    };
    return out;
}

void sidecar::post(mesh::event event)
{
    events_.push_back(std::move(event));
    if (!processing_events_) {
        process_events();
    }
}

void sidecar::process_events()
{
    processing_events_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        try {
            for (const auto& effect : node_.step(next, monotonic_now())) {
                perform(effect);
            }
        } catch (const std::exception& error) {
            on_handler_failure("event", error.what());
        }
    }
    processing_events_ = false;
    if (node_.config() && node_.config() != limits_config_) {
        limits_config_ = node_.config();
        const auto& limits = limits_config_->limits();
        outbound_.set_limits({limits.header_bytes,
                              std::min(limits.body_bytes, mesh::max_split_body_bytes),
                              limits.idle_timeout});
    }
    arm_timer();
}

void sidecar::perform(const mesh::effect& effect)
{
    try {
        std::visit([this](const auto& alternative) { handle(alternative); }, effect);
    } catch (const std::exception& error) {
        // The other effects of the event do not depend on this one.
        on_handler_failure("effect", error.what());
    }
}

void sidecar::arm_timer()
{
    if (closing_connections_) {
        return;
    }
    const auto now = monotonic_now();
    const auto due = node_.next_step_due(now);
    if (timer_due_ > now && timer_due_ <= due) {
        return;
    }
    timer_due_ = due;
    timer_.expires_at(std::chrono::steady_clock::time_point(due.time_since_epoch()));
    timer_.async_wait([this](error_code error) {
        if (!error) {
            log_late_timer(monotonic_now() - timer_due_);
            timer_due_ = {};
            detect_suspension();
            post(mesh::timer_tick{});
        }
    });
}

void sidecar::detect_suspension()
{
    const auto suspended = time_with_suspensions() - monotonic_now().time_since_epoch();
    const auto gap = suspended - std::exchange(suspended_time_, suspended);
    if (gap > suspension_threshold) {
        post(mesh::machine_resumed{gap});
    }
}

void sidecar::log_late_timer(duration delay)
{
    if (delay > timer_delay_threshold) {
        write_log({log_level::warning,
                   "node.late",
                   "",
                   {{"late_ms", std::to_string(delay / std::chrono::milliseconds(1))}}});
    }
}

void sidecar::on_client_request(const std::shared_ptr<http_connection>& from,
                                std::uint64_t request_number, http_request&& request)
{
    auto content = std::make_shared<mesh::request>();
    content->method = std::string(request.method_string());
    content->target = shell::origin_form(request.target());
    content->host = shell::host_name(request[http::field::host]);
    const bool has_organisations = node_.config() && !node_.config()->organisations().empty();
    content->head = shell::end_to_end_fields(
        request, has_organisations ? is_set_by_node_of_organisations : is_set_by_node);
    content->id = std::string(request[header::request_id]);
    const auto time_left = read_time_left(request);
    content->body = std::move(request.body());
    content->held = from->take_body_share();
    connections_by_request_.emplace(request_number, from);
    std::optional<std::string> key;
    if (has_organisations && request.count(header::key) == 1) {
        key = std::string(request[header::key]);
    }
    post(mesh::client_request{call_id{request_number}, std::move(content), time_left,
                              std::move(key)});
}

void sidecar::handle(const mesh::deliver_answer& effect)
{
    const auto client_entry = connections_by_request_.extract(effect.call.value());
    const auto connection = client_entry.empty() ? nullptr : client_entry.mapped().lock();
    if (connection) {
        http_reply reply;
        reply.status = effect.content->status;
        reply.head = effect.content->head;
        reply.shared_body = {effect.content, &effect.content->body};
        connection->respond(effect.call.value(), std::move(reply));
    }
}

void sidecar::handle(const mesh::deliver_refusal& effect)
{
    const auto client_entry = connections_by_request_.extract(effect.call.value());
    const auto connection = client_entry.empty() ? nullptr : client_entry.mapped().lock();
    if (connection) {
        http_reply reply;
        reply.status = effect.status;
        reply.body = shell::error_json(effect.reason, shell::reason_of(effect.status));
        shell::add_field(reply.head, "Content-Type", "application/json");
        if (effect.retry_after) {
            const auto seconds = std::chrono::duration<double>(*effect.retry_after).count();
            shell::add_field(reply.head, header::retry_after, std::to_string(seconds));
        }
        connection->respond(effect.call.value(), std::move(reply));
    }
}

void sidecar::on_check_in(const std::shared_ptr<http_connection>& from,
                          std::uint64_t request_number, const http_request& request)
{
    http_reply refusal;
    try {
        const auto own_address = settings_.app.host + ":" + std::to_string(settings_.app.port);
        auto call =
            platform::read_check_in(std::string(request.method_string()),
                                    std::string(request.target()), request.body(), own_address);
        if (std::holds_alternative<platform::unrelated_call>(call)) {
            refusal.status = 404;
        } else {
            unacknowledged_check_ins_.emplace(request_number, from);
            if (auto* checked_in = std::get_if<mesh::backend_checked_in>(&call)) {
                checked_in->call = mesh::check_in_id{request_number};
                post(std::move(*checked_in));
            } else {
                auto& deregistered = std::get<mesh::backend_deregistered>(call);
                deregistered.call = mesh::check_in_id{request_number};
                post(std::move(deregistered));
            }
            return;
        }
    } catch (const platform::bad_check_in& error) {
        write_log({log_level::warning,
                   "backend.bad_check_in",
                   "",
                   {{"target", std::string(request.target())}, {"reason", error.what()}}});
        refusal.status = 400;
    }
    from->respond(request_number, std::move(refusal));
}

void sidecar::handle(const mesh::acknowledge_check_in& effect)
{
    const auto entry = unacknowledged_check_ins_.extract(effect.call.value());
    if (const auto connection = entry.empty() ? nullptr : entry.mapped().lock()) {
        http_reply reply;
        reply.head = "Content-Type: application/json\r\n";
        reply.body = "{}";
        connection->respond(effect.call.value(), std::move(reply));
    }
}

void sidecar::watch_signals()
{
    signals_.async_wait([this](error_code error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            if (!settings_watch_.check_now()) {
                write_log({log_level::info, "node.reloaded", "", {{"changed", ""}}});
            }
        } else {
            post(mesh::shutdown_requested{});
        }
        watch_signals();
    });
}

void sidecar::reload(const std::string& settings_text)
{
    mesh::mesh_settings new_settings;
    try {
        new_settings = platform::read_boot_file(settings_text);
    } catch (const platform::bad_boot_file& error) {
        write_log({log_level::error, "node.bad_settings", "", {{"reason", error.what()}}});
        return;
    }
    const auto change = mesh::compare_settings(settings_, new_settings);
    if (change.bounds) {
        settings_.bounds = new_settings.bounds;
        post(mesh::bounds_changed{new_settings.bounds});
        store_.set_long_poll_timeout(mesh::max_read_wait(new_settings.bounds));
    }
    if (change.store) {
        settings_.store = new_settings.store;
        store_.set_address(new_settings.store);
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
    closing_connections_ = true;
    settings_watch_.stop();
    store_.stop();
    outbound_.close();
    inbound_.close();
    ready_.close();
    control_.close();
    metrics_.close();
    outbound_.close_idle();
    inbound_.close_idle();
    exit_when_drained(std::chrono::steady_clock::now() + connection_drain_timeout);
}

bool sidecar::is_drained() const
{
    return outbound_.connection_count() == 0 && inbound_.connection_count() == 0;
}

void sidecar::exit_when_drained(std::chrono::steady_clock::time_point deadline)
{
    // Requests already received are still answered; each connection closes after its last answer.
    timer_.cancel();
    timer_.expires_after(drain_check_interval);
    timer_.async_wait([this, deadline](error_code) {
        outbound_.close_idle();
        inbound_.close_idle();
        if (is_drained()) {
            exit_now();
            return;
        }
        if (std::chrono::steady_clock::now() < deadline) {
            exit_when_drained(deadline);
            return;
        }
        post(mesh::exit_imminent{});
        timer_.expires_after(last_answers_timeout);
        timer_.async_wait([this](error_code) { exit_now(); });
    });
}

void sidecar::exit_now()
{
    write_log({is_drained() ? log_level::info : log_level::warning,
               "node.connections_closed",
               "",
               {{"outbound", std::to_string(outbound_.connection_count())},
                {"inbound", std::to_string(inbound_.connection_count())}}});
    peers_.close_all();
    io_.stop();
}

void sidecar::write_log(const mesh::log_line& line)
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [event, count] : log_limiter_.take_suppressed(now)) {
        log_.write(log_level::warning,
                   {{"event", "log.left_out"}, {"of", event}, {"lines", count}});
    }
    if (!log_limiter_.admit(line.event, line.level, now)) {
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
    std::string out = render_node_metrics(node_);
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
    line("camphor_peer_bytes_waiting", static_cast<double>(peers_.queued_bytes()));
    line("camphor_peer_oversized_frames_total",
         static_cast<double>(peers_.counters().oversized_frames));
    line("camphor_peer_bodies_refused_total",
         static_cast<double>(peers_.counters().refused_bodies));
    line("camphor_failed_handlers_total", static_cast<double>(failed_handlers_));
    line("camphor_peer_frames_refused_total",
         static_cast<double>(peers_.counters().invalid_frames));
    line("camphor_store_calls_total", static_cast<double>(store_.counters().calls));
    line("camphor_store_failures_total", static_cast<double>(store_.counters().failures));
    line("camphor_store_histories_gone_total", static_cast<double>(store_.histories_gone()));
    line("camphor_store_bytes_total", static_cast<double>(store_.counters().bytes));
    if (const auto age = store_.read_age()) {
        line("camphor_store_read_age_seconds", std::chrono::duration<double>(*age).count());
    }
    line("camphor_body_bytes_held",
         static_cast<double>(budgets_.requests->held_bytes() + budgets_.answers->held_bytes()));
    line("camphor_bodies_refused_total",
         static_cast<double>(budgets_.requests->refusals() + budgets_.answers->refusals()));
    line("camphor_stalled_clients_closed_total",
         static_cast<double>(budgets_.requests->evictions() + budgets_.answers->evictions()));
    line("camphor_client_connections",
         static_cast<double>(outbound_.connection_count() + inbound_.connection_count()));
    line("camphor_log_lines_left_out_total", static_cast<double>(log_limiter_.total_suppressed()));
    return out;
}

} // namespace camphor::sidecar
