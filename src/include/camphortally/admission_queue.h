// Calls that wait for a slot of one backend server.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/resource.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace camphor {

struct waiting_call {
    call_id call;
    /// For fairness: the caller with most calls waiting loses one first.
    std::string caller;
    camphor::priority priority = camphor::priority::normal;
    time_point give_up;
};

/// Short queue in order of priority. Within a priority the oldest call is served first, but the
/// newest while the queue is more than half full: then the oldest will not be served in time
/// anyway. Invariant: holds at most limit() calls.
class admission_queue {
public:
    explicit admission_queue(std::size_t limit = 0) : limit_(limit) {}

    void set_limit(std::size_t limit) { limit_ = limit; }
    std::size_t limit() const { return limit_; }
    std::size_t size() const { return waiting_.size(); }
    /// Adds a call. Returns the call that has to go when that is one too many, perhaps this one.
    std::optional<call_id> add(waiting_call item);
    /// The call that takes the next free slot, if any; it stays until removed.
    std::optional<call_id> next() const;
    void remove(const call_id& call);
    /// Removes and returns the calls whose time is over.
    std::vector<call_id> expire(time_point now);

private:
    std::deque<waiting_call>::const_iterator least_deserving() const;

    std::size_t limit_;
    /// In order of arrival.
    std::deque<waiting_call> waiting_;
};

} // namespace camphor
