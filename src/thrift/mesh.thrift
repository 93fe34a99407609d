// Frames between the nodes of a platform mesh. Compact protocol, one `mesh_frame` per length-prefixed
// record. Add fields with new numbers; never reuse a number.
namespace cpp camphor.mesh_wire

// What an owner knows of the room at its backend server when it writes the frame.
struct owner_load {
  1: i32 running
  2: i32 waiting
  3: i32 slots
  // Mean time for which a request holds a slot, milliseconds.
  4: i32 hold_ms
  // Part of the recent answers that were failures, per thousand.
  5: i32 failing_permille
}

// Asks the receiver to run a request on the backend server beside it.
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
  // Time left within which an answer has its full value.
  10: i32 objective_left_ms
  11: string caller_service
  // 0 is served first.
  12: i32 rank
  13: bool may_wait
  14: bool safe
  // The sender counts this arrival as a retry.
  15: bool repeated
  // Hash of what stays the same when a client repeats the request; 0 when the sender does not tell.
  16: i64 content_print
}

enum run_outcome {
  // The backend server's own answer.
  answered = 0
  // Not run and never will be.
  refused = 1
  // Sent, and no usable answer came: it may have run.
  failed = 2
  // The backend server said that it did not run it.
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
  // Time until the owner expects room, for a refusal.
  8: i32 wait_ms
}

struct cancel_run {
  1: i64 call
}

// One node, as it introduces itself.
struct node_record {
  1: string node
  2: string zone
  3: string host
  4: i32 port
  // Orders the lives of one node.
  5: i64 boot
}

// The backend server beside a node, as its owner reports it.
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

// State of the sending node; sent at once on a change and regularly besides.
struct node_state {
  1: node_record sender
  2: i64 revision
  3: optional backend_report backend
  4: owner_load load
  5: bool stopping
  6: i64 config_version
  // True while the sender's own reads of the platform's store succeed.
  7: bool store_fresh
  // True while the store has not answered the sender's reads in time.
  8: bool reads_late
}

// Pieces [first, first + count) of the base document, then the literal bytes.
struct document_part {
  1: i32 first
  2: i32 count
  3: binary literal
}

// An operator's row, passed on as it stands in the store.
struct operator_row {
  1: string key
  2: i64 row_version
  // Empty for a deleted row, and where `parts` tell the difference.
  3: binary document
  4: bool removed
  // Version of the row that `parts` refer to; 0 when `document` is whole.
  5: i64 base_version
  6: list<document_part> parts
  // Hash of the whole document that `parts` give.
  7: i64 digest
}

struct rows_push {
  1: list<operator_row> rows
  // Newest version of the store that the sender has read.
  2: i64 read_up_to
  // Names of the nodes that the receiver passes the frame on to.
  3: list<string> relay_to
}

// Asks for all rows. Number 1 was used.
struct rows_pull {
}

// What an owner saw of one route on the release beside it since its last report.
struct release_counts {
  1: string service_name
  2: string route
  3: string release
  4: i32 good
  5: i32 bad
  // Counts per latency bucket of the good ones, see latency_histogram in the core.
  6: list<i32> latency_buckets
}

struct evidence {
  1: list<release_counts> counts
}

// How a roll-out stands, from its holder.
struct rollout_share {
  1: string service_name
  2: string target
  // Version of the order's row.
  3: i64 order
  // Of two frames about one order the one with a final phase counts, else the larger sequence.
  4: i64 sequence
  5: i32 permille
  6: i32 stage
  // 0 running, 1 completed, 2 rolled back
  7: i32 phase
  // Time since the order was first seen by a node.
  8: i64 age_ms
}

// A backend server that ended while it ran a request.
struct backend_end {
  1: i64 content_print
  2: string caller_service
  3: string backend
  // Start of the backend server's life.
  4: i64 born
  // The request was answered since, or the backend server had not ended.
  5: bool cleared
  6: i64 age_ms
}

struct crash_report {
  1: list<backend_end> ends
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
}
