// Work that must not hold up the I/O thread, on oneTBB.
#pragma once

#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

#include <utility>

namespace camphor::shell {

/// Threads beside the I/O thread.
inline constexpr int worker_threads = 2;

/// An arena of worker threads. Results go back to the I/O thread by asio::post. The owner calls
/// wait() before it destroys anything that a task uses, the io_context included.
class worker_arena {
public:
    worker_arena() = default;
    ~worker_arena() { wait(); }
    worker_arena(const worker_arena&) = delete;
    worker_arena& operator=(const worker_arena&) = delete;

    template <class Task>
    void run(Task&& task)
    {
        arena_.enqueue(tasks_.defer(std::forward<Task>(task)));
    }

    /// Returns when all tasks have ended and released what they captured.
    void wait()
    {
        arena_.execute([this] { tasks_.wait(); });
    }

private:
    oneapi::tbb::task_arena arena_{worker_threads, 0};
    oneapi::tbb::task_group tasks_;
};

} // namespace camphor::shell
