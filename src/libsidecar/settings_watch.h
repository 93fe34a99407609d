// Looks for changes of the settings file, which come with a signal or without.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace camphor::sidecar {

class settings_watch {
public:
    /// `on_text` gets each new content of the file; `on_problem` why it could not be read, once
    /// until it can be read again.
    settings_watch(boost::asio::io_context& io, std::string path, std::string content,
                   std::function<void(const std::string&)> on_text,
                   std::function<void(const std::string&)> on_problem);

    void start();
    void stop();
    /// Reads the file now. True when its content changed.
    bool check();

private:
    boost::asio::steady_timer timer_;
    std::string path_;
    /// As it was last read.
    std::string content_;
    std::function<void(const std::string&)> on_text_;
    std::function<void(const std::string&)> on_problem_;
    bool unreadable_ = false;
};

} // namespace camphor::sidecar
