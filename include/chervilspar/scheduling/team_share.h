#pragma once

#include "chervilspar/base/ids.h"

namespace chervilspar::scheduling {

/// Whether a team may mark requests as urgent.
enum class UrgentPermission { kDenied, kAllowed };

/// The settings of a team that matter for scheduling.
struct TeamShare {
  TeamId team;
  /// Weight when all slots are taken; greater than zero.
  double share = 1.0;
  UrgentPermission urgent = UrgentPermission::kDenied;

  friend bool operator==(const TeamShare&, const TeamShare&) = default;
};

}  // namespace chervilspar::scheduling
