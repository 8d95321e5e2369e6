#pragma once

#include <string>

#include "chervilspar/base/time.h"

namespace chervilspar::admission {

/// Why a request was not run. Callers see the name in the error body, so the names are stable.
enum class RefusalCode {
  /// The predicted wait exceeds the deadline or the maximum wait, or too many requests wait (429).
  kOverloaded,
  /// The deadline can't be met any more (503).
  kDeadlineUnreachable,
  /// No VM in any pool of the service is large enough (409). A retry can't succeed.
  kUnfit,
  /// The service has no available endpoint (503).
  kNoEndpoint,
  /// The team is not in the accepted configuration (403).
  kUnknownTeam,
  /// The team may not mark requests as urgent (403).
  kUrgentNotAllowed,
  /// All permitted attempts ended without running the request (503).
  kRetriesExhausted,
};

/// Returns the stable lower-case name, such as "overloaded".
const char* ToString(RefusalCode code);

/// Returns the HTTP status for a code.
int HttpStatus(RefusalCode code);

/// A final response to a request that was not run.
struct Refusal {
  RefusalCode code = RefusalCode::kOverloaded;
  std::string message;
  /// Time after which a retry makes sense; zero if a retry can't succeed.
  Duration retry_after = Duration::zero();

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace chervilspar::admission
