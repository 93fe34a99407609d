// Limits retries to a part of the calls, so that they cannot multiply an overload.
#pragma once

#include <algorithm>

namespace camphor {

/// Each call earns a part of a retry; each retry spends a whole one.
/// Invariant: over any span, retries <= ratio * calls + burst.
class retry_budget {
public:
    void on_call() { balance_ = std::min(balance_ + ratio, burst); }

    /// Spends one retry; false when none is left.
    bool try_spend()
    {
        if (balance_ < 1.0) {
            return false;
        }
        balance_ -= 1.0;
        return true;
    }

private:
    static constexpr double ratio = 0.1;
    static constexpr double burst = 10.0;

    double balance_ = burst;
};

} // namespace camphor
