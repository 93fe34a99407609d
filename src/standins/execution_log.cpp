// Records executions of calls as JSON lines.
#include "execution_log.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace camphor::standin {

std::int64_t wall_clock_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

execution_log::execution_log(std::string backend, const std::string& path)
    : backend_(std::move(backend))
{
    if (path.empty()) {
        return;
    }
    file_.open(path, std::ios::app);
    if (!file_) {
        throw std::runtime_error("cannot open execution log for writing: " + path);
    }
}

std::size_t execution_log::start(execution entry)
{
    entry.started_ms = wall_clock_ms();
    entries_.push_back(std::move(entry));
    if (file_.is_open()) {
        file_ << to_json_line(entries_.back()) << std::flush;
    }
    return entries_.size() - 1;
}

void execution_log::end(std::size_t index, const std::string& outcome)
{
    auto& entry = entries_.at(index);
    entry.ended_ms = wall_clock_ms();
    entry.outcome = outcome;
    if (file_.is_open()) {
        file_ << to_json_line(entry) << std::flush;
    }
}

std::string execution_log::to_json_lines() const
{
    std::string out;
    for (const auto& entry : entries_) {
        out += to_json_line(entry);
    }
    return out;
}

std::string execution_log::to_json_line(const execution& entry) const
{
    const nlohmann::json document{{"backend", backend_},
                                  {"run", entry.run_id},
                                  {"request_id", entry.request_id},
                                  {"idempotency_key", entry.idempotency_key},
                                  {"method", entry.method},
                                  {"path", entry.path},
                                  {"started_ms", entry.started_ms},
                                  {"ended_ms", entry.ended_ms},
                                  {"outcome", entry.outcome}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace camphor::standin
