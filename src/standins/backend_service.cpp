// Admission, execution and fault injection of the stand-in backend server.
#include "backend_service.h"

#include "libshell/url.h"

#include <camphortally/change_writer.h>
#include <camphortally/schema.h>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <utility>

namespace camphor::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int crash_exit_code = 70;
constexpr std::size_t max_body_bytes = 16UL * 1024 * 1024;

std::string hex(std::uint64_t value)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << value;
    return out.str();
}

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    const bool is_whole = result.ec == std::errc() && result.ptr == end && !text.empty();
    return is_whole ? std::optional(value) : std::nullopt;
}

bool should_record(const http_request& request)
{
    const bool is_safe =
        request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS";
    return !is_safe || !request.header("idempotency-key").empty();
}

http_response text_response(int status, const std::string& text)
{
    return {status, text + "\n", "text/plain", {}, false};
}

/// Returns exactly `size` bytes of repeated `line`, or `line` itself when `size` is 0.
std::string make_body(const std::string& line, std::size_t size)
{
    std::string out = line;
    while (out.size() < size) {
        out += line;
    }
    if (size > 0) {
        out.resize(size);
    }
    return out;
}

std::size_t requested_body_bytes(const http_request& request)
{
    try {
        const auto requested =
            parse_integer(shell::split_target(request.target).parameter("bytes"));
        return std::clamp<std::int64_t>(requested.value_or(0), 0, max_body_bytes);
    } catch (const invalid_input&) {
        return 0;
    }
}

} // namespace

/// A call that is queued or running. Invariant: once `ended` is set, its timers have no effect.
struct backend_service::running_call {
    running_call(boost::asio::io_context& io, http_request received, http_exchange_ptr reply_to)
        : request(std::move(received)), reply(std::move(reply_to)), work_timer(io),
          deadline_timer(io)
    {
    }

    http_request request;
    http_exchange_ptr reply;
    boost::asio::steady_timer work_timer;
    boost::asio::steady_timer deadline_timer;
    std::string run_id;
    /// Index in the execution log, when the call is recorded.
    std::optional<std::size_t> log_index;
    bool is_running = false;
    bool ended = false;
};

std::string request_digest(const std::string& method, const std::string& target,
                           const std::string& body)
{
    const auto text = method + "\n" + target + "\n" + body;
    return hex(XXH3_64bits(text.data(), text.size()));
}

backend_service::backend_service(boost::asio::io_context& io, backend_settings settings)
    : io_(io), settings_(std::move(settings)), started_at_(clock::now()), random_(settings_.seed),
      executions_(settings_.name, settings_.execution_file),
      run_id_prefix_(settings_.name + "-" + std::to_string(wall_clock_ms()) + "-"), grace_timer_(io)
{
}

std::string backend_service::state() const
{
    if (draining_) {
        return "draining";
    }
    const bool is_warm = clock::now() - started_at_ >= settings_.warm_up;
    return is_warm || is_faking_health() ? "ready" : "warming";
}

std::int32_t backend_service::reported_in_flight() const
{
    return is_faking_health() ? 0 : running_calls_ + static_cast<std::int32_t>(queue_.size());
}

bool backend_service::is_faking_health() const
{
    return fault_.fakes_health && clock::now() >= fault_starts_at_;
}

void backend_service::handle(const http_request& request, const http_exchange_ptr& reply)
{
    if (!handle_control(request, reply)) {
        crash_if_requested(request);
        admit(request, reply);
    }
}

bool backend_service::handle_control(const http_request& request, const http_exchange_ptr& reply)
{
    const auto method_and_target = request.method + " " + request.target;
    if (method_and_target == "GET /healthz") {
        const json body{{"state", state()}, {"in_flight", reported_in_flight()}};
        reply->answer({200, body.dump(), "application/json", {}, false});
    } else if (method_and_target == "GET /control/executions") {
        reply->answer({200, executions_.to_json_lines(), "application/x-ndjson", {}, false});
    } else if (method_and_target == "PUT /control/drain") {
        reply->answer(text_response(200, "draining"));
        drain_handler_();
    } else if (method_and_target == "PUT /control/fault") {
        try {
            fault_ = parse_backend_fault(request.body);
            const bool matches_release =
                fault_.release.empty() || fault_.release == settings_.release;
            fault_starts_at_ =
                matches_release ? clock::now() + fault_.delay : clock::time_point::max();
            reply->answer({200, "{}", "application/json", {}, false});
        } catch (const invalid_input& error) {
            reply->answer({400,
                           error_body("invalid_request", error.faults()),
                           "application/json",
                           {},
                           false});
        }
    } else {
        return false;
    }
    return true;
}

bool backend_service::fault_applies(const http_request& request) const
{
    const bool has_started = clock::now() >= fault_starts_at_;
    const bool matches_path = request.target.starts_with(fault_.path_prefix);
    const bool exceeds_rate =
        fault_.above_rps <= 0 || static_cast<double>(recent_start_times_.size()) > fault_.above_rps;
    return has_started && matches_path && exceeds_rate;
}

void backend_service::crash_if_requested(const http_request& request) const
{
    const bool has_crash_header =
        !fault_.crash_on_header.empty() && request.headers.contains(fault_.crash_on_header);
    if (has_crash_header && fault_applies(request)) {
        std::_Exit(crash_exit_code);
    }
}

