#pragma once

#include <cstdint>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::idempotency {

/// One attempt of one entry to run a request. A retry by the caller is another attempt.
struct Attempt {
  EntryId entry;
  membership::Incarnation incarnation;
  /// Counts the entry's attempts within its incarnation.
  std::uint64_t number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

/// Asks the owner of a request id for permission to run the request.
struct RegisterRequest {
  RequestId id;
  Attempt attempt;

  friend bool operator==(const RegisterRequest&, const RegisterRequest&) = default;
};

/// The owner's response. Every response but `kMayRun` is final for this attempt.
enum class Registration {
  /// The request has certainly not run before; it is now registered as running for this attempt.
  kMayRun,
  /// The owner may not act yet. Not run by this attempt; nothing is known of earlier ones. The
  /// caller
  /// may retry.
  kNotReady,
  /// The receiver does not own the id; not run by this attempt, and nothing is known of earlier
  /// ones.
  kNotOwner,
  /// The id's time lies in the future. Not run by this or any earlier attempt.
  kFromFuture,
  /// The table is full. Not run by this or any earlier attempt. The caller may retry.
  kFull,
  /// An earlier attempt is running.
  kRunning,
  /// An earlier attempt completed.
  kCompletedEarlier,
  /// An earlier attempt may have run, or the registry does not cover the time of this id.
  kMayHaveRun,
  /// The id is older than the registry's maximum age; an earlier attempt may have run.
  kTooOld,
};
inline constexpr std::size_t kRegistrations = 9;
/// Returns the stable code that error bodies and logs use.
const char* ToString(Registration registration);

/// Who created the request id.
enum class KeyOrigin {
  /// The caller, by `Idempotency-Key`: an earlier attempt of the same request may exist.
  kCaller,
  /// This entry, for this attempt only: there was no earlier one.
  kEntry,
};

/// Returns the verdict for the caller when the owner's response does not permit this attempt to
/// run.
///
/// It is `kNotRun` only if no attempt with this id can have run. Otherwise, when the response to a
/// first attempt is lost and the retry reaches an owner without knowledge of it, the caller would
/// send the request, such as a payment, again under a new id after "not run", and it would run
/// twice. After "may have run" the caller retries with the same id, which is always safe.
Verdict VerdictOf(Registration registration, KeyOrigin origin);

/// Returns the verdict for an attempt that was abandoned before its owner responded.
Verdict VerdictWithoutOwner(KeyOrigin origin);

struct RegisterReply {
  RequestId id;
  Attempt attempt;
  Registration registration = Registration::kNotReady;

  friend bool operator==(const RegisterReply&, const RegisterReply&) = default;
};

/// Reports to the owner how an attempt ended. The entry repeats it until it is acknowledged or
/// abandoned. If it is lost, the id stays registered as running, and retries are answered with
/// "may have run".
struct OutcomeReport {
  RequestId id;
  Attempt attempt;
  Verdict verdict = Verdict::kMayHaveRun;

  friend bool operator==(const OutcomeReport&, const OutcomeReport&) = default;
};

/// The owner's acknowledgement of an `OutcomeReport`.
struct OutcomeSeen {
  RequestId id;
  Attempt attempt;

  friend bool operator==(const OutcomeSeen&, const OutcomeSeen&) = default;
};

}  // namespace chervilspar::idempotency
