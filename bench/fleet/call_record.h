#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"

namespace chervilspar::scenario {

/// Whether running a request twice does harm.
enum class Idempotency { kNotIdempotent, kIdempotent };

/// A series of requests of one team.
struct CallPlan {
  /// Name that a script's expectations use.
  std::string name = "calls";
  TeamId team;
  ServiceId service;
  std::uint32_t count = 1;
  /// Before the first request.
  Duration delay = Duration::zero();
  /// Between two requests.
  Duration every = Duration::zero();
  std::int64_t work_ms = 10;
  std::int64_t timeout_ms = 10'000;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  /// Tries after the first of the same request, each through another entry.
  std::uint32_t retries = 0;
  /// Always this entry, past the balancer.
  std::optional<EntryId> via;
  /// Marked as urgent.
  bool is_urgent = false;
};

/// How an attempt ended in the caller's eyes.
enum class CallEnd {
  /// An answer with a verdict.
  kAnswered,
  /// No connection to the entry.
  kNotConnected,
  /// The connection ended before a whole answer.
  kCut,
  /// Nothing until well after the deadline.
  kSilence,
};

/// One attempt of one request, as the caller saw it. Times are wall time in microseconds.
struct CallRecord {
  std::string plan;
  TeamId team;
  RequestId request;
  EntryId entry;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  std::int64_t sent_us = 0;
  std::int64_t ended_us = 0;
  CallEnd end = CallEnd::kSilence;
  unsigned status = 0;
  /// The code of an error answer, or why there is no answer.
  std::string code;
  Verdict verdict = Verdict::kMayHaveRun;
  /// Called completed, but the answer is not that of this request.
  bool is_wrong = false;
  /// Called completed by an earlier attempt, whose answer went elsewhere.
  bool is_completed_earlier = false;
  /// No further attempt follows.
  bool is_last = false;
};

}  // namespace chervilspar::scenario
