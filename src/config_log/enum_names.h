#pragma once

#include <array>
#include <optional>
#include <string_view>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/config_log/record.h"

namespace chervilspar::config_log {

inline constexpr std::array kAllConditions = {VmCondition::kAvailable, VmCondition::kFailed,
                                              VmCondition::kLeaving, VmCondition::kUnseen};
inline constexpr std::array kAllActions = {StepAction::kReboot, StepAction::kMove,
                                           StepAction::kRetire};
inline constexpr std::array kAllPhases = {StepPhase::kDraining, StepPhase::kActing};

/// The value whose `ToString` is `name`.
template <typename Enum, std::size_t Size>
std::optional<Enum> FromName(const std::array<Enum, Size>& all, std::string_view name) {
  for (const Enum value : all) {
    if (name == ToString(value)) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace chervilspar::config_log
