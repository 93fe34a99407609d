// Finds faults of a new release that show within few requests. Answers short roll-outs, in which a
// sequential test of small differences has not enough requests to decide.
#pragma once

#include <camphortally/latency_histogram.h>

#include <optional>
#include <string>

namespace camphor::mesh {

/// Outcomes of one release, older ones weighing less.
struct recent_outcomes {
    double good = 0;
    double bad = 0;
    /// Of the good ones.
    latency_histogram latency;

    double total() const { return good + bad; }
    void add(double more_good, double more_bad, const latency_histogram& more);
    /// Multiplies all counts by `factor`, in [0, 1].
    void decay(double factor);
};

/// What is grossly wrong with the new release beside the old one; none when nothing is.
std::optional<std::string> find_gross_fault(const recent_outcomes& old_side,
                                            const recent_outcomes& new_side);

/// Whether the new release failed so often, over all its requests, that it should not get more
/// traffic without further proof.
bool is_suspect(const recent_outcomes& old_side, const recent_outcomes& new_side);

} // namespace camphor::mesh
