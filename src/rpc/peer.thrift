// Messages between entries. Regenerate with scripts/generate-thrift after a change; the generated code is committed.
// Every message is one-way and may be lost, delayed or repeated. New fields must be optional.
// Times are microseconds of the Unix epoch, spans are microseconds.
namespace cpp chervilspar.rpc.gen

struct WireIncarnation {
  1: required i64 started,
  2: required i64 nonce
}

struct WireHeartbeat {
  1: required WireIncarnation incarnation,
  2: required string zone,
  3: required i64 next_offset,
  4: required bool read_to_end,
  5: required i64 applied_version,
  6: required i64 settled_version,
  7: required i64 applied_by_all,
  8: required i64 settled_by_all,
  9: required i64 sent_wall,
  10: required i32 sent_logical
}

struct WireLoanKey {
  1: required string lender,
  2: required WireIncarnation lender_incarnation,
  3: required i64 number
}

struct WireLoanRequest {
  1: required i64 number,
  2: required string team,
  3: required i32 units
}

struct WireLoanGrant {
  1: required i64 request_number,
  2: required WireIncarnation borrower_incarnation,
  3: required WireLoanKey loan,
  4: required string team,
  5: required i32 units,
  6: required i64 lease,
  7: required i64 task_lease
}

struct WireLoanReturn {
  1: required WireLoanKey loan,
  2: required i32 still_held
}

struct WireLending {
  1: required WireIncarnation incarnation,
  2: required string to,
  3: optional list<WireLoanRequest> requests,
  4: optional list<WireLoanGrant> grants,
  5: optional list<WireLoanReturn> returns,
  6: optional list<WireLoanReturn> returns_seen
}

struct WireAttempt {
  1: required string entry,
  2: required WireIncarnation incarnation,
  3: required i64 number
}

struct WireRegister {
  1: required string id,
  2: required WireAttempt attempt
}

struct WireRegisterReply {
  1: required string id,
  2: required WireAttempt attempt,
  3: required i32 registration
}

struct WireOutcome {
  1: required string id,
  2: required WireAttempt attempt,
  3: required i32 verdict
}

struct WireTeamLoad {
  1: required string team,
  2: required i32 demand,
  3: required i32 running
}

struct WireEndpointLoad {
  1: required string endpoint,
  2: required i32 in_flight
}

struct WireShardReport {
  1: required string service_id,
  2: optional list<WireTeamLoad> teams,
  3: optional list<WireEndpointLoad> endpoints,
  4: optional list<string> ejected,
  5: required i32 urgent_running,
  6: required i32 urgent_waiting,
  7: required i64 urgent_age
}

struct WireShardReports {
  1: required string zone,
  2: required list<WireShardReport> reports
}

struct WireWithdrawals {
  1: required list<string> digests
}

struct WireCatchUpRequest {
  1: required i64 from_offset,
  // Where the answer goes: an entry without a configuration is in nobody's list.
  2: required string reply_address
}

struct WireLogRecord {
  1: required i64 offset,
  2: required string data
}

struct WireCatchUpRecords {
  1: required list<WireLogRecord> records
}

struct WireCatchUpState {
  1: required string state
}

// Exactly one of the fields from 2 on is set.
struct WireMessage {
  1: required string sender,
  2: optional WireHeartbeat heartbeat,
  3: optional WireLending lending,
  4: optional WireRegister register_request,
  5: optional WireRegisterReply register_reply,
  6: optional WireOutcome outcome,
  7: optional WireRegister outcome_seen,
  8: optional WireShardReports shard_reports,
  9: optional WireWithdrawals withdrawals,
  10: optional WireCatchUpRequest catch_up_request,
  11: optional WireCatchUpRecords catch_up_records,
  12: optional WireCatchUpState catch_up_state
}
