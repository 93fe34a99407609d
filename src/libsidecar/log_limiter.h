// Bounds the log volume under load: lines above a rate for each event are counted, not written.
#pragma once

#include <camphortally/effect.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace camphor::sidecar {

/// Log lines allowed for each event name in a second. Warnings and errors get more than routine
/// lines, so that the lines about a reported problem are in the log. Nobody can follow more than
/// some hundreds of lines in a second.
struct log_rate_limits {
    std::uint32_t warnings_per_second = 200;
    std::uint32_t routine_per_second = 50;
};

/// Rate limiter for log lines, with a separate limit for each event name.
class log_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit log_limiter(log_rate_limits rates = {}) : rates_(rates) {}

    /// Whether the line may be written. A line above the limit of the current second is counted as
    /// suppressed.
    bool admit(const std::string& event, log_level level, time_point now)
    {
        if (now >= window_end_) {
            window_end_ = now + std::chrono::seconds(1);
            written_in_window_.clear();
        }
        const auto limit =
            level >= log_level::warning ? rates_.warnings_per_second : rates_.routine_per_second;
        if (written_in_window_[event] >= limit) {
            ++suppressed_[event];
            ++total_suppressed_;
            return false;
        }
        ++written_in_window_[event];
        return true;
    }

    /// Lines suppressed since the last call, by event name. Empty until the current second is over.
    std::map<std::string, std::uint64_t> take_suppressed(time_point now)
    {
        return now < window_end_ ? std::map<std::string, std::uint64_t>{}
                                 : std::exchange(suppressed_, {});
    }
    std::uint64_t total_suppressed() const { return total_suppressed_; }

private:
    log_rate_limits rates_;
    time_point window_end_{};
    std::map<std::string, std::uint32_t> written_in_window_;
    std::map<std::string, std::uint64_t> suppressed_;
    std::uint64_t total_suppressed_ = 0;
};

} // namespace camphor::sidecar
