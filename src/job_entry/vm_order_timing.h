#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// Timeout of calls of the VM service.
inline constexpr Duration kVmCallTimeout = std::chrono::milliseconds(1200);
/// Before an order without a response is repeated. The service answers a repeat as if it were the
/// first, so that the response tells the outcome.
inline constexpr Duration kUnansweredOrderRetryDelay = std::chrono::seconds(1);

}  // namespace chervilspar::job_entry
