// Retry delays that spread out a herd of clients.
#pragma once

#include <camphortally/context.h>
#include <camphortally/ids.h>

namespace camphor {

/// Decorrelated jitter: each delay is uniform between the base and three times the last one.
class decorrelated_backoff {
public:
    decorrelated_backoff(duration base, duration cap) : base_(base), cap_(cap), last_(base) {}

    duration next(const step_context& context);
    /// The last try succeeded.
    void reset() { last_ = base_; }

private:
    duration base_;
    duration cap_;
    duration last_;
};

/// Admits `rate` events a second on average and `burst` at once.
class token_bucket {
public:
    token_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    bool try_take(time_point now);

private:
    double rate_;
    double burst_;
    double tokens_;
    time_point filled_at_{};
};

} // namespace camphor
