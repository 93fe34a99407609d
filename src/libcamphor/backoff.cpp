// Decorrelated jitter and the token bucket.
#include <camphortally/backoff.h>

#include <algorithm>

namespace camphor {

duration decorrelated_backoff::next(const step_context& context)
{
    constexpr int growth = 3;
    last_ = std::min(cap_, context.jitter(base_, last_ * growth));
    return last_;
}

bool token_bucket::try_take(time_point now)
{
    const std::chrono::duration<double> since = now - filled_at_;
    filled_at_ = now;
    tokens_ = std::min(burst_, tokens_ + since.count() * rate_);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace camphor
