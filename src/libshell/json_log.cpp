// Structured logs by Boost.Log.
#include "libshell/json_log.h"

#include <camphortally/resource.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace camphor::shell {

namespace {

namespace log = boost::log;

/// Lines waiting to be written; more are dropped so that a stuck reader never delays a call.
constexpr std::size_t queue_lines = 8'192;
constexpr std::array level_names{"debug", "info", "warning", "error"};

using queue = log::sinks::bounded_fifo_queue<queue_lines, log::sinks::drop_on_overflow>;
using sink = log::sinks::asynchronous_sink<log::sinks::text_ostream_backend, queue>;

boost::shared_ptr<sink>& process_sink()
{
    static boost::shared_ptr<sink> value;
    return value;
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

json_log::json_log(log_identity identity, log_level level)
    : json_log(std::move(identity), level, std::cerr)
{
}

json_log::json_log(log_identity identity, log_level level, std::ostream& out)
    : identity_(std::move(identity)), level_(level)
{
    auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
    backend->auto_flush(true);
    process_sink() = boost::make_shared<sink>(backend);
    process_sink()->set_formatter(log::expressions::stream << log::expressions::message);
    log::core::get()->add_sink(process_sink());
}

json_log::~json_log()
{
    log::core::get()->remove_sink(process_sink());
    process_sink()->stop();
    process_sink()->flush();
    process_sink().reset();
}

void json_log::set_level(log_level level)
{
    level_ = level;
}

void json_log::write(const log_record& record, config_version version)
{
    nlohmann::json line{
        {"event", record.event},
        {"config_version", version.value()},
        {"detail", record.detail},
    };
    if (record.call) {
        line["call"] = record.call->value();
    }
    write(record.level, std::move(line));
}

void json_log::write(log_level level, nlohmann::json line)
{
    if (level < level_) {
        return;
    }
    line["time"] = format_time(wall_now());
    line["level"] = to_string(level);
    line["node"] = identity_.node.value();
    line["zone"] = identity_.zone.value();
    log::sources::logger logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string to_string(log_level level)
{
    return level_names.at(static_cast<std::size_t>(level));
}

std::optional<log_level> parse_log_level(const std::string& text)
{
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (text == level_names.at(i)) {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

} // namespace camphor::shell
