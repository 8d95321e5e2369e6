#include "chervilspar/telemetry/event_ring.h"

#include <algorithm>

namespace chervilspar::telemetry {

EventRing::EventRing(EntryId entry, std::size_t capacity, Duration max_clock_ahead)
    : entry(std::move(entry)),
      capacity(std::max<std::size_t>(1, capacity)),
      clock(max_clock_ahead) {}

void EventRing::Add(Event event, WallTime wall_now) {
  const std::scoped_lock lock(this->mutex);
  event.time = this->clock.Stamp(wall_now);
  event.entry = this->entry;
  event.sequence = this->next_sequence++;
  this->events.push_back(std::move(event));
  if (this->events.size() > this->capacity) {
    this->events.pop_front();
  }
}

void EventRing::Observe(const HybridTime& remote, WallTime wall_now) {
  const std::scoped_lock lock(this->mutex);
  this->clock.Observe(remote, wall_now);
}

HybridTime EventRing::Stamp(WallTime wall_now) {
  const std::scoped_lock lock(this->mutex);
  return this->clock.Stamp(wall_now);
}

std::vector<Event> EventRing::Events() const {
  const std::scoped_lock lock(this->mutex);
  return {this->events.begin(), this->events.end()};
}

std::uint64_t EventRing::DroppedEvents() const {
  const std::scoped_lock lock(this->mutex);
  return this->next_sequence - this->events.size();
}

}  // namespace chervilspar::telemetry
