#include "chervilspar/telemetry/timeline.h"

#include <algorithm>
#include <tuple>

namespace chervilspar::telemetry {

namespace {

auto OrderOf(const Event& event) { return std::tie(event.time, event.entry, event.sequence); }

}  // namespace

Timeline MergeTimelines(const std::vector<EntryTimeline>& rings,
                        const std::vector<EntryId>& expected) {
  Timeline timeline;
  for (const EntryTimeline& ring : rings) {
    timeline.events.insert(timeline.events.end(), ring.events.begin(), ring.events.end());
  }
  std::sort(timeline.events.begin(), timeline.events.end(),
            [](const Event& a, const Event& b) { return OrderOf(a) < OrderOf(b); });
  const auto repeats =
      std::unique(timeline.events.begin(), timeline.events.end(),
                  [](const Event& a, const Event& b) { return OrderOf(a) == OrderOf(b); });
  timeline.events.erase(repeats, timeline.events.end());
  for (const EntryId& entry : expected) {
    const bool is_there = std::any_of(
        rings.begin(), rings.end(), [&](const EntryTimeline& ring) { return ring.entry == entry; });
    if (!is_there) {
      timeline.missing.push_back(entry);
    }
  }
  return timeline;
}

std::string EncodeLines(const std::vector<Event>& events) {
  std::string text;
  for (const Event& event : events) {
    text += EncodeEvent(event) + "\n";
  }
  return text;
}

std::vector<Event> DecodeLines(std::string_view text) {
  std::vector<Event> events;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    Result<Event> event = DecodeEvent(text.substr(0, end));
    if (event) {
      events.push_back(std::move(event).Value());
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return events;
}

}  // namespace chervilspar::telemetry
