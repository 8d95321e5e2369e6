#include "tests/prove/simulation.h"

#include <algorithm>
#include <cstdio>

namespace chervilspar::prove {

bool Simulation::IsLater(const Event& left, const Event& right) {
  return std::pair(left.time, left.number) > std::pair(right.time, right.number);
}

void Simulation::At(TimePoint time, std::function<void()> action) {
  this->heap.push_back({std::max(time, this->now), ++this->last_number, std::move(action)});
  std::push_heap(this->heap.begin(), this->heap.end(), IsLater);
}

void Simulation::RunUntil(TimePoint end) {
  while (!this->heap.empty() && this->heap.front().time <= end) {
    std::pop_heap(this->heap.begin(), this->heap.end(), IsLater);
    const Event event = std::move(this->heap.back());
    this->heap.pop_back();
    this->now = event.time;
    ++this->events_run;
    event.action();
  }
  this->now = std::max(this->now, end);
}

Duration Simulation::Between(Duration least, Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + Duration(static_cast<std::int64_t>(this->dice.Below(span)));
}

void Timeline::Add(TimePoint at, const std::string& text) {
  if (this->mode == Mode::kOff) {
    return;
  }
  char stamp[32];
  const double seconds = static_cast<double>(at.time_since_epoch().count()) / 1e6;
  std::snprintf(stamp, sizeof(stamp), "%10.4f s  ", seconds);
  this->lines.push_back(stamp + text);
}

}  // namespace chervilspar::prove
