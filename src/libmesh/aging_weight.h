// Weight of a new value in a moving average that decides whether a backend server gets requests.
#pragma once

#include <camphortally/ids.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphor::mesh {

/// Weight of a value that is better than the mean. A backend server that was slow or failing gets
/// few requests, so the older the mean is, the more a good value counts: a few of them have to show
/// that the backend server has recovered. Worse values count `least` each, so that one alone
/// changes little.
inline double weight_of_better_value(double least, duration mean_age)
{
    /// Age at which the weight is 1 - 1/e.
    constexpr std::chrono::duration<double> aging_time = std::chrono::seconds(3);
    return std::max(least, 1 - std::exp(-std::chrono::duration<double>(mean_age) / aging_time));
}

} // namespace camphor::mesh
