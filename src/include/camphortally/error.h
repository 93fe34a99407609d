// Errors of the library: what went wrong, where, and why.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace camphor {

/// One fault in a document: a JSON pointer (RFC 6901) and the reason.
struct fault {
    std::string pointer;
    std::string reason;
};

/// Input that breaks a rule of the resource or settings format. Lists every fault found.
class invalid_input : public std::runtime_error {
public:
    explicit invalid_input(std::vector<fault> faults);
    /// A single fault.
    invalid_input(std::string pointer, std::string reason);

    const std::vector<fault>& faults() const { return faults_; }

private:
    std::vector<fault> faults_;
};

/// A delta, snapshot or frame that does not fit the state it was meant for.
class state_mismatch : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace camphor
