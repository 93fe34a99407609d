// Detects changes of the settings file, by polling and on request (SIGHUP).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace camphor::sidecar {

/// Polls the settings file and reports its new content.
class settings_watch {
public:
    /// `content` is the text that the caller has already read. `on_change` receives each new
    /// content; `on_read_error` the reason of a failed read, once until a read succeeds again.
    settings_watch(boost::asio::io_context& io, std::string path, std::string content,
                   std::function<void(const std::string&)> on_change,
                   std::function<void(const std::string&)> on_read_error);

    void start();
    void stop();
    /// Reads the file at once. Returns whether its content changed.
    bool check_now();

private:
    boost::asio::steady_timer timer_;
    std::string path_;
    /// Content at the last successful read.
    std::string content_;
    std::function<void(const std::string&)> on_change_;
    std::function<void(const std::string&)> on_read_error_;
    bool read_failed_ = false;
};

} // namespace camphor::sidecar
