#pragma once

#include <cstdint>

#include "chervilspar/base/time.h"

namespace chervilspar::load_balancing {

/// How entries that share endpoints without a dispatcher choose among them.
enum class Placement {
  /// Each entry has a part of every service's slots that follows its teams' shares and demand, and
  /// borrows slots that the reports show as idle. The one in use.
  kSplitWithLending,
  /// Even parts for all entries, no borrowing.
  kFixedSplit,
  /// Fewest own tasks in flight, blind to the other entries.
  kOwnCounts,
  /// The less loaded of two random endpoints, by reported and own load.
  kTwoChoices,
  /// In turn; the plain baseline.
  kRoundRobin,
};

enum class Ejection { kOn, kOff };

struct BalancerOptions {
  Placement placement = Placement::kSplitWithLending;
  Ejection ejection = Ejection::kOn;
  /// Failures in a row, of teams that don't fail elsewhere, that eject an endpoint. One is chance;
  /// three in a row are a chance of 1 in 1000 at a failure rate of 10%.
  std::uint32_t failures_to_eject = 3;
  /// An endpoint this many times slower than the pool's median is ejected. Below this, using it is
  /// cheaper than doing without it.
  double slow_factor = 4.0;
  /// Most endpoints ejected at once, as a part of the list. Ejection must never empty a pool: when
  /// more look bad, the cause is elsewhere.
  double max_ejected_fraction = 0.34;
  /// First wait before an ejected endpoint is probed; doubles with each failed probe.
  Duration initial_probe_delay = std::chrono::seconds(2);
  Duration max_probe_delay = std::chrono::seconds(60);
  /// A return is forgiven after this long; an ejection before that waits longer than the last.
  Duration backoff_reset_after = std::chrono::seconds(30);
  /// How long an endpoint that said "full" is left alone: at first, doubling up to the longest
  /// while it repeats. A slot of this entry's own is asked for sooner than one that is another's,
  /// too, which is often full and at once paused for longest. Tasks take tens of milliseconds, so
  /// asking more often finds no more slots.
  Duration initial_full_pause = std::chrono::milliseconds(4);
  Duration max_full_pause = std::chrono::milliseconds(64);

  friend bool operator==(const BalancerOptions&, const BalancerOptions&) = default;
};

}  // namespace chervilspar::load_balancing
