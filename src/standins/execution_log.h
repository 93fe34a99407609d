// Log of the calls that a stand-in backend server executed, which tests compare with the calls
// made.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace camphor::standin {

/// One execution of a call with an idempotency key or a method other than GET, HEAD and OPTIONS.
struct execution {
    std::string request_id;
    /// Empty when the call has no key.
    std::string idempotency_key;
    std::string method;
    std::string path;
    /// Identifies the execution; unique across instances and restarts.
    std::string run_id;
    /// Milliseconds since the Unix epoch.
    std::int64_t started_ms = 0;
    /// Milliseconds since the Unix epoch; 0 while the call runs.
    std::int64_t ended_ms = 0;
    /// `running`, `ok`, `error`, `cancelled` or `deadline`.
    std::string outcome = "running";
};

/// Milliseconds since the Unix epoch.
std::int64_t wall_clock_ms();

/// Keeps executions in memory and, when a path is given, appends each start and end to that file so
/// that the log survives a crash of the process.
class execution_log {
public:
    /// @param path file to append to; empty for none
    /// @throws std::runtime_error when the file cannot be opened
    execution_log(std::string backend, const std::string& path);

    /// Returns the index of the new entry.
    std::size_t start(execution entry);
    /// Sets the outcome and the end time of an entry.
    void end(std::size_t index, const std::string& outcome);
    /// JSON lines, one for each execution, oldest first.
    std::string to_json_lines() const;

private:
    std::string to_json_line(const execution& entry) const;

    std::string backend_;
    std::vector<execution> entries_;
    std::ofstream file_;
};

} // namespace camphor::standin
