#include <map>

#include "cli/command.h"
#include "cli/fleet_view.h"
#include "cli/json_view.h"

namespace chervilspar::cli {

namespace {

struct Listed {
  EntryId id;
  std::string address;
};

/// The entries of the configuration, as the first reachable entry knows it.
std::vector<Listed> ListEntries(const OperatorClient& client) {
  std::vector<Listed> listed;
  const Answer answer = client.CallAny("GET", "/v1/operator/inventory");
  if (!answer.IsOk()) {
    return listed;
  }
  const boost::json::value json = answer.Json();
  for (const JsonView& entry : JsonView(json).At("inventory").At("entries").Rows()) {
    listed.push_back(Listed{EntryId{entry.At("id").Text()}, entry.At("http_address").Text()});
  }
  return listed;
}

/// The entry that a ring belongs to; every event names it.
EntryId OwnerOf(const std::vector<telemetry::Event>& events) {
  return events.empty() ? EntryId{} : events.front().entry;
}

}  // namespace

TimelineReading ReadTimeline(const OperatorClient& client) {
  const std::vector<Listed> listed = ListEntries(client);
  std::map<std::string, EntryId> addresses;
  for (const std::string& address : client.Entries()) {
    addresses.emplace(address, EntryId{});
  }
  std::vector<EntryId> expected;
  for (const Listed& entry : listed) {
    addresses[entry.address] = entry.id;
    expected.push_back(entry.id);
  }
  TimelineReading reading;
  std::vector<telemetry::EntryTimeline> rings;
  for (const auto& [address, id] : addresses) {
    const Answer answer = client.Call(address, "GET", "/v1/operator/events");
    if (!answer.IsOk()) {
      reading.failure = answer;
      continue;
    }
    std::vector<telemetry::Event> events = telemetry::DecodeLines(answer.body);
    const EntryId owner = id.IsEmpty() ? OwnerOf(events) : id;
    rings.push_back(telemetry::EntryTimeline{owner, std::move(events)});
  }
  reading.timeline = telemetry::MergeTimelines(rings, expected);
  if (!rings.empty()) {
    reading.failure.reset();
  }
  return reading;
}

ExitCode RunTimeline(const OperatorClient& client, const Console& console) {
  const TimelineReading reading = ReadTimeline(client);
  if (reading.failure) {
    return Fail(*reading.failure, console);
  }
  console.out << telemetry::EncodeLines(reading.timeline.events);
  for (const EntryId& entry : reading.timeline.missing) {
    console.err << "chervilspar: missing: entry " << entry.text << " gave no events\n";
  }
  return reading.timeline.missing.empty() ? ExitCode::kOk : ExitCode::kPartial;
}

}  // namespace chervilspar::cli
