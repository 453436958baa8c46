// Messages between comfreywharfd processes.
//
// Regenerate with `make gen` (needs the thrift compiler); the generated code is
// committed, so that building, testing and running need no generator.
//
// Durations are relative (`_ms`), since two machines share no clock. Event
// clocks are hybrid logical clocks, packed as milliseconds << 16 | counter.

namespace py comfreywharf.transport.gen

enum Outcome {
  ANSWERED = 1,   // the backend server's whole answer follows
  NOT_RUN = 2,    // proved: no backend server ran the request
  UNKNOWN = 3     // it may or may not have run
}

struct Header {
  1: required string name,
  2: required string value
}

struct ForwardRequest {
  1: required string request_id,
  2: required string service_name,
  3: required binary key,              // empty: the service isn't divided by key
  4: required string method,
  5: required string path,
  6: required list<Header> headers,
  7: required binary body,             // the first part of a streamed body
  8: required i32 remaining_ms,        // until the caller's deadline
  9: required string ingress_node_id,
  10: required i32 retries_left,       // of the whole request, over all hops
  11: required i64 event_clock,
  12: required i32 first_sent_ago_ms,  // 0: this is the first send; -1: unknown
  13: required i32 priority,           // 0 is the most urgent
  14: required bool repeatable,        // it may run more than once
  15: required i32 target_ms,          // until an answer is worth less; 0: never
  // Of a body that follows its request:
  16: required string fingerprint = "",  // what the quarantine knows it by
  17: required i64 body_mark = 0,      // what resends of one request id are compared by
  18: required i64 body_bytes = -1,    // its length; -1: unknown
  // By the sender's clock, which the receiver compares with earlier ones only:
  19: required i64 sent_ms = 0         // 0: unknown
}

struct UploadOpened {
  1: required i64 stream_id,
  2: required bool wanted              // false: decided on without the body
}

struct ForwardReply {
  1: required Outcome outcome,
  2: required i32 status,
  3: required list<Header> headers,
  4: required binary body,
  5: required i64 stream_id,           // 0: the body is whole
  6: required string reason,           // a name of routing.Reason; empty: answered
  7: required i32 retry_after_ms,      // 0: nothing to say
  8: required string owner_hint,       // on WRONG_OWNER: who should be asked
  9: required i64 event_clock,
  10: required i32 retries_left
}

struct BodyChunk {
  1: required binary data,
  2: required bool last,
  3: required bool failed              // the rest can't be had: cut, not short
}

struct RenewRequest {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 lease_epoch,
  4: required i64 portfolio_epoch,
  5: required i32 lease_ms,
  6: required i32 reach_ms,            // outstanding deadlines, from the sending
  7: required i64 event_clock,
  8: required i64 round,               // grows with each renewal of an incarnation
  9: required bool vouched             // a grant of this witness still counts
}

struct ClaimRequest {
  1: required string owner_id,         // whose lease lapsed
  2: required string taker_id,
  3: required i64 taker_incarnation,
  4: required i64 lease_epoch,         // of the owner, as the taker folded it
  5: required i64 portfolio_epoch,     // of the owner, as the taker folded it
  6: required i32 lease_ms,
  7: required i32 reach_ms,
  8: required i64 event_clock,
  9: required i64 round
}

struct GrantReply {
  1: required bool granted,
  2: required i64 term,                // changes with each holder and restart
  3: required i32 retry_after_ms,
  4: required string reason,
  5: required i64 event_clock
}

struct LapsedNotice {
  1: required string owner_id,
  2: required i64 lease_epoch,
  3: required i64 event_clock
}

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
// An entry with an empty request id bounds the list: the sender's memory holds
// every request id since age_ms ago, and may have dropped older ones.

struct ReleaseRequest {
  1: required string service_name,
  2: required i64 slice_start,
  3: required i64 slice_epoch,         // of the move that asks for the release
  4: required string asker_id,
  5: required i32 skip,                // remembered answers already received
  6: required i64 event_clock
}

struct ReleaseReply {
  1: required bool released,
  2: required i32 retry_after_ms,
  3: required list<RememberedAnswer> answers,
  4: required bool more,
  5: required bool vouched,            // false: the memory isn't whole
  6: required i64 event_clock,
  7: required string handover          // what the server gave for its next owner
}

struct Notice {
  1: required string notice_id,
  2: required string kind,             // suspect, hot_key, lifted
  3: required string subject,
  4: required double value,
  5: required i32 remaining_ms
}

struct ExchangeRequest {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 next_offset,
  4: required list<Notice> notices,
  5: required i64 event_clock,
  6: required i64 routes_version,      // 0: none known
  7: required i32 wait_ms,             // how long the answer may wait for news
  8: required string host,             // where the asker's own peer port is
  9: required i32 peer_port
}

struct ExchangeReply {
  1: required i64 next_offset,
  2: required binary records,          // compressed; empty: none
  3: required list<Notice> notices,
  4: required i64 event_clock,
  5: required i64 routes_version,
  6: required binary routes,           // where the asker's are older, else empty
  7: required i32 log_age_ms,          // since the log confirmed the fold; -1: never
  8: required i32 routes_age_ms        // the same of the routes
}

struct SliceLoad {
  1: required string service_name,
  2: required i64 slice_start,
  3: required i64 slice_epoch,
  4: required double requests_per_s,
  5: required double busy_fraction
}

struct HotKey {
  1: required string service_name,
  2: required i64 key_hash,
  3: required double requests_per_s
}

struct LoadReport {
  1: required string node_id,
  2: required i64 incarnation,
  3: required list<SliceLoad> slices,
  4: required list<HotKey> hot_keys,
  5: required double busy_fraction,
  6: required bool backend_up,
  7: required bool lease_held,
  8: required i64 event_clock,
  9: required double service_ms        // a request's mean time at the server; 0: unknown
}

struct LoadReportReply {
  1: required bool planning,           // false: the receiver isn't the planner
  2: required i64 term,
  3: required i64 event_clock
}

service Node {
  ForwardReply forward(1: ForwardRequest request),
  // Bodies that follow their request: open, write parts, finish. Open returns once
  // the body is wanted, or the request was decided on without it; each further call
  // returns when there is room for the next part, which is the backpressure.
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
