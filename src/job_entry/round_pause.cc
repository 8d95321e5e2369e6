#include "job_entry/round_pause.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// Facts that arrive within this time are decided on together: an endpoint reports several ends at
/// once, and a round costs about as much for ten facts as for one.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(4);
/// The least ratio of the time left for other work to the time that rounds take.
constexpr int kOtherWorkPerRound = 4;
/// Bounds how long leases, occurrences and cancellations wait for the next round.
constexpr Duration kMaxPause = std::chrono::milliseconds(200);
/// The least ratio of the time left for other work to the time that one kind of pass takes.
constexpr int kOtherWorkPerPass = 40;
/// An outlook is used for up to a second; pools are resized well within the time a VM moves.
constexpr Duration kMaxPauseAfterPass = std::chrono::milliseconds(500);

}  // namespace

Duration PauseAfterRound(Duration taken) {
  return std::clamp(taken * kOtherWorkPerRound, kBatchingDelay, kMaxPause);
}

Duration PauseAfterPass(Duration taken) {
  return std::min(taken * kOtherWorkPerPass, kMaxPauseAfterPass);
}

}  // namespace chervilspar::job_entry
