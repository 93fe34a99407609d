// Reads the settings file again and again.
#include "libsidecar/settings_watch.h"

#include "libshell/node_settings_reader.h"

#include <camphortally/error.h>

#include <chrono>
#include <utility>

namespace camphor::sidecar {

namespace {

/// A change without a signal is seen within this time; the read costs a few system calls.
constexpr std::chrono::milliseconds check_period{1'000};

} // namespace

settings_watch::settings_watch(boost::asio::io_context& io, std::string path, std::string content,
                               std::function<void(const std::string&)> on_text,
                               std::function<void(const std::string&)> on_problem)
    : timer_(io), path_(std::move(path)), content_(std::move(content)),
      on_text_(std::move(on_text)), on_problem_(std::move(on_problem))
{
}

void settings_watch::start()
{
    timer_.expires_after(check_period);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            check();
            start();
        }
    });
}

void settings_watch::stop()
{
    timer_.cancel();
}

bool settings_watch::check()
{
    try {
        auto text = shell::read_file(path_);
        unreadable_ = false;
        if (text == content_) {
            return false;
        }
        content_ = std::move(text);
    } catch (const invalid_input& error) {
        if (!std::exchange(unreadable_, true)) {
            on_problem_(error.what());
        }
        return false;
    }
    on_text_(content_);
    return true;
}

} // namespace camphor::sidecar
