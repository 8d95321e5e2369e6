#pragma once

#include <chrono>

namespace chervilspar {

/// All spans of time inside the program, in microseconds.
using Duration = std::chrono::microseconds;

/// The clock that decisions are made with. It is monotonic and runs on while the process or the VM
/// is stopped (CLOCK_BOOTTIME), so that a paused holder of a lease sees that the lease has lapsed.
/// It says nothing about other VMs' clocks.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// A point on this process's own monotonic clock; meaningless on another VM.
using TimePoint = BootClock::time_point;

/// A point on the wall clock, comparable between VMs up to the assumed clock skew.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time. Decision modules take `TimePoint` arguments instead of a clock; only the code
/// that drives them holds one.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

}  // namespace chervilspar
