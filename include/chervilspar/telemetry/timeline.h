#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/telemetry/event.h"

namespace chervilspar::telemetry {

/// The ring of one entry as it was read.
struct EntryTimeline {
  EntryId entry;
  std::vector<Event> events;

  friend bool operator==(const EntryTimeline&, const EntryTimeline&) = default;
};

/// The events of several processes in one order.
struct Timeline {
  std::vector<Event> events;
  /// Entries that the configuration lists and that gave no ring.
  std::vector<EntryId> missing;

  friend bool operator==(const Timeline&, const Timeline&) = default;
};

/// Merges rings by hybrid time, then entry, then sequence. An event that occurs in two rings is
/// given once.
Timeline MergeTimelines(const std::vector<EntryTimeline>& rings,
                        const std::vector<EntryId>& expected);

/// Events as JSON lines, each ended by a line feed, and back; unreadable lines are passed over.
std::string EncodeLines(const std::vector<Event>& events);
std::vector<Event> DecodeLines(std::string_view text);

}  // namespace chervilspar::telemetry
