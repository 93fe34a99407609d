// Polling of the settings file.
#include "libsidecar/settings_watch.h"

#include "libshell/node_settings_reader.h"

#include <camphortally/error.h>

#include <chrono>
#include <utility>

namespace camphor::sidecar {

namespace {

/// Longest delay until a change is noticed without a signal. A read costs a few system calls.
constexpr std::chrono::milliseconds poll_interval{1'000};

} // namespace

settings_watch::settings_watch(boost::asio::io_context& io, std::string path, std::string content,
                               std::function<void(const std::string&)> on_change,
                               std::function<void(const std::string&)> on_read_error)
    : timer_(io), path_(std::move(path)), content_(std::move(content)),
      on_change_(std::move(on_change)), on_read_error_(std::move(on_read_error))
{
}

void settings_watch::start()
{
    timer_.expires_after(poll_interval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            check_now();
            start();
        }
    });
}

void settings_watch::stop()
{
    timer_.cancel();
}

bool settings_watch::check_now()
{
    try {
        auto text = shell::read_file(path_);
        read_failed_ = false;
        if (text == content_) {
            return false;
        }
        content_ = std::move(text);
    } catch (const invalid_input& error) {
        if (!std::exchange(read_failed_, true)) {
            on_read_error_(error.what());
        }
        return false;
    }
    on_change_(content_);
    return true;
}

} // namespace camphor::sidecar
