#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "tests/prove/simulation.h"

namespace chervilspar::prove {

/// What may go wrong, or what operators and callers may do, at a moment.
enum class FaultKind {
  kKillEntry,
  kPauseEntry,
  kCutZones,
  kCutPlatform,
  kLogOutage,
  kRetentionGap,
  kBadNetwork,
  kKillEndpoint,
  kFailingEndpoint,
  kBurst,
  kCancelWave,
  kPublishLimit,
  kPublishEntries,
  kOperatorRace,
  kRetireEntry,
  kWithdrawKey,
  kKeyRace,
};
inline constexpr std::size_t kFaultKinds = 17;
const char* ToString(FaultKind kind);

/// One fault. `target` and `extra` choose what it meets; each kind reads them in its own way.
struct Fault {
  FaultKind kind = FaultKind::kKillEntry;
  std::uint32_t at_ms = 0;
  std::uint32_t lasts_ms = 0;
  std::uint32_t target = 0;
  std::uint32_t extra = 0;

  TimePoint Begin() const { return TimePoint(std::chrono::milliseconds(this->at_ms)); }
  Duration Lasts() const { return std::chrono::milliseconds(this->lasts_ms); }

  friend bool operator==(const Fault&, const Fault&) = default;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/// A whole run: the seed of everything random in it, and what goes wrong.
struct Case {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;

  friend bool operator==(const Case&, const Case&) = default;
};

std::ostream& operator<<(std::ostream& out, const Case& run);

/// Faults begin within this time; all have ended 20 s later.
inline constexpr std::uint32_t kFirstFaultMs = 3000;
inline constexpr std::uint32_t kLastFaultMs = 40000;
inline constexpr std::uint32_t kLongestFaultMs = 20000;

/// Cases with as many faults as the generator's size at most, which shrink to fewer and shorter
/// ones.
rc::Gen<Case> AnyCase();

}  // namespace chervilspar::prove
