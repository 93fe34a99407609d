// Keeps the change log short: writes whole snapshots to the object store and deletes the changes
// that they hold.
#pragma once

#include <camphortally/platform_client.h>
#include <camphortally/snapshot.h>

namespace camphor {

struct step_context;

/// Invariant: a change is deleted only while the snapshot's head names a stored snapshot that holds
/// it. What a node that ended midway left is deleted after the next compaction.
class snapshot_compactor {
public:
    void start(step_context& context);
    void on_timer(step_context& context);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);

private:
    void on_head(step_context& context, const platform_reply& reply);
    void mark(step_context& context);
    void scan(step_context& context);
    void remove(step_context& context, const platform_reply& reply);
    void request(step_context& context, std::int32_t kind, platform_request request);

    /// Snapshot being written.
    snapshot_ptr candidate_;
    /// What `snapshot-head` held; 0 when absent.
    config_version compacted_;
    std::uint64_t sequence_ = 0;
};

} // namespace camphor
