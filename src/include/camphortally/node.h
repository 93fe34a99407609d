// The pure decision core: one reducer over all events.
#pragma once

#include <camphortally/calls.h>
#include <camphortally/change_writer.h>
#include <camphortally/claims.h>
#include <camphortally/config_store.h>
#include <camphortally/context.h>
#include <camphortally/control.h>
#include <camphortally/distribution.h>
#include <camphortally/effect.h>
#include <camphortally/event.h>
#include <camphortally/membership.h>
#include <camphortally/settings.h>

#include <random>

namespace camphor {

/// Everything that a node knows. Changed by step() only.
struct node_state {
    explicit node_state(node_settings given) : settings(std::move(given)) {}

    node_settings settings;
    incarnation life;
    std::mt19937_64 random;
    /// Wall clock at `wall_known_at`; see clock_synced.
    wall_time wall_known{};
    time_point wall_known_at{};
    bool stopping = false;

    config_store config;
    membership members;
    distribution spread;
    control duties;
    camphor::calls calls;
    camphor::claims claims;
    change_writer writer;
};

/// Handles one event. Pure: time comes in as `now`, which never decreases, and randomness from the
/// seed in node_started. The first event of a state is node_started.
effect_list step(node_state& state, const event& happened, time_point now);

} // namespace camphor
