// Messages between comfreywharfd processes.
//
// Regenerate the code with `make gen`, which needs the thrift compiler. The
// generated code is committed, so that building, testing and running don't
// need the compiler.
//
// Durations are relative (`_ms`), since machines have no common clock. Event
// clocks are hybrid logical clocks, packed as milliseconds << 16 | counter.

namespace py comfreywharf.transport.gen

enum Outcome {
  ANSWERED = 1,   // the backend server's complete answer follows
  NOT_RUN = 2,    // proven: no backend server ran the request
  UNKNOWN = 3     // it may or may not have run
}

struct Header {
  1: required string name,
  2: required string value
}

// A backend server that leaves. Its incarnation tells it from the next one there.
struct LeavingServer {
  1: required string instance,
  2: optional i64 started_ms,          // since the epoch, by the server's clock
  3: required i32 since_ms             // how long ago the sender learned it
}

struct ForwardRequest {
  1: required string request_id,
  2: required string service_name,
  3: required binary key,              // empty if the service isn't divided by key
  4: required string method,
  5: required string path,
  6: required list<Header> headers,
  7: required binary body,             // the first part of a streamed body
  8: required i32 remaining_ms,        // until the caller's deadline
  9: required string ingress_node_id,
  10: required i32 retries_left,       // of the request, over all hops
  11: required i64 event_clock,
  12: required i32 first_sent_ago_ms,  // 0: this is the first attempt; -1: unknown
  13: required i32 priority,           // 0 is the most urgent
  14: required bool repeatable,        // whether it may run more than once
  15: required i32 target_ms,          // until the latency target; 0: no target
  // For a body that is sent after its request:
  16: required string fingerprint = "",  // identifies the request in the quarantine
  17: required i64 body_mark = 0,      // compared between resends of one request id
  18: required i64 body_bytes = -1,    // its length; -1: unknown
  // By the sender's clock; the receiver compares it only with earlier values:
  19: required i64 sent_ms = 0,        // 0: unknown
  20: optional i32 max_wait_ms,        // refuse it if it would wait longer for a slot
  21: optional LeavingServer leaving,  // the receiver's server, as the sender knows it
  22: optional bool nested             // a call that a server makes while it runs a request
}

// The load of the sender's server, which includes what its node has admitted or queued.
struct ServerLoad {
  1: required i32 running,
  2: required i32 waiting,
  3: required i32 slots,
  4: required i32 work_ms              // typical service time at this moment; 0: unknown
}

// The load of another server of the same service, from a reply that the sender received.
struct PassedLoad {
  1: required string node_id,
  2: required ServerLoad load,
  3: required i32 age_ms               // time since the sender received it
}

// What the sender's server admits while it is overloaded. More urgent ranks are admitted
// whole, less urgent ones not at all.
struct AdmissionLevel {
  1: required i32 rank,                // the least urgent rank that is admitted
  2: required double fraction,         // of that rank's requests, from 0 to 1
  3: required i32 valid_ms
}

struct UploadOpened {
  1: required i64 stream_id,
  2: required bool wanted              // false: the request was decided without it
}

struct ForwardReply {
  1: required Outcome outcome,
  2: required i32 status,
  3: required list<Header> headers,
  4: required binary body,
  5: required i64 stream_id,           // 0: the body is complete
  6: required string reason,           // a value of routing.Reason; empty if answered
  7: required i32 retry_after_ms,      // 0: no advice
  8: required string owner_hint,       // on WRONG_OWNER: the node to try
  9: required i64 event_clock,
  10: required i32 retries_left,
  11: optional i32 cold_ms,            // how long the sender's server stays cold
  12: optional double limit_per_s,     // what the sender's server takes; unset: no limit
  13: optional LeavingServer leaving,  // the sender's server, if it leaves
  14: optional bool backend_reached,   // whether a refused request was sent to the server
  // With a refusal of the server: the calls to each service that one of its runs makes.
  15: optional map<string, double> calls_per_run,
  16: optional ServerLoad load,        // for services that aren't divided by key
  17: optional AdmissionLevel admission, // unset: the server isn't overloaded
  18: optional list<PassedLoad> passed_loads // of other servers of the service
}

struct BodyChunk {
  1: required binary data,
  2: required bool last,
  3: required bool failed              // the rest is lost: the body is incomplete
}

// From the owner of a lease to each of its witnesses.
struct RenewRequest {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 lease_epoch,
  4: required i64 portfolio_epoch,
  5: required i32 lease_ms,
  6: required i32 reach_ms,            // from sending to the last outstanding deadline
  7: required i64 event_clock,
  8: required i64 round,               // increases with each renewal of an incarnation
  9: required bool vouched             // a grant of this witness is still in force
  10: optional bool predecessor_ended  // the node's earlier process is gone
}

// From a node that may take over from a node whose lease expired, to the latter's
// witnesses.
struct ClaimRequest {
  1: required string owner_id,         // the node whose lease expired
  2: required string taker_id,
  3: required i64 taker_incarnation,
  4: required i64 lease_epoch,         // the owner's, as folded by the taker
  5: required i64 portfolio_epoch,     // the owner's, as folded by the taker
  6: required i32 lease_ms,
  7: required i32 reach_ms,
  8: required i64 event_clock,
  9: required i64 round
}

