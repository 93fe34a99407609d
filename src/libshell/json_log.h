// Structured logs: one JSON object a line, on standard error unless said otherwise.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/ids.h>

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <optional>
#include <string>

namespace camphor::shell {

/// Who writes; part of every line.
struct log_identity {
    node_id node;
    zone_id zone;
};

/// Sets up Boost.Log for the process and flushes it at the end of its life. One per process.
class json_log {
public:
    json_log(log_identity identity, log_level level, std::ostream& out);
    json_log(log_identity identity, log_level level);
    ~json_log();
    json_log(const json_log&) = delete;
    json_log& operator=(const json_log&) = delete;

    /// Lines below the level are dropped. May change at run time.
    void set_level(log_level level);
    log_level level() const { return level_; }

    /// Writes `{"time","level","event","node","zone","config_version","detail"}`, and "call" where
    /// it is about one.
    void write(const log_record& record, config_version version);
    /// Writes the object with time, level, node and zone added.
    void write(log_level level, nlohmann::json line);

private:
    log_identity identity_;
    log_level level_;
};

/// "debug", "info", "warning", "error".
std::string to_string(log_level level);
std::optional<log_level> parse_log_level(const std::string& text);

} // namespace camphor::shell
