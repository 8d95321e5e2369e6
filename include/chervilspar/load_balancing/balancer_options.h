#pragma once

#include <cstdint>

#include "chervilspar/base/time.h"

namespace chervilspar::load_balancing {

/// How entries that share endpoints without a dispatcher choose among them.
enum class Placement {
  /// Each entry has a part of every service's slots that follows its teams' shares and demand, and
  /// borrows slots that the reports show as idle. The default.
  kSplitWithLending,
  /// All entries have equal parts of the slots and don't borrow.
  kFixedSplit,
  /// The endpoint with the fewest tasks of this entry in flight; ignores the other entries.
  kOwnCounts,
  /// The less loaded of two random endpoints, by reported and own load.
  kTwoChoices,
  /// Each endpoint in turn, as a baseline for comparison.
  kRoundRobin,
};

enum class Ejection { kOn, kOff };

struct BalancerOptions {
  Placement placement = Placement::kSplitWithLending;
  Ejection ejection = Ejection::kOn;
  /// Consecutive failures, of teams that don't fail elsewhere, after which an endpoint is ejected.
  /// At a failure rate of 10%, three in a row occur by chance with a probability of 1 in 1000.
  std::uint32_t failures_to_eject = 3;
  /// An endpoint this many times slower than the pool's median is ejected. Below this factor, its
  /// slots are worth more than the time that they lose.
  double slow_factor = 4.0;
  /// Maximum fraction of the listed endpoints that is ejected at once. Ejection must never empty a
  /// pool: when more endpoints look bad, the cause is elsewhere.
  double max_ejected_fraction = 0.34;
  /// Delay before an ejected endpoint is first probed. It doubles with each failed probe, up to
  /// `max_probe_delay`.
  Duration initial_probe_delay = std::chrono::seconds(2);
  Duration max_probe_delay = std::chrono::seconds(60);
  /// An endpoint ejected again within this duration of its readmission doubles its probe delay;
  /// later ejections start again from `initial_probe_delay`.
  Duration backoff_reset_after = std::chrono::seconds(30);
  /// Pause after an endpoint answers "full". It doubles up to `max_full_pause` while the answer
  /// repeats. In a full fleet, an endpoint without a free slot of this entry's own pauses for
  /// `max_full_pause` at once, since the slots of others are often full. Tasks take tens of
  /// milliseconds, so shorter pauses find no more slots.
  Duration initial_full_pause = std::chrono::milliseconds(4);
  Duration max_full_pause = std::chrono::milliseconds(64);

  friend bool operator==(const BalancerOptions&, const BalancerOptions&) = default;
};

}  // namespace chervilspar::load_balancing
