#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"

namespace chervilspar::prove {

/// Virtual time: events run one after another, in the order of their time, and those of one moment
/// in the order in which they were set. The same seed gives the same run.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : dice(seed) {}

  TimePoint Now() const { return this->now; }
  void At(TimePoint time, std::function<void()> action);
  void After(Duration delay, std::function<void()> action) {
    this->At(this->now + delay, std::move(action));
  }
  void RunUntil(TimePoint end);
  std::uint64_t EventsRun() const { return this->events_run; }

  Random& Dice() { return this->dice; }
  bool Chance(double probability) { return this->dice.Unit() < probability; }
  /// Uniform between the two.
  Duration Between(Duration least, Duration most);

 private:
  struct Event {
    TimePoint time;
    std::uint64_t number = 0;
    std::function<void()> action;
  };
  static bool IsLater(const Event& left, const Event& right);

  SeededRandom dice;
  TimePoint now;
  std::uint64_t last_number = 0;
  std::uint64_t events_run = 0;
  std::vector<Event> heap;
};

/// Seconds of virtual time.
inline Duration Seconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// A readable time line of one run; only kept when asked for.
class Timeline {
 public:
  enum class Mode { kOff, kOn };
  explicit Timeline(Mode mode) : mode(mode) {}

  bool IsOn() const { return this->mode == Mode::kOn; }
  void Add(TimePoint at, const std::string& text);
  const std::vector<std::string>& Lines() const { return this->lines; }

 private:
  Mode mode;
  std::vector<std::string> lines;
};

}  // namespace chervilspar::prove
