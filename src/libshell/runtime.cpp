// Drives the pure core.
#include <utility>

#include <boost/asio.hpp>

#include "libshell/runtime.h"

#include <chrono>

namespace camphor::shell {

namespace {

constexpr auto clock_period = std::chrono::seconds(1);

template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

time_point monotonic_now()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

wall_time system_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

runtime::runtime(boost::asio::io_context& io, node_settings settings)
    : state_(std::move(settings)), timer_(io), clock_timer_(io)
{
}

void runtime::start(std::uint64_t seed)
{
    post(node_started{system_now(), seed});
    on_clock();
}

void runtime::shut_down()
{
    down_ = true;
    timer_.cancel();
    clock_timer_.cancel();
}

void runtime::on_clock()
{
    if (down_) {
        return;
    }
    post(clock_synced{system_now()});
    clock_timer_.expires_after(clock_period);
    clock_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            on_clock();
        }
    });
}

void runtime::post(event happened)
{
    pending_.push_back(std::move(happened));
    if (!in_step_) {
        drain();
    }
}

void runtime::drain()
{
    in_step_ = true;
    while (!pending_.empty()) {
        const auto happened = std::move(pending_.front());
        pending_.pop_front();
        try {
            for (const auto& item : step(state_, happened, monotonic_now())) {
                perform(item);
            }
        } catch (const std::exception& error) {
            // Bad input that no part refused by itself; the node goes on without that event.
            handlers_.log({log_level::error, "step.failed", error.what()});
        }
    }
    in_step_ = false;
    arm();
}

void runtime::perform(const effect& item)
{
    std::visit(overloaded{
                   [this](const send_frame& order) { handlers_.send(order); },
                   [this](const platform_call& order) { handlers_.call_platform(order); },
                   [this](const answer_operator& order) { handlers_.answer(order); },
                   [this](const log_record& order) { handlers_.log(order); },
                   [this](const config_applied& order) { handlers_.applied(order); },
                   [this](const call_effect& order) { handlers_.call(order); },
                   [this](const stopped&) { handlers_.stopped(); },
                   [this](const set_timer& order) { set(order); },
                   [this](const cancel_timer& order) { cancel(order.key); },
               },
               item);
}

void runtime::set(const set_timer& order)
{
    cancel(order.key);
    timers_[order.key] = order.due;
    due_.emplace(order.due, order.key);
}

void runtime::cancel(const timer_key& key)
{
    const auto known = timers_.find(key);
    if (known == timers_.end()) {
        return;
    }
    auto [at, end] = due_.equal_range(known->second);
    while (at != end && at->second != key) {
        ++at;
    }
    due_.erase(at);
    timers_.erase(known);
}

void runtime::arm()
{
    if (down_ || due_.empty()) {
        return;
    }
    const auto next = due_.begin()->first;
    if (armed_for_ == next) {
        return;
    }
    armed_for_ = next;
    timer_.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        armed_for_.reset();
        const auto now = monotonic_now();
        while (!due_.empty() && due_.begin()->first <= now) {
            const auto key = due_.begin()->second;
            due_.erase(due_.begin());
            timers_.erase(key);
            pending_.emplace_back(timer_fired{key});
        }
        drain();
    });
}

} // namespace camphor::shell
