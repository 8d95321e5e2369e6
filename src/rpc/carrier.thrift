// Orders to endpoints that one entry carries for another, and what came of them. Regenerate with scripts/generate-thrift after a
// change; the generated code is committed. Every message is one-way and may be lost or repeated. New fields must be optional.
// Spans are milliseconds; times are milliseconds of the endpoint's own clock.
namespace cpp chervilspar.rpc.gen

struct WireRun {
  1: required i64 job,
  2: required i32 occurrence,
  3: required i32 step,
  4: required i32 index,
  5: required i64 run,
  6: optional i32 job_capitals
}

struct WireTarget {
  1: required string endpoint,
  2: required string ip,
  3: required i32 port
}

// `target` and `payload` are places in the lists of the batch. With `kept_payload`, the payload isn't in the batch and `payload` is
// -1: the carrier has kept the payload of this job with this digest. Only sent to a carrier that has answered with `keeps_payload`.
struct WireStart {
  1: required i64 number,
  2: required i32 target,
  3: required i64 token,
  4: required WireRun run,
  5: required i32 payload,
  6: required i64 lease_end,
  7: optional string checkpoint,
  8: optional string ticket,
  9: optional i64 kept_payload
}

struct WireStop {
  1: required i64 number,
  2: required i32 target,
  3: required i64 token,
  4: required WireRun run
}

struct WirePace {
  1: required i64 number,
  2: required i32 target,
  3: required i64 token,
  4: required WireRun run,
  5: required i32 percent
}

struct WireHold {
  1: required i64 number,
  2: required i32 target,
  3: required i64 token,
  4: required i64 confirmed_end,
  5: required i32 wait,
  6: optional i64 lease_end
}

// `answer_delay`: for how long answers to these orders may be collected; without it, as long as the carrier likes.
struct WireOrderBatch {
  1: required string reply_address,
  2: required i32 timeout,
  3: required list<WireTarget> targets,
  4: required list<string> payloads,
  5: required list<WireStart> starts,
  6: required list<WireStop> stops,
  7: required list<WirePace> paces,
  8: required list<WireHold> holds,
  9: optional i32 answer_delay
}

struct WireActive {
  1: required WireRun run,
  2: required i32 percent,
  3: required i64 gauge,
  4: optional string checkpoint
}

struct WireEnded {
  1: required i64 number,
  2: required WireRun run,
  3: required i32 ending,
  4: optional string checkpoint
}

struct WireReport {
  1: required i64 clock,
  2: required i64 born,
  3: required list<WireActive> active,
  4: required list<WireEnded> ended
}

struct WireAnswer {
  1: required i64 number,
  2: required i32 outcome,
  3: optional WireReport report,
  4: optional bool keeps_payload,
  5: optional i64 clock
}

// A question to the owner: the target of an HTTP request, and its body for a POST.
struct WireQuestion {
  1: required i64 number,
  2: required string target,
  3: required string body
}

// Whoever isn't at `owner_address` passes the questions on to it under numbers of its own.
struct WireQuestionBatch {
  1: required string reply_address,
  2: required string owner_address,
  3: required list<WireQuestion> questions
}

struct WireReply {
  1: required i64 number,
  2: required i32 status,
  3: required string body
}

// Exactly one of the fields is set. Versions that know neither questions nor replies drop them.
struct WireCarrierMessage {
  1: optional WireOrderBatch batch,
  2: optional list<WireAnswer> answers,
  3: optional WireQuestionBatch questions,
  4: optional list<WireReply> replies
}
