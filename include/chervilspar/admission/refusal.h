#pragma once

#include <string>

#include "chervilspar/base/time.h"

namespace chervilspar::admission {

/// Why a request was not run. Stable: callers see the name in the error body.
enum class RefusalCode {
  /// The predicted wait passes the caller's deadline or the longest wait allowed (429).
  kOverloaded,
  /// The deadline can no longer be met; decided while waiting (503).
  kDeadlineUnreachable,
  /// No VM in any pool of the service is large enough (409); never worth a repeat.
  kUnfit,
  /// The service has no endpoint now (503).
  kNoEndpoint,
  /// The team is not in the accepted configuration (403).
  kUnknownTeam,
  /// The team may not mark requests as urgent (403).
  kUrgentNotAllowed,
  /// Every permitted try at an endpoint ended without running the request (503).
  kRetriesExhausted,
};

/// The stable lower-case name, such as "overloaded".
const char* ToString(RefusalCode code);

/// The HTTP status that goes with a code.
int HttpStatus(RefusalCode code);

/// A final answer that the request was not run.
struct Refusal {
  RefusalCode code = RefusalCode::kOverloaded;
  std::string message;
  /// When it makes sense to ask again; zero when repeating can't help.
  Duration retry_after = Duration::zero();

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace chervilspar::admission
