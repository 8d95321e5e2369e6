#include "job_entry/round_pause.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// Facts that arrive within this time are decided on together: an endpoint reports several ends at
/// once, and a round costs about as much for ten facts as for one.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(4);
/// The thread's time that is left for everything else, for each unit of time that rounds take.
constexpr int kTimeForOtherWork = 4;
/// Leases and occurrences don't wait for longer than this, however long a round takes.
constexpr Duration kMaxPause = std::chrono::milliseconds(200);

}  // namespace

Duration PauseAfterRound(Duration taken) {
  return std::clamp(taken * kTimeForOtherWork, kBatchingDelay, kMaxPause);
}

}  // namespace chervilspar::job_entry
