// Everything that can happen to a node of a mesh, and what it asks its shell to do, as data.
#pragma once

#include "libmesh/mesh_config.h"
#include "libmesh/mesh_settings.h"

#include <camphortally/effect.h>
#include <camphortally/ids.h>
#include <mesh_types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphor::mesh {

/// One request that the owner sends to the backend server beside it.
using run_id = strong_value<struct run_id_tag, std::uint64_t>;
/// One connection between two nodes.
using link_id = strong_value<struct link_id_tag, std::uint64_t>;

/// A client's request, read whole.
struct request {
    std::string method;
    std::string target;
    std::string host;
    /// End-to-end fields, one `Name: value` line each.
    std::string head;
    std::string body;
    std::string id;
};
using request_ptr = std::shared_ptr<const request>;

/// A backend server's answer, read whole.
struct answer {
    std::int32_t status = 0;
    /// End-to-end fields, one `Name: value` line each.
    std::string head;
    std::string body;
};
using answer_ptr = std::shared_ptr<const answer>;

/// Requests at a backend server as it counts them itself.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

// Events.

struct client_request {
    call_id call;
    request_ptr content;
    /// How long the client will wait; none when it did not say.
    std::optional<milliseconds> patience;
};

/// The client closed its connection.
struct client_gone {
    call_id call;
};

/// The backend server beside the node answered.
struct app_answered {
    run_id run;
    answer_ptr content;
    /// It says that it did not run the request.
    bool not_executed = false;
    /// The address belongs to another backend server now.
    bool other_instance = false;
    std::optional<reported_load> load;
};

enum class app_failure : std::uint8_t {
    /// No byte was sent: there was no connection.
    unsent,
    /// The connection broke before a whole answer.
    broken,
    /// What came was no usable answer.
    garbled,
};

/// Nothing listens at the backend server's address: its process has ended.
struct app_gone {};

struct app_failed {
    run_id run;
    app_failure kind{};
    /// The backend server accepts no connections.
    bool refused_connection = false;
};

/// A check-in of the backend server beside the node. Ordered by (born, sequence).
struct backend_checked_in {
    backend_id id;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    service_id service;
    release_id release;
    int slots = 0;
    bool draining = false;
    milliseconds cold_left{};
};

struct backend_left {
    backend_id id;
};

struct link_opened {
    link_id link;
    /// The node that was dialled; none for a connection that the other side opened.
    std::optional<node_id> dialled;
};

struct link_closed {
    link_id link;
    std::optional<node_id> dialled;
};

struct frame_arrived {
    link_id link;
    std::shared_ptr<const mesh_wire::mesh_frame> frame;
};

/// A new configuration was read and decoded.
struct config_read {
    mesh_config_ptr config;
};

struct order_read {
    rollout_order order;
};

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

/// How a roll-out stands in the store.
struct rollout_status {
    service_id service;
    release_id target;
    /// Version of the order's row that it answers; 0 when the row does not tell.
    std::int64_t order = 0;
    rollout_phase phase{};
};

struct rollout_status_read {
    rollout_status status;
    /// Version of the status row.
    std::int64_t row_version = 0;
};

/// What became of a write of a roll-out's status.
struct rollout_status_written {
    rollout_status status;
    enum class outcome : std::uint8_t { written, conflict, failed } result{};
    /// Version of the row after a write.
    std::int64_t row_version = 0;
};

/// Nodes that the store lists.
struct nodes_listed {
    std::vector<mesh_wire::node_record> nodes;
};

/// Operators' rows that this node read from the store, to be passed on.
struct rows_read {
    std::vector<mesh_wire::operator_row> rows;
    std::int64_t read_up_to = 0;
    bool fresh = false;
};

/// What the store held of requests in quarantine.
struct crashes_read {
    mesh_wire::crash_report report;
    /// The store answered.
    bool done = false;
};

struct crashes_written {
    bool done = false;
};

struct time_passed {};

/// SIGTERM.
struct stop_asked {};

/// The operators of the mesh set other limits.
struct bounds_changed {
    mesh_bounds bounds;
};

using event =
    std::variant<client_request, client_gone, app_answered, app_gone, app_failed,
                 backend_checked_in, backend_left, link_opened, link_closed, frame_arrived,
                 config_read, order_read, rollout_status_read, rollout_status_written, nodes_listed,
                 rows_read, crashes_read, crashes_written, time_passed, stop_asked, bounds_changed>;

// Effects.

/// Passes a backend server's answer on to the client.
struct deliver_answer {
    call_id call;
    answer_ptr content;
};

/// Answers the client without a backend server's answer.
struct deliver_refusal {
    call_id call;
    std::int32_t status = 0;
    std::string reason;
    /// When the client may come back; only with a status that says "not run".
    std::optional<milliseconds> retry_after;
};

/// Sends a request to the backend server beside the node.
struct send_to_app {
    run_id run;
    request_ptr content;
    std::string caller_service;
    backend_id expected;
    milliseconds time_left{};
    /// Runs at most once: take no connection that may have been closed meanwhile.
    bool unsafe = false;
};

/// Nobody wants the answer any more; the connection is closed.
struct drop_run {
    run_id run;
};

struct dial_peer {
    mesh_wire::node_record peer;
};

struct send_to_peer {
    link_id link;
    mesh_wire::mesh_frame frame;
};

struct close_link {
    link_id link;
};

/// Whether the node reads the operators' rows from the store itself.
struct follow_store {
    bool follow = true;
};

/// Operators' rows that another node read; the shell decodes them and remembers them.
struct take_rows {
    std::vector<mesh_wire::operator_row> rows;
    std::int64_t read_up_to = 0;
};

/// Writes how a roll-out stands, while the row has the expected version (0: does not exist).
struct write_rollout_status {
    rollout_status status;
    std::int64_t expected_version = 0;
};

/// Reads from the store which requests are in quarantine.
struct read_crashes {};

/// Writes them there, in a row of the node's own.
struct write_crashes {
    mesh_wire::crash_report report;
};

/// One input or outcome of a decision; names are stable.
struct log_field {
    std::string name;
    std::string value;
};
using log_fields = std::vector<log_field>;

struct log_line {
    log_level level = log_level::info;
    /// Stable name, such as "request.refused".
    std::string event;
    /// Request that it is about; empty when none.
    std::string request_id;
    log_fields fields;
};

/// The last request is done after a SIGTERM: the process may end.
struct may_stop {};

using effect = std::variant<deliver_answer, deliver_refusal, send_to_app, drop_run, dial_peer,
                            send_to_peer, close_link, follow_store, take_rows, write_rollout_status,
                            read_crashes, write_crashes, log_line, may_stop>;
using effect_list = std::vector<effect>;

} // namespace camphor::mesh