void backend_service::admit(const http_request& request, const http_exchange_ptr& reply)
{
    auto call = std::make_shared<running_call>(io_, request, reply);
    const bool has_slot = running_calls_ < settings_.slots;
    if (!has_slot && queue_.size() >= static_cast<std::size_t>(settings_.queue_capacity)) {
        auto rejection = text_response(503, "overloaded");
        rejection.headers.emplace_back("Retry-After", "1");
        reply->answer(std::move(rejection));
        return;
    }
    reply->set_close_handler([this, call] { abort(call, "cancelled"); });
    start_deadline_timer(call);
    if (has_slot) {
        start(call);
    } else {
        queue_.push_back(call);
    }
}

void backend_service::start_deadline_timer(const call_ptr& call)
{
    const auto remaining_ms = parse_integer(call->request.header("camphor-deadline-ms"));
    if (!remaining_ms) {
        return;
    }
    call->deadline_timer.expires_after(milliseconds(std::max<std::int64_t>(*remaining_ms, 0)));
    call->deadline_timer.async_wait([this, call](auto error) {
        if (!error && !call->ended) {
            call->reply->answer(text_response(504, "deadline exceeded"));
            abort(call, "deadline");
        }
    });
}

void backend_service::start(const call_ptr& call)
{
    ++running_calls_;
    record_start();
    call->is_running = true;
    call->run_id = run_id_prefix_ + std::to_string(++last_run_number_);
    if (should_record(call->request)) {
        call->log_index = executions_.start(
            {call->request.header("x-request-id"), call->request.header("idempotency-key"),
             call->request.method, call->request.target, call->run_id});
    }
    call->work_timer.expires_after(service_time_of(call->request));
    call->work_timer.async_wait([this, call](auto error) {
        if (!error && !call->ended) {
            finish(call);
        }
    });
}

void backend_service::finish(const call_ptr& call)
{
    auto answer = make_response(*call);
    if (call->log_index) {
        executions_.end(*call->log_index, answer.status < 500 ? "ok" : "error");
    }
    call->ended = true;
    call->deadline_timer.cancel();
    call->reply->answer(std::move(answer));
    release_slot();
}

void backend_service::abort(const call_ptr& call, const std::string& outcome)
{
    if (call->ended) {
        return;
    }
    call->ended = true;
    call->work_timer.cancel();
    call->deadline_timer.cancel();
    if (!call->is_running) {
        std::erase(queue_, call);
        check_drained();
        return;
    }
    if (call->log_index) {
        executions_.end(*call->log_index, outcome);
    }
    release_slot();
}

void backend_service::release_slot()
{
    --running_calls_;
    if (!queue_.empty()) {
        const auto next = queue_.front();
        queue_.pop_front();
        start(next);
    }
    check_drained();
}

void backend_service::record_start()
{
    const auto now = clock::now();
    recent_start_times_.push_back(now);
    while (now - recent_start_times_.front() > std::chrono::seconds(1)) {
        recent_start_times_.pop_front();
    }
}

std::chrono::microseconds backend_service::service_time_of(const http_request& request)
{
    std::uniform_real_distribution<> factor_distribution(1 - settings_.service_time_spread,
                                                         1 + settings_.service_time_spread);
    double factor = factor_distribution(random_);
    const std::chrono::duration<double> time_since_warm_up =
        clock::now() - started_at_ - settings_.warm_up;
    const std::chrono::duration<double> cold_start = settings_.cold_start;
    if (time_since_warm_up < cold_start) {
        factor *= 1 + (settings_.cold_start_factor - 1) * (1 - time_since_warm_up / cold_start);
    }
    auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(settings_.service_time * factor);
    if (fault_applies(request)) {
        time += fault_.added_latency;
    }
    return time;
}

http_response backend_service::make_response(const running_call& call)
{
    const bool fails = fault_applies(call.request) &&
                       std::uniform_real_distribution<>()(random_) < fault_.error_ratio;
    const auto& request = call.request;
    const auto id = request.header("x-request-id");
    const auto digest = request_digest(request.method, request.target, request.body);
    // The load tool derives the expected body from the request id to detect responses delivered to
    // the wrong request.
    const auto body_pattern = id.empty() ? "digest=" + digest + " run=" + call.run_id + "\n" : id;
    http_response out;
    out.status = fails ? 500 : 200;
    out.content_type = "text/plain";
    out.body = make_body(body_pattern, requested_body_bytes(request));
    out.close = draining_;
    out.headers = {{"Backend-Name", settings_.name},
                   {"Backend-Release", settings_.release},
                   {"Backend-Run", call.run_id},
                   {"Request-Digest", digest}};
    if (!id.empty()) {
        out.headers.emplace_back("X-Request-Id", id);
    }
    return out;
}

void backend_service::drain(milliseconds grace, std::function<void()> on_drained)
{
    if (draining_) {
        return;
    }
    draining_ = true;
    on_drained_ = std::move(on_drained);
    grace_timer_.expires_after(grace);
    grace_timer_.async_wait([this](auto) {
        grace_elapsed_ = true;
        check_drained();
    });
}

void backend_service::check_drained()
{
    if (grace_elapsed_ && running_calls_ == 0 && queue_.empty() && on_drained_) {
        boost::asio::post(io_, std::exchange(on_drained_, nullptr));
    }
}

} // namespace camphor::standin
