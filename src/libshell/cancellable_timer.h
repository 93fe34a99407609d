// A one-shot timer whose cancellation also holds for a handler that is already queued.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace camphor::shell {

/// Limits the time of an operation. asio's own cancel() cannot stop the handler of a timer that has
/// expired: when a process stood still, an operation and its time limit complete in the same turn
/// of the event loop, and the expired limit would undo the operation's result.
///
/// Invariant: after start() or cancel() returns, no handler of an earlier start() runs.
class cancellable_timer {
public:
    explicit cancellable_timer(const boost::asio::any_io_executor& executor)
        : timer_(executor), current_(std::make_shared<std::uint64_t>(0))
    {
    }
    ~cancellable_timer() { cancel(); }
    cancellable_timer(const cancellable_timer&) = delete;
    cancellable_timer& operator=(const cancellable_timer&) = delete;

    /// Runs `handler`, which takes no arguments, after `span`; replaces an earlier start().
    template <class Handler>
    void start(std::chrono::steady_clock::duration span, Handler handler)
    {
        timer_.expires_after(span);
        timer_.async_wait([current = current_, mine = ++*current_,
                           handler = std::move(handler)](boost::system::error_code error) mutable {
            if (!error && *current == mine) {
                ++*current;
                handler();
            }
        });
    }

    void cancel()
    {
        ++*current_;
        timer_.cancel();
    }

private:
    boost::asio::steady_timer timer_;
    /// Number of the current start; changes with every start() and cancel(). Shared with the queued
    /// handlers, which outlive the timer.
    std::shared_ptr<std::uint64_t> current_;
};

} // namespace camphor::shell
