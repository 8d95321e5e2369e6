#include "chervilspar/idempotency/messages.h"

namespace chervilspar::idempotency {

const char* ToString(Registration registration) {
  switch (registration) {
    case Registration::kMayRun:
      return "may-run";
    case Registration::kNotReady:
      return "owner-not-ready";
    case Registration::kNotOwner:
      return "not-owner";
    case Registration::kFromFuture:
      return "id-from-future";
    case Registration::kFull:
      return "registry-full";
    case Registration::kRunning:
      return "earlier-try-running";
    case Registration::kCompletedEarlier:
      return "completed-earlier";
    case Registration::kMayHaveRun:
      return "may-have-run-earlier";
    case Registration::kTooOld:
      return "id-too-old";
  }
  return "owner-not-ready";
}

Verdict VerdictOf(Registration registration, KeyOrigin origin) {
  switch (registration) {
    case Registration::kFromFuture:
    case Registration::kFull:
      return Verdict::kNotRun;
    case Registration::kNotReady:
    case Registration::kNotOwner:
      return VerdictWithoutOwner(origin);
    case Registration::kCompletedEarlier:
      return Verdict::kCompleted;
    case Registration::kMayRun:
    case Registration::kRunning:
    case Registration::kMayHaveRun:
    case Registration::kTooOld:
      return Verdict::kMayHaveRun;
  }
  return Verdict::kMayHaveRun;
}

Verdict VerdictWithoutOwner(KeyOrigin origin) {
  return origin == KeyOrigin::kEntry ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

}  // namespace chervilspar::idempotency
