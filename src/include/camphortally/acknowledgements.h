// Who holds which version: nodes tell the relays of their zone, the relays tell every zone.
#pragma once

#include <camphortally/ids.h>
#include <camphortally/timer.h>
#include <wire_types.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphor {

struct step_context;

/// A zone's own account of itself.
struct zone_report {
    /// Every node of the zone holds this version but those in `behind`.
    config_version floor;
    std::map<node_id, config_version> behind;
    std::int32_t nodes = 0;
    /// Orders the reports of one zone.
    std::int64_t sequence = 0;
};

class acknowledgements {
public:
    void start(step_context& context);
    void on_timer(step_context& context, const timer_key& key);
    void on_applied(step_context& context);
    void note(step_context& context, const node_id& node, incarnation life, config_version version);
    void on_applied_report(step_context& context, const wire::frame& frame);
    void on_zone_reports(step_context& context, const wire::frame& frame);

    std::vector<node_id> missing_nodes(const step_context& context, config_version version) const;

private:
    struct holding {
        incarnation life;
        config_version version;
    };

    bool is_relay(const step_context& context) const;
    void tell_relays(step_context& context);
    void report_zone(step_context& context);
    void relay_reports(step_context& context);
    bool is_settled(const step_context& context, const zone_report& report);
    void probe_laggards(step_context& context, const zone_report& report);
    zone_report make_report(const step_context& context) const;
    bool keep(const zone_id& zone, zone_report report);
    config_version held_by(const node_id& node) const;
    void schedule_report(step_context& context);

    /// What single nodes were heard to hold; complete on a relay for its own zone only.
    std::map<node_id, holding> held_;
    std::map<zone_id, zone_report> reports_;
    /// Reports that the children have not seen.
    std::set<zone_id> unsent_;
    time_point told_at_{};
    bool tell_set_ = false;
    time_point reported_at_{};
    bool relay_set_ = false;
    /// Since when some node of the zone is behind, on a relay.
    std::optional<time_point> behind_since_;
};

} // namespace camphor
