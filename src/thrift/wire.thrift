// Messages between nodes. Compact protocol, one `frame` per 4-byte length-prefixed TCP record.
// Add fields with new numbers; never reuse a number. Raise PROTOCOL_VERSION on a breaking change.
namespace cpp camphor.wire

const i32 PROTOCOL_VERSION = 1

// One backend server as its own node reports it.
struct backend_record {
  1: string name
  2: string service_name
  3: string release
  4: i32 slots
  // 0 warming, 1 ready, 2 draining
  5: i32 state
  6: i32 in_flight
}

// One node with the backend servers beside it. Ordered by (incarnation, revision).
struct member_record {
  1: string node
  2: string zone
  3: string region
  4: string host
  5: i32 peer_port
  6: i32 call_port
  7: i64 incarnation
  8: i64 revision
  // 0 alive, 1 suspect, 2 left, 3 dead
  9: i32 state
  10: list<backend_record> backends
}

struct ping_message {
  1: i64 sequence
  2: list<member_record> updates
  3: i64 config_version
}

// Asks the receiver to probe `target` on behalf of the sender.
struct ping_request_message {
  1: i64 sequence
  2: string target
}

struct ping_ack_message {
  1: i64 sequence
  // Node that answered; differs from the sender when relayed.
  2: string subject
  3: list<member_record> updates
  4: i64 config_version
}

// Digest of the live records of one availability zone.
struct zone_digest {
  1: string zone
  2: i64 digest
}

// Anti-entropy over membership. Without `zones` it asks whether the rosters agree; a mismatch is
// answered with the same message and `zones`, and that with the records of the zones that differ.
struct roster_pull_message {
  1: i64 digest
  2: list<zone_digest> zones
  // The sender knows nobody yet and wants the whole roster.
  3: bool joining
  // The sender's own record.
  4: optional member_record own_record
}
struct roster_push_message {
  1: list<member_record> members
  // Zones of which `members` holds every live record of the sender; the receiver returns newer ones.
  2: list<string> complete_zones
  // The whole roster was withheld for load: ask one of `members` later.
  3: bool partial
}

// One accepted change. `body` is the resource as JSON, empty for a deletion.
struct change_record {
  1: i64 version
  2: string kind
  3: string name
  4: string body
  5: string operation_id
  6: i64 accepted_at_ms
}

// Versions (base, version]; `digest` is that of the resulting snapshot.
struct config_delta_message {
  1: i64 base
  2: i64 version
  3: i64 digest
  4: list<change_record> changes
}

struct config_pull_message {
  1: i64 have_version
  2: i64 have_digest
  3: bool want_full
}

struct config_full_message {
  1: i64 version
  2: i64 digest
  // Each resource as JSON with kind, name, revision, spec, status.
  3: list<string> resources
}

// The receiver is over its limit of full fetches.
struct config_busy_message {
  1: i64 retry_after_ms
}

struct node_version {
  1: string node
  2: i64 version
}

// Aggregated applied versions. A subtree whose nodes all hold `floor` or newer lists only exceptions.
struct applied_report_message {
  1: string root
  2: i64 floor
  3: i32 nodes
  4: list<node_version> behind
  // Orders the reports of one zone: wall clock of the reporting relay, milliseconds.
  5: i64 sequence
}

// Reports of whole zones, `root` naming the zone, between relays and down the push trees.
struct zone_reports_message {
  1: list<applied_report_message> reports
}

// Outcomes of calls to one release on one route since the last report.
struct evidence_cell {
  1: string route
  2: string release
  3: i64 successes
  4: i64 failures
  // Counts per latency bucket, see latency_histogram in the core.
  5: list<i32> latency_buckets
  // Attempts refused or shed for overload; neither success nor failure.
  6: i64 overloaded
}

struct evidence_report_message {
  1: string move
  2: i64 config_version
  3: list<evidence_cell> cells
  // True once the sender stopped sending to the new release on its own evidence.
  4: bool stopped
  5: string stop_reason
  6: string zone
}

// A request fingerprint in flight when a backend server died.
struct crash_suspect_message {
  1: i64 fingerprint
  2: i32 deaths
}

struct frame {
  1: string mesh
  2: string sender
  3: i64 incarnation
  4: i32 protocol
  10: optional ping_message ping
  11: optional ping_request_message ping_request
  12: optional ping_ack_message ping_ack
  13: optional roster_pull_message roster_pull
  14: optional roster_push_message roster_push
  15: optional config_delta_message config_delta
  16: optional config_pull_message config_pull
  17: optional config_full_message config_full
  18: optional config_busy_message config_busy
  19: optional applied_report_message applied_report
  20: optional evidence_report_message evidence_report
  21: optional crash_suspect_message crash_suspect
  22: optional zone_reports_message zone_reports
}
