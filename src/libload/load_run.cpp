// Open-loop load generator: sends each call at its scheduled time, whether or not earlier calls
// have ended.
#include "load_run.h"

#include "call_attempt.h"

#include <camphortally/error.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace camphor::load {

namespace {

using boost::system::error_code;
using steady_clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr auto progress_period = 1s;
constexpr auto resend_delay = 100ms;

/// Whether the call may have been executed although the caller did not get its result.
bool may_have_run(const call_record& record)
{
    constexpr std::int32_t conflict_status = 409;
    return record.result == call_result::failed || record.result == call_result::timed_out ||
           (record.result == call_result::refused && record.status == conflict_status);
}

/// Prefix of call ids that distinguishes the calls of this load run from those of other runs.
std::string make_call_id_prefix(std::uint64_t seed, double started_ms)
{
    std::ostringstream out;
    out << std::hex << static_cast<std::uint64_t>(started_ms) << '.' << seed;
    return out.str();
}

class load_runner {
public:
    load_runner(const load_options& options, std::ostream* history)
        : options_(options), schedule_(options.mix, options.calls_per_s, options.seed),
          signals_(io_), send_timer_(io_), progress_timer_(io_), start_time_(steady_clock::now()),
          call_id_prefix_(make_call_id_prefix(options.seed, clock_.now_ms())),
          report_(options.calls_per_s, clock_.to_ms(start_time_)), history_(history)
    {
        for (const auto& target : options.targets) {
            pools_.push_back(
                std::make_unique<connection_pool>(io_, target, options.max_connections));
        }
    }

    report run()
    {
        signals_.add(SIGINT);
        signals_.add(SIGTERM);
        signals_.async_wait([this](const error_code& error, int /*signal*/) {
            if (!error) {
                stop_sending();
            }
        });
        start_progress_timer();
        send_due_calls();
        io_.run();
        return std::move(report_);
    }

private:
    void stop_sending()
    {
        is_sending_ = false;
        send_timer_.cancel();
        finish_if_idle();
    }

    void send_due_calls()
    {
        while (is_sending_) {
            const auto send_offset = schedule_.send_offset(started_calls_);
            if (send_offset >= options_.duration) {
                stop_sending();
                return;
            }
            if (start_time_ + send_offset > steady_clock::now()) {
                start_send_timer(start_time_ + send_offset);
                return;
            }
            start_call(start_time_ + send_offset);
        }
    }

    void start_send_timer(steady_clock::time_point time)
    {
        send_timer_.expires_at(time);
        send_timer_.async_wait([this](const error_code& error) {
            if (!error) {
                send_due_calls();
            }
        });
    }

    void start_call(steady_clock::time_point intended)
    {
        const auto call_index = started_calls_++;
        const auto& kind = schedule_.next_kind();
        call_record record;
        record.call_id = call_id_prefix_ + "." + std::to_string(call_index);
        record.request_id = record.call_id;
        record.kind = kind.name;
        record.key = kind.keyed ? "key-" + record.call_id : "";
        record.intended_ms = clock_.to_ms(intended);
        start_attempt(kind, std::move(record), {});
    }

    void start_attempt(const call_kind& kind, call_record record,
                       std::vector<std::string> attempt_ids)
    {
        ++in_flight_count_;
        attempt_ids.push_back(record.request_id);
        auto& pool = *pools_.at(next_pool_index_++ % pools_.size());
        auto on_complete = [this, &kind, attempt_ids](const call_record& ended) {
            on_attempt_ended(kind, ended, attempt_ids);
        };
        std::make_shared<call_attempt>(io_, pool, clock_, kind, std::move(record), attempt_ids,
                                       std::move(on_complete))
            ->start();
    }

    void on_attempt_ended(const call_kind& kind, const call_record& record,
                          const std::vector<std::string>& attempt_ids)
    {
        --in_flight_count_;
        report_.add(record);
        if (history_ != nullptr) {
            *history_ << to_json_line(record) << '\n';
        }
        if (!record.key.empty() && record.attempt <= options_.max_resends && may_have_run(record)) {
            schedule_resend(kind, record, attempt_ids);
        }
        finish_if_idle();
    }

    void schedule_resend(const call_kind& kind, const call_record& ended,
                         const std::vector<std::string>& attempt_ids)
    {
        ++in_flight_count_;
        call_record resend;
        resend.call_id = ended.call_id;
        resend.attempt = ended.attempt + 1;
        resend.request_id = ended.call_id + "-" + std::to_string(resend.attempt);
        resend.kind = ended.kind;
        resend.key = ended.key;
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, resend_delay);
        timer->async_wait([this, &kind, timer, resend, attempt_ids](const error_code& /*error*/) {
            --in_flight_count_;
            auto record = resend;
            record.intended_ms = clock_.now_ms();
            start_attempt(kind, std::move(record), attempt_ids);
        });
    }

    void start_progress_timer()
    {
        progress_timer_.expires_after(progress_period);
        progress_timer_.async_wait([this](const error_code& error) {
            if (error) {
                return;
            }
            if (options_.on_progress) {
                options_.on_progress(
                    report_,
                    std::chrono::duration<double>(steady_clock::now() - start_time_).count());
            }
            start_progress_timer();
        });
    }

    void finish_if_idle()
    {
        if (!is_sending_ && in_flight_count_ == 0) {
            signals_.cancel();
            progress_timer_.cancel();
        }
    }

    const load_options& options_;
    boost::asio::io_context io_{1};
    epoch_clock clock_;
    schedule schedule_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer send_timer_;
    boost::asio::steady_timer progress_timer_;
    steady_clock::time_point start_time_;
    std::string call_id_prefix_;
    report report_;
    std::ostream* history_;
    std::vector<std::unique_ptr<connection_pool>> pools_;
    std::size_t next_pool_index_ = 0;
    std::uint64_t started_calls_ = 0;
    std::size_t in_flight_count_ = 0;
    bool is_sending_ = true;
};

target_address parse_target(const std::string& text)
{
    const auto colon = text.rfind(':');
    error_code error;
    target_address out;
    if (colon != std::string::npos) {
        out.host = text.substr(0, colon);
        out.port = static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1));
        boost::asio::ip::make_address(out.host, error);
    }
    if (error || out.port == 0) {
        throw invalid_input("--targets", "\"" + text + "\" is not IP-ADDRESS:PORT");
    }
    return out;
}

} // namespace

std::vector<target_address> parse_targets(const std::string& text)
{
    std::vector<target_address> out;
    std::istringstream targets(text);
    std::string target;
    while (std::getline(targets, target, ',')) {
        out.push_back(parse_target(target));
    }
    if (out.empty()) {
        throw invalid_input("--targets", "must name at least one target");
    }
    return out;
}

report run_load(const load_options& options, std::ostream* history)
{
    return load_runner(options, history).run();
}

} // namespace camphor::load
