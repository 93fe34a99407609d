// Workload of a load run: the weighted mix of call kinds and the schedule of send times.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace camphor::load {

/// Request template of one kind of call in the mix.
struct call_kind {
    std::string name;
    /// Frequency relative to the other kinds. Invariant: positive.
    double weight = 1;
    std::string method = "GET";
    /// Path and query; set_expected_bytes() adds the query parameter `bytes`.
    std::string path;
    /// Whether each call is sent with a unique Idempotency-Key.
    bool keyed = false;
    /// Size of the request body.
    std::size_t body_bytes = 0;
    /// Size of the response body; when set, the body is checked byte by byte.
    std::optional<std::size_t> expected_bytes;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds timeout{5'000};
};

/// Makes calls of `kind` request a response body of `bytes` bytes and check it. A `bytes` parameter
/// that is already in the path is kept.
void set_expected_bytes(call_kind& kind, std::size_t bytes);

/// The mix of a run. Invariant: `kinds` is not empty.
struct scenario {
    std::vector<call_kind> kinds;
};

/// Reads `{"kinds":[{"name","weight","method","path","keyed","body_bytes","expected_bytes",
/// "headers","timeout_ms"}]}`.
/// @throws invalid_input with the JSON pointer and reason of each fault
scenario parse_scenario(const std::string& json_text);

/// Sequence of the calls of a run. The send times do not depend on response times (open loop).
class schedule {
public:
    /// Equal seeds give equal schedules.
    schedule(scenario mix, double calls_per_s, std::uint64_t seed);

    /// Draws the kind of the next call at random according to the weights.
    const call_kind& next_kind();
    /// Send time relative to the start of the run of the call with this index, from 0.
    std::chrono::nanoseconds send_offset(std::uint64_t call_index) const;

private:
    scenario mix_;
    double calls_per_s_;
    std::mt19937_64 generator_;
    std::discrete_distribution<std::size_t> kind_distribution_;
};

} // namespace camphor::load
