// Keeps the volume of the log bounded under load: whole up to a rate, then counted.
#pragma once

#include <camphortally/effect.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace camphor::sidecar {

/// Lines that each event may write in a second. Failures and refusals get more than routine, so
/// that a complaint finds its lines; more than some hundreds a second no reader follows.
struct log_rates {
    std::uint32_t warnings = 200;
    std::uint32_t routine = 50;
};

class log_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit log_limiter(log_rates rates = {}) : rates_(rates) {}

    /// False when the event has used its lines of this second; the line is counted then.
    bool admit(const std::string& event, log_level level, time_point now)
    {
        if (now >= second_ends_) {
            second_ends_ = now + std::chrono::seconds(1);
            written_.clear();
        }
        const auto limit = level >= log_level::warning ? rates_.warnings : rates_.routine;
        if (written_[event] >= limit) {
            ++left_out_[event];
            ++total_left_out_;
            return false;
        }
        ++written_[event];
        return true;
    }

    /// Lines left out since the last call, by event, once the second in which they fell is over.
    std::map<std::string, std::uint64_t> take_left_out(time_point now)
    {
        return now < second_ends_ ? std::map<std::string, std::uint64_t>{}
                                  : std::exchange(left_out_, {});
    }
    std::uint64_t total_left_out() const { return total_left_out_; }

private:
    log_rates rates_;
    time_point second_ends_{};
    std::map<std::string, std::uint32_t> written_;
    std::map<std::string, std::uint64_t> left_out_;
    std::uint64_t total_left_out_ = 0;
};

} // namespace camphor::sidecar
