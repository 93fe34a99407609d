// Events that a mesh node consumes and effects that it returns for its caller (the shell) to carry
// out.
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

/// One request that an owner runs, or keeps queued, for the local backend server.
using run_id = strong_value<struct run_id_tag, std::uint64_t>;
/// One connection between two nodes, identified at this node.
using link_id = strong_value<struct link_id_tag, std::uint64_t>;

/// A client's request, completely read.
struct request {
    std::string method;
    std::string target;
    std::string host;
    /// End-to-end header fields, one `Name: value` line each.
    std::string head;
    std::string body;
    std::string id;
    /// Accounts for the bytes of the body; released with the request.
    std::shared_ptr<const void> held{};
};
using request_ptr = std::shared_ptr<const request>;

/// A backend server's answer, completely read.
struct answer {
    std::int32_t status = 0;
    /// End-to-end header fields, one `Name: value` line each.
    std::string head;
    std::string body;
};
using answer_ptr = std::shared_ptr<const answer>;

/// Body of a request or an answer; shares the ownership of it.
using body_ptr = std::shared_ptr<const std::string>;

/// Number of requests at a backend server, as counted by the backend server itself.
struct backend_load_report {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// One start of a backend server.
struct backend_start {
    backend_id id;
    /// Start time in milliseconds since the epoch; larger after a restart.
    std::int64_t born = 0;
    friend bool operator==(const backend_start&, const backend_start&) = default;
};

/// A call of the local backend server that is to be acknowledged.
using check_in_id = strong_value<struct check_in_id_tag, std::uint64_t>;

// Events.

struct client_request {
    call_id call;
    request_ptr content;
    /// Time that the client is willing to wait; none when it did not say.
    std::optional<milliseconds> patience;
    /// Key of an organisation; none when the client sent none. Never logged or passed on.
    std::optional<std::string> key{};
};

/// The client closed its connection.
struct client_disconnected {
    call_id call;
};

/// The local backend server answered.
struct backend_answered {
    run_id run;
    answer_ptr content;
    /// The backend server reports that it did not run the request.
    bool not_executed = false;
    /// Another backend server answers at the address.
    bool other_instance = false;
    std::optional<backend_load_report> load;
};

enum class backend_request_failure : std::uint8_t {
    /// No byte was sent, because no connection could be opened.
    unsent,
    /// No byte was sent, because the deadline had passed before a connection was open.
    expired,
    /// The connection closed before the complete answer arrived.
    broken,
    /// The received data is not a valid answer.
    garbled,
};

/// Nothing listens at the backend server's address: its process has ended.
struct backend_not_listening {};

struct backend_request_failed {
    run_id run;
    backend_request_failure kind{};
    /// The backend server refused the connection.
    bool refused_connection = false;
};

/// A check-in of the local backend server. A backend server sends one at its start and regularly
/// after that; check-ins are ordered by (born, sequence).
struct backend_checked_in {
    check_in_id call;
    backend_id id;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    service_id service;
    release_id release;
    int slots = 0;
    bool draining = false;
    milliseconds cold_left{};
};

struct backend_deregistered {
    check_in_id call;
    backend_id id;
    /// Start that leaves; none when the call does not state it.
    std::optional<std::int64_t> born;
};

/// Backend servers that left this node, as an earlier process of it stored them.
struct departures_read {
    std::vector<backend_start> starts;
};

/// The store holds the departures of this revision.
struct departures_stored {
    std::int64_t revision = 0;
};

struct link_opened {
    link_id link;
    /// Node that this node dialled; none for a connection that the remote side opened.
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

struct rollout_order_read {
    rollout_order order;
};

enum class rollout_phase : std::uint8_t { running, completed, rolled_back };

/// State of a roll-out, as held in the store.
struct rollout_status {
    service_id service;
    release_id target;
    /// Version in the store of the row with the roll-out order that this status refers to; 0 when
    /// unknown.
    std::int64_t order = 0;
    rollout_phase phase{};
};

struct rollout_status_read {
    rollout_status status;
    /// Packed store_position of the status row.
    std::int64_t row_version = 0;
};

/// Result of a write of a roll-out's status.
struct rollout_status_written {
    rollout_status status;
    enum class outcome : std::uint8_t { written, conflict, failed } result{};
    /// Packed store_position of the status row after a successful write.
    std::int64_t row_version = 0;
};

/// Nodes that are registered in the store.
struct nodes_listed {
    std::vector<mesh_wire::node_record> nodes;
};

/// The store came back from a copy: what was written to it since the copy is gone.
struct store_restored {
    /// Rises each time.
    std::int64_t era = 0;
};

/// Operators' rows that this node read from the store, to be passed on to other nodes.
struct rows_read {
    std::vector<mesh_wire::operator_row> rows;
    /// Packed store_position.
    std::int64_t read_up_to = 0;
    bool fresh = false;
    /// `rows` are all rows of the table: rows that are not among them no longer exist.
    bool whole_table = false;
};

/// An order to send nothing to the backend servers of a zone, or its end.
struct evacuation_read {
    zone_id zone;
    bool active = false;
    /// Packed store_position of the write.
    std::int64_t row_version = 0;
};

/// Quarantined requests that were read from the store.
struct crashes_read {
    mesh_wire::crash_report report;
    /// True when the store answered.
    bool done = false;
};

struct crashes_written {
    bool done = false;
};

struct timer_tick {};

/// The machine was suspended for `gap`, which the steady clock did not count.
struct machine_resumed {
    duration gap{};
};

/// The process received SIGTERM.
struct shutdown_requested {};

/// The process exits in a moment and can still write some answers.
struct exit_imminent {};

/// The operators changed the limits of the mesh.
struct bounds_changed {
    mesh_bounds bounds;
};

using event =
    std::variant<client_request, client_disconnected, backend_answered, backend_not_listening,
                 backend_request_failed, backend_checked_in, backend_deregistered, departures_read,
                 departures_stored, link_opened, link_closed, frame_arrived, config_read,
                 rollout_order_read, rollout_status_read, rollout_status_written, nodes_listed,
                 evacuation_read, rows_read, store_restored, crashes_read, crashes_written,
                 timer_tick, machine_resumed, shutdown_requested, exit_imminent, bounds_changed>;

// Effects.

/// Sends a backend server's answer to the client.
struct deliver_answer {
    call_id call;
    answer_ptr content;
};

/// Answers the client without an answer of a backend server.
struct deliver_refusal {
    call_id call;
    std::int32_t status = 0;
    std::string reason;
    /// Time after which the client may retry; only with a status that says "not run".
    std::optional<milliseconds> retry_after;
};

/// Sends a request to the local backend server.
struct send_to_backend {
    run_id run;
    request_ptr content;
    std::string caller_service;
    /// The organisation whose client sent the request; empty when there is none.
    organisation_id organisation;
    backend_id expected;
    /// An answer after this time is useless; the request is not sent any more then.
    time_point deadline{};
    /// The request must run at most once: do not reuse an idle connection, which the backend
    /// server may have closed meanwhile.
    bool unsafe = false;
};

/// Aborts a run whose answer is no longer wanted, by closing its connection.
struct abort_run {
    run_id run;
};

struct dial_peer {
    mesh_wire::node_record peer;
};

struct send_to_peer {
    link_id link;
    mesh_wire::mesh_frame frame;
    /// Body of the frame's run request or answer, which the frame itself does not hold; null when
    /// there is none.
    body_ptr body{};
};

struct close_link {
    link_id link;
};

/// Starts or stops reading the operators' rows from the store.
struct set_store_reading {
    bool follow = true;
};

/// Another node knows that the store has come back from a copy.
struct enter_store_era {
    std::int64_t era = 0;
};

/// Operators' rows that another node read from the store; the shell decodes and stores them.
struct apply_rows {
    std::vector<mesh_wire::operator_row> rows;
    /// Packed store_position.
    std::int64_t read_up_to = 0;
};

/// Writes a roll-out's status if the row still has the expected version in the store (0: the row
/// does not exist).
struct write_rollout_status {
    rollout_status status;
    std::int64_t expected_version = 0;
};

/// Answers a call of the local backend server.
struct acknowledge_check_in {
    check_in_id call;
};

/// Writes the backend servers that left this node to the store, until that succeeds or a later
/// revision replaces them.
struct store_departures {
    std::int64_t revision = 0;
    std::vector<backend_start> starts;
};

/// Reads the quarantined requests from the store.
struct read_crashes {};

/// Writes the quarantined requests to the node's own row in the store.
struct write_crashes {
    mesh_wire::crash_report report;
};

/// One input or result of a decision. Field names are stable.
struct log_field {
    std::string name;
    std::string value;
};
using log_fields = std::vector<log_field>;

struct log_line {
    log_level level = log_level::info;
    /// Stable event name, such as "request.refused".
    std::string event;
    /// Id of the request concerned; empty when there is none.
    std::string request_id;
    log_fields fields;
};

/// The shutdown that SIGTERM requested is complete: the process may exit.
struct shutdown_complete {};

using effect =
    std::variant<deliver_answer, deliver_refusal, send_to_backend, abort_run, dial_peer,
                 send_to_peer, close_link, set_store_reading, enter_store_era, apply_rows,
                 write_rollout_status, acknowledge_check_in, store_departures, read_crashes,
                 write_crashes, log_line, shutdown_complete>;
using effect_list = std::vector<effect>;

} // namespace camphor::mesh
