#pragma once

#include <cstdint>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::idempotency {

/// One try of one entry to run a request; a repeat of the caller is another one.
struct Attempt {
  EntryId entry;
  membership::Incarnation incarnation;
  /// Counts the entry's attempts in this life.
  std::uint64_t number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

/// Asks the owner of a request id for leave to run it.
struct RegisterRequest {
  RequestId id;
  Attempt attempt;

  friend bool operator==(const RegisterRequest&, const RegisterRequest&) = default;
};

/// What the owner says. Each answer but `kMayRun` is final for this attempt.
enum class Registration {
  /// Never run before, for certain; now registered as running for this attempt.
  kMayRun,
  /// The owner may not act yet. Not run by this attempt; nothing is known of earlier ones. Come
  /// back.
  kNotReady,
  /// The receiver does not own the id; not run by this attempt, and nothing is known of earlier
  /// ones.
  kNotOwner,
  /// The id's time lies in the future; not run, and never was.
  kFromFuture,
  /// The table is full; not run, and never was. Come back.
  kFull,
  /// An earlier attempt is running.
  kRunning,
  /// An earlier attempt was answered in full.
  kCompletedEarlier,
  /// An earlier attempt may have run, or nothing is known of the time of this id.
  kMayHaveRun,
  /// The id is older than what is remembered; an earlier attempt may have run.
  kTooOld,
};
inline constexpr std::size_t kRegistrations = 9;
/// The stable code for error bodies and logs.
const char* ToString(Registration registration);

/// Who made the request id.
enum class KeyOrigin {
  /// The caller, by `Idempotency-Key`: an earlier try of the same request may exist.
  kCaller,
  /// This entry, for this one try: there was no earlier one.
  kEntry,
};

/// What the caller is told when the owner's answer lets this attempt not run.
///
/// `kNotRun` only where no attempt with this id can have run. What goes wrong otherwise: the answer
/// to a first try is lost, the repeat meets an owner that can't know and is told "not run", and the
/// caller charges the deposit under a new id. With "may have run" it repeats the same id, which is
/// always safe.
Verdict VerdictOf(Registration registration, KeyOrigin origin);

/// The same for an attempt that was given up before its owner answered.
Verdict VerdictWithoutOwner(KeyOrigin origin);

struct RegisterReply {
  RequestId id;
  Attempt attempt;
  Registration registration = Registration::kNotReady;

  friend bool operator==(const RegisterReply&, const RegisterReply&) = default;
};

/// Tells the owner how an attempt ended. Repeated until acknowledged or given up; when it is lost,
/// the id stays "running", which answers repeats by "may have run".
struct OutcomeReport {
  RequestId id;
  Attempt attempt;
  Verdict verdict = Verdict::kMayHaveRun;

  friend bool operator==(const OutcomeReport&, const OutcomeReport&) = default;
};

struct OutcomeSeen {
  RequestId id;
  Attempt attempt;

  friend bool operator==(const OutcomeSeen&, const OutcomeSeen&) = default;
};

}  // namespace chervilspar::idempotency
