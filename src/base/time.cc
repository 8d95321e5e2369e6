#include "chervilspar/base/time.h"

#include <ctime>

#include "chervilspar/base/assert.h"

namespace chervilspar {

TimePoint SystemClock::Now() const {
  timespec now{};
  CHERVILSPAR_ASSERT(clock_gettime(CLOCK_BOOTTIME, &now) == 0);
  const auto span = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(span));
}

WallTime SystemClock::WallNow() const {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}  // namespace chervilspar
