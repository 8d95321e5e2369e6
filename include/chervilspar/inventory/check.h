#pragma once

#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::inventory {

/// How much a finding matters.
enum class Severity {
  /// A promise can't be kept; the inventory must not be published.
  kError,
  /// Something is unlikely to be meant.
  kWarning,
};

/// Something that a well-formed inventory asks for and that can't be met.
struct Finding {
  Severity severity = Severity::kError;
  Reason reason;

  friend bool operator==(const Finding&, const Finding&) = default;
};

/// Finds what can't be met by any plan: a budget that leaves no VM of its pool to be maintained, a
/// date that has passed, a limit of zero, a job that no VM can run, a move that empties a pool.
/// Whether a date in the future suffices is asked of the maintenance planner.
std::vector<Finding> Check(const Inventory& inventory, WallTime now);

/// Whether any finding is an error.
bool HasErrors(const std::vector<Finding>& findings);

}  // namespace chervilspar::inventory
