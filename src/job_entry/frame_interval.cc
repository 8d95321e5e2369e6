#include "job_entry/frame_interval.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// Frames that an owner receives per second and core, and the same of those that it sends: a few
/// percent of its processor.
constexpr double kMaxFramesPerSecond = 1000;
constexpr Duration kMinInterval = std::chrono::milliseconds(8);
/// Bounds the delay of the report of an end.
constexpr Duration kMaxInterval = std::chrono::milliseconds(40);

}  // namespace

Duration FrameInterval(std::size_t carriers, double cores) {
  const std::chrono::duration<double> interval(static_cast<double>(carriers) /
                                               (kMaxFramesPerSecond * cores));
  return std::clamp(std::chrono::duration_cast<Duration>(interval), kMinInterval, kMaxInterval);
}

TimePoint FramePace::DueAt(TimePoint now) {
  if (now >= this->last_due) {
    this->last_due = std::max(now + this->min_delay, this->last_due + this->interval);
  }
  return this->last_due;
}

}  // namespace chervilspar::job_entry
