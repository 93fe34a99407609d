// Frames exchanged between the nodes of a platform mesh. Compact protocol, one `mesh_frame` per
// length-prefixed record. Add fields with new numbers; never reuse a number.
namespace cpp camphor.mesh_wire

// Load of an owner's backend server at the time when the frame is written.
struct owner_load {
  1: i32 running
  2: i32 waiting
  3: i32 slots
  // Mean time for which a request holds a slot, in milliseconds.
  4: i32 hold_ms
  // Moving average of the share of failed answers, per thousand.
  5: i32 failing_permille
}

// Asks the receiver to run a request on its local backend server.
struct run_request {
  1: i64 call
  2: string backend
  3: string route
  4: string method
  5: string target
  // End-to-end header fields, one `Name: value` line each.
  6: string head
  7: binary body
  8: string request_id
  9: i32 time_left_ms
  // Time left in milliseconds until the latency objective, within which an answer has its full
  // value.
  10: i32 objective_left_ms
  11: string caller_service
  // Priority; 0 is served first.
  12: i32 rank
  13: bool may_wait
  14: bool safe
  // True when the request was already sent to a backend server, so that this one counts as a
  // retry.
  15: bool repeated
  // Hash of the parts of a request that stay the same when a client repeats it; 0 when the sender
  // does not provide it.
  16: i64 content_print
  // Name of the organisation whose client sent the request; empty when there is none.
  17: string organisation
}

enum run_outcome {
  // The backend server's own answer.
  answered = 0
  // Not run and never will be.
  refused = 1
  // Sent without a usable answer: the request may have run.
  failed = 2
  // The backend server reported that it did not run the request.
  not_executed = 3
}

struct run_answer {
  1: i64 call
  2: run_outcome outcome
  3: i32 status
  4: string head
  5: binary body
  6: owner_load load
  7: string reason
  // With a refusal: time in milliseconds until the owner expects a free slot.
  8: i32 wait_ms
  // With a refusal for overload: a node in the zone of the owner whose backend server of the same
  // service and release has a free slot.
  9: optional string free_owner
}

struct cancel_run {
  1: i64 call
}

// Identity and address of a node, as sent by the node itself.
struct node_record {
  1: string node
  2: string zone
  3: string host
  4: i32 port
  // Increases with every start of the node.
  5: i64 boot
}

// A backend server, as reported by the node that owns it.
struct backend_report {
  1: string id
  2: i64 born
  3: string service_name
  4: string release
  5: i32 slots
  // 0 ready, 1 draining, 2 gone, 3 unreachable
  6: i32 state
  7: i32 cold_left_ms
}

// State of the sending node; sent on every change and periodically.
struct node_state {
  1: node_record sender
  2: i64 revision
  3: optional backend_report backend
  4: owner_load load
  5: bool stopping
  // While stopping: the time for which its backend server still takes requests of other nodes.
  9: i32 lends_for_ms
  6: i64 config_version
  // True while the sender reads the platform's store itself and its reads succeed.
  7: bool store_fresh
  // True while a read of the store by the sender exceeds its time limit.
  8: bool reads_late
  // Latest era of the store that the sender knows; rises when the store comes back from a copy.
  10: i64 store_era
}

// One part of a delta: the pieces [first, first + count) of the base document, followed by the
// literal bytes.
struct document_part {
  1: i32 first
  2: i32 count
  3: binary literal
}

// An operator's row as held in the store.
struct operator_row {
  1: string key
  // Packed store_position of the write.
  2: i64 row_version
  // The whole document. Empty for a deleted row, and when `parts` hold a delta.
  3: binary document
  4: bool removed
  // Version of the row that `parts` are based on; 0 when `document` is the whole document.
  5: i64 base_version
  6: list<document_part> parts
  // Hash of the whole document that results from applying `parts`.
  7: i64 digest
  // Number of the configuration that the document holds; 0 for other rows.
  8: i64 config_version
}

struct rows_push {
  1: list<operator_row> rows
  // Packed store_position up to which the sender knows the rows.
  2: i64 read_up_to
  // Names of the nodes to which the receiver relays the frame.
  3: list<string> relay_to
}

// Asks for all rows. Field number 1 was used before.
struct rows_pull {
}

// Results of one route on the release of the owner's backend server since the owner's last report.
struct release_counts {
  1: string service_name
  2: string route
  3: string release
  4: i32 good
  // Failed requests, without those that the backend server rejected without running them.
  5: i32 bad
  // Number of good answers per latency bucket, see latency_histogram in the core.
  6: list<i32> latency_buckets
  // Requests that the backend server rejected without running them.
  7: i32 shed
}

struct evidence {
  1: list<release_counts> counts
}

// State of a roll-out, as sent by the roll-out leader.
struct rollout_share {
  1: string service_name
  2: string target
  // Packed store_position of the roll-out order.
  3: i64 order
  // Of two frames about the same order, one with a final phase takes precedence; otherwise the one
  // with the larger sequence.
  4: i64 sequence
  5: i32 permille
  6: i32 stage
  // 0 running, 1 completed, 2 rolled back
  7: i32 phase
  // Time in milliseconds since a node first saw the order.
  8: i64 age_ms
}

// One request that a backend server was running when it ended.
struct backend_end {
  1: i64 content_print
  2: string caller_service
  3: string backend
  // Identifies the start of the backend server.
  4: i64 born
  // True when the request was answered later, or when the backend server turned out not to have
  // ended.
  5: bool cleared
  6: i64 age_ms
}

struct crash_report {
  1: list<backend_end> ends
}

// A backend server of the receiver that announced to an earlier process of it that it leaves.
struct departed_backend {
  1: string id
  2: i64 born
  // Time in milliseconds since it was announced.
  3: i64 age_ms
}

// A run request or an answer whose body follows in parts. A separate message, so that a node which does
// not know it cannot take the request for one without a body.
struct split_message {
  // Names the body on this connection and in this direction.
  1: i64 body_id
  // Length of the whole body in bytes.
  2: i64 length
  3: optional run_request run
  4: optional run_answer answer
}

// The next bytes of a body.
struct body_part {
  1: i64 body_id
  2: binary data
  // The rest of the body is not sent, since the request was cancelled.
  3: bool dropped
}

// Requests of an organisation at one node since its last report.
struct organisation_usage {
  1: string organisation
  2: i32 admitted
  3: i32 asked
}

struct allowance_report {
  // Steady clock of the reporting node, in microseconds; comes back with the grants.
  1: i64 sent_at_us
  2: list<organisation_usage> usage
}

struct organisation_share {
  1: string organisation
  // Fraction of its requests that the receiver may let in, and what that is expected to be in requests
  // per second.
  2: double rate
  3: double fraction
}

struct allowance_grants {
  1: i64 sent_at_us
  // Organisations that are not in the list are not limited.
  2: list<organisation_share> limited
}

struct mesh_frame {
  1: optional node_state state
  2: optional run_request run
  3: optional run_answer answer
  4: optional cancel_run cancel
  5: optional rows_push rows
  6: optional rows_pull pull
  7: optional evidence report
  8: optional rollout_share share
  10: optional bool ping
  11: optional crash_report crashes
  // Sent when the owner's backend server gets its first free slot or has no more.
  12: optional owner_load load
  13: optional list<departed_backend> departed
  14: optional split_message split
  15: optional body_part part
  16: optional allowance_report usage
  17: optional allowance_grants grants
}
