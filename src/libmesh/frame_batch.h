// Frames that one read of a connection brought.
#pragma once

#include <mesh_types.h>

#include <memory>
#include <set>
#include <vector>

namespace camphor::mesh {

using frame_ptr = std::shared_ptr<const mesh_wire::mesh_frame>;

/// Leaves out the runs that a later frame of the same batch cancels. Answers a node that stood
/// still while its callers left: started first, such a run would reach the backend server.
inline void drop_cancelled_runs(std::vector<frame_ptr>& batch)
{
    std::set<std::int64_t> cancelled;
    for (auto item = batch.rbegin(); item != batch.rend(); ++item) {
        const auto& frame = **item;
        if (frame.__isset.cancel) {
            cancelled.insert(frame.cancel.call);
        } else if (frame.__isset.run && cancelled.contains(frame.run.call)) {
            item->reset();
        }
    }
    std::erase(batch, nullptr);
}

} // namespace camphor::mesh
