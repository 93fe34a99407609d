// Where the parts of the shell hand in what happened.
#pragma once

#include <camphortally/event.h>

namespace camphor::shell {

/// Takes events on the I/O thread.
class event_sink {
public:
    virtual ~event_sink() = default;

    /// Runs the reducer inline and performs its effects. Called from within a step, the event is
    /// handled after that step.
    virtual void post(event happened) = 0;
};

} // namespace camphor::shell
