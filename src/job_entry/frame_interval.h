#pragma once

#include <cstddef>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// For how long renewals to one carrier, and its answers, are collected so that they share frames.
///
/// Each frame takes an owner some tens of microseconds, whatever it holds. Without this, the number
/// of frames would grow with the endpoints and with the carriers, and fill the owner's processor
/// when the load is highest. With it, the frames of a second depend on the owner's cores only.
Duration FrameInterval(std::size_t carriers, double cores);

/// Decides when frames leave: soon after a pause, so that a single message isn't held up, otherwise
/// one each `interval`.
class FramePace {
 public:
  /// `min_delay`: for how long the messages of the first frame after a pause are collected.
  FramePace(Duration min_delay, Duration interval) : min_delay(min_delay), interval(interval) {}

  /// When the frame leaves that takes a message which arrives at `now`.
  TimePoint DueAt(TimePoint now);

 private:
  const Duration min_delay;
  const Duration interval;
  /// When the last frame has left or leaves.
  TimePoint last_due{};
};

}  // namespace chervilspar::job_entry
