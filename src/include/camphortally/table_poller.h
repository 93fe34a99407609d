// Reads newer versions from the platform's table, on the relays of a zone only.
#pragma once

#include <camphortally/backoff.h>
#include <camphortally/platform_client.h>
#include <camphortally/timer.h>

namespace camphor {

struct step_context;

/// Invariant: at most one request of the poller is awaited.
class table_poller {
public:
    void start(step_context& context);
    void on_timer(step_context& context);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);

private:
    void on_head(step_context& context, const platform_reply& reply);
    void on_snapshot_head(step_context& context, const platform_reply& reply);
    void on_snapshot_body(step_context& context, const platform_reply& reply);
    void on_changes(step_context& context, const platform_reply& reply);
    void scan_changes(step_context& context);
    void request(step_context& context, std::int32_t kind, platform_request request);

    decorrelated_backoff backoff_{std::chrono::milliseconds(500), std::chrono::seconds(5)};
    bool failing_ = false;
    std::uint64_t sequence_ = 0;
};

} // namespace camphor
