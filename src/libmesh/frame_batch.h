// Filters the frames that were received in one read of a connection.
#pragma once

#include <mesh_types.h>

#include <memory>
#include <set>
#include <vector>

namespace camphor::mesh {

using frame_ptr = std::shared_ptr<const mesh_wire::mesh_frame>;

/// Removes the run requests that a later frame of the same batch cancels. A node that was
/// suspended receives such batches: without this filter it would start requests whose callers have
/// left.
inline void drop_cancelled_runs(std::vector<frame_ptr>& batch)
{
    std::set<std::int64_t> cancelled;
    for (auto position = batch.rbegin(); position != batch.rend(); ++position) {
        const auto& frame = **position;
        if (frame.__isset.cancel) {
            cancelled.insert(frame.cancel.call);
        } else if (frame.__isset.run && cancelled.contains(frame.run.call)) {
            position->reset();
        }
    }
    std::erase(batch, nullptr);
}

} // namespace camphor::mesh