// A witness's answer to a renewal or a claim.
struct GrantReply {
  1: required bool granted,
  2: required i64 term,                // changes with each holder and each restart
  3: required i32 retry_after_ms,
  4: required string reason,
  5: required i64 event_clock
}

// From a witness to the takers of an expired lease, so that they claim it at once.
struct LapsedNotice {
  1: required string owner_id,
  2: required i64 lease_epoch,
  3: required i64 event_clock
}

// An answer that the earlier owner of a slice has kept, so that the next owner can
// answer a repeated request without running it again.
struct RememberedAnswer {
  1: required string request_id,
  2: required i64 key_hash,
  3: required Outcome outcome,
  4: required i32 status,
  5: required list<Header> headers,
  6: required binary body,
  7: required i32 age_ms,
  8: required bool body_kept,
  9: required i64 fingerprint,         // of the request: method, path, body
  10: required string reason           // as in ForwardReply
}
// An entry with an empty request id bounds the list: the sender has kept every
// request id of the last age_ms, and may have dropped older ones.

// From the next owner of a slice to its earlier owner.
struct ReleaseRequest {
  1: required string service_name,
  2: required i64 slice_start,
  3: required i64 slice_epoch,         // of the move that requests the release
  4: required string asker_id,
  5: required i32 skip,                // remembered answers already received
  6: required i64 event_clock
}

struct ReleaseReply {
  1: required bool released,
  2: required i32 retry_after_ms,
  3: required list<RememberedAnswer> answers,
  4: required bool more,
  5: required bool vouched,            // false: the sender's answers are incomplete
  6: required i64 event_clock,
  7: required string handover          // from the server, for the next owner
}

// A short-lived fact that nodes pass on to each other, outside of the log.
struct Notice {
  1: required string notice_id,
  2: required string kind,             // suspect, hot_key, lifted
  3: required string subject,
  4: required double value,
  5: required i32 remaining_ms
}

// Gossip: log records, routes and notices that the two nodes lack.
struct ExchangeRequest {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 next_offset,
  4: required list<Notice> notices,
  5: required i64 event_clock,
  6: required i64 routes_version,      // 0: the sender has none
  7: required i32 wait_ms,             // how long the answer may wait for new records
  8: required string host,             // the address of the sender's peer port
  9: required i32 peer_port,
  10: optional i32 routes_form,        // 1: reads whole updates, 2: deltas as well
  11: optional i64 evacuations_version // unset: the sender knows none
}

struct ExchangeReply {
  1: required i64 next_offset,
  2: required binary records,          // compressed; empty: none
  3: required list<Notice> notices,
  4: required i64 event_clock,
  5: required i64 routes_version,
  6: required binary routes,           // empty unless the requester's are older
  7: required i32 log_age_ms,          // since the log confirmed the fold; -1: never
  8: required i32 routes_age_ms,       // the same for the routes
  9: optional binary routes_update,    // in place of routes, if routes_form is named
  10: optional i64 evacuations_version, // unset: the sender knows none
  11: optional list<string> evacuated_domains // unset if the requester's are as new
}

struct SliceLoad {
  1: required string service_name,
  2: required i64 slice_start,
  3: required i64 slice_epoch,
  4: required double requests_per_s,
  5: required double busy_fraction,
  6: optional double slots_needed      // the slot time per second that the requests need
}

struct HotKey {
  1: required string service_name,
  2: required i64 key_hash,
  3: required double requests_per_s
}

// The typical service time of one kind of request at the sender's server.
struct KindTime {
  1: required i32 priority,
  2: required bool repeatable,
  3: required double typical_ms
}

// From each node to the planner, which assigns the slices.
struct LoadReport {
  1: required string node_id,
  2: required i64 incarnation,
  3: required list<SliceLoad> slices,
  4: required list<HotKey> hot_keys,
  5: required double busy_fraction,
  6: required bool backend_up,
  7: required bool lease_held,
  8: required i64 event_clock,
  9: required double service_ms,       // mean time per request at the server; 0: unknown
  10: optional double cold_requests_per_s, // what the server bears; unset: it is warm
  11: optional double limit_per_s,     // what the server takes; unset: it names no limit
  12: optional list<KindTime> kind_times
}

struct LoadReportReply {
  1: required bool planning,           // false: the receiver isn't the planner
  2: required i64 term,
  3: required i64 event_clock
}

service Node {
  ForwardReply forward(1: ForwardRequest request),
  // For bodies that are sent after their request: open, write parts, finish. Open
  // returns when the body is wanted or the request was decided without it. Each write
  // returns when the next part can be accepted, which provides backpressure.
  UploadOpened open_upload(1: ForwardRequest request),
  bool write_upload(1: i64 stream_id, 2: binary data),
  ForwardReply finish_upload(1: i64 stream_id),
  BodyChunk read_body(1: i64 stream_id, 2: i32 max_bytes),
  oneway void cancel(1: string service_name, 2: binary key, 3: string request_id),

  GrantReply renew(1: RenewRequest request),
  GrantReply claim(1: ClaimRequest request),
  void unclaim(1: ClaimRequest request),
  oneway void lapsed(1: LapsedNotice notice),
  ReleaseReply release(1: ReleaseRequest request),

  ExchangeReply exchange(1: ExchangeRequest request),
  LoadReportReply report_load(1: LoadReport report)
}
