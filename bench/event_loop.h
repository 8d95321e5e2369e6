#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "chervilspar/base/time.h"

namespace chervilspar::bench {

/// Virtual time: runs actions in order of their time, and in order of scheduling at equal times.
class EventLoop {
 public:
  using Action = std::function<void()>;

  TimePoint Now() const { return this->now; }
  void At(TimePoint when, Action action) {
    this->events.push({when, this->next_sequence++, std::move(action)});
  }
  void After(Duration delay, Action action) { this->At(this->now + delay, std::move(action)); }

  void RunUntil(TimePoint end) {
    while (!this->events.empty() && this->events.top().when <= end) {
      // The queue only gives out const references; the action is moved out right before the pop.
      Event event = std::move(const_cast<Event&>(this->events.top()));
      this->events.pop();
      this->now = event.when;
      event.action();
    }
    this->now = end;
  }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t sequence = 0;
    Action action;

    friend bool operator<(const Event& left, const Event& right) {
      return std::pair(right.when, right.sequence) < std::pair(left.when, left.sequence);
    }
  };

  std::priority_queue<Event> events;
  TimePoint now;
  std::uint64_t next_sequence = 0;
};

}  // namespace chervilspar::bench
