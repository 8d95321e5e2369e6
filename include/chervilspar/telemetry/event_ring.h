#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/telemetry/event.h"

namespace chervilspar::telemetry {

/// The newest events of one process. Thread-safe. The oldest events give way, so that a burst of
/// refusals can't use up the memory of the entry.
class EventRing {
 public:
  EventRing(EntryId entry, std::size_t capacity, Duration max_clock_ahead);

  /// Stamps and keeps an event; its `time`, `entry` and `sequence` are filled in here.
  void Add(Event event, WallTime wall_now);

  /// Takes in the stamp of a peer's message, so that later events here order after it.
  void Observe(const HybridTime& remote, WallTime wall_now);

  /// A stamp to send along with a message to a peer.
  HybridTime Stamp(WallTime wall_now);

  /// The kept events, oldest first.
  std::vector<Event> Events() const;

  std::uint64_t DroppedEvents() const;

 private:
  EntryId entry;
  std::size_t capacity;
  mutable std::mutex mutex;
  HybridClock clock;
  std::deque<Event> events;
  std::uint64_t next_sequence = 0;
};

}  // namespace chervilspar::telemetry
