#pragma once

#include "chervilspar/base/ids.h"

namespace chervilspar::scheduling {

enum class UrgentPermission { kDenied, kAllowed };

/// A team as the scheduler sees it.
struct TeamShare {
  TeamId team;
  /// Weight when everything is full; above zero.
  double share = 1.0;
  UrgentPermission urgent = UrgentPermission::kDenied;

  friend bool operator==(const TeamShare&, const TeamShare&) = default;
};

}  // namespace chervilspar::scheduling
