#include "chervilspar/telemetry/event.h"

#include <array>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace chervilspar::telemetry {

namespace {

constexpr std::array kKindNames = {
    std::pair{EventKind::kEntryStarted, "entry-started"},
    std::pair{EventKind::kEntryStopping, "entry-stopping"},
    std::pair{EventKind::kEntryStopped, "entry-stopped"},
    std::pair{EventKind::kRequestRefused, "request-refused"},
    std::pair{EventKind::kRequestDispatched, "request-dispatched"},
    std::pair{EventKind::kRequestAnswered, "request-answered"},
    std::pair{EventKind::kRequestRetried, "request-retried"},
    std::pair{EventKind::kKeyWithdrawn, "key-withdrawn"},
    std::pair{EventKind::kConfigAccepted, "config-accepted"},
    std::pair{EventKind::kRecordAccepted, "record-accepted"},
    std::pair{EventKind::kRecordRejected, "record-rejected"},
    std::pair{EventKind::kRecordUnreadable, "record-unreadable"},
    std::pair{EventKind::kSnapshotWritten, "snapshot-written"},
    std::pair{EventKind::kSnapshotInstalled, "snapshot-installed"},
    std::pair{EventKind::kVmObserved, "vm-observed"},
    std::pair{EventKind::kStepClaimed, "step-claimed"},
    std::pair{EventKind::kStepActing, "step-acting"},
    std::pair{EventKind::kStepTakenOver, "step-taken-over"},
    std::pair{EventKind::kStepDone, "step-done"},
    std::pair{EventKind::kStepWithdrawn, "step-withdrawn"},
    std::pair{EventKind::kStepRejected, "step-rejected"},
    std::pair{EventKind::kPeerUp, "peer-up"},
    std::pair{EventKind::kPeerDown, "peer-down"},
    std::pair{EventKind::kPauseNoticed, "pause-noticed"},
    std::pair{EventKind::kLogDown, "log-down"},
    std::pair{EventKind::kLogUp, "log-up"},
    std::pair{EventKind::kEndpointEjected, "endpoint-ejected"},
    std::pair{EventKind::kEndpointReturned, "endpoint-returned"},
    std::pair{EventKind::kPreempted, "preempted"},
};

/// Reads the fields of one event; remembers whether one was missing or of the wrong type.
class EventReader {
 public:
  explicit EventReader(const boost::json::object& object) : object(object) {}

  std::string Text(std::string_view name) {
    const boost::json::value* value = this->object.if_contains(name);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string()) {
      this->broken = true;
      return "";
    }
    return std::string(value->get_string());
  }

  std::uint64_t Number(std::string_view name) {
    const boost::json::value* value = this->object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
      this->broken = true;
      return 0;
    }
    return static_cast<std::uint64_t>(value->get_int64());
  }

  std::vector<EventField> Fields() {
    std::vector<EventField> fields;
    const boost::json::value* value = this->object.if_contains("fields");
    if (value == nullptr) {
      return fields;
    }
    if (!value->is_object()) {
      this->broken = true;
      return fields;
    }
    for (const auto& field : value->get_object()) {
      if (!field.value().is_string()) {
        this->broken = true;
        return fields;
      }
      fields.push_back(
          EventField{std::string(field.key()), std::string(field.value().get_string())});
    }
    return fields;
  }

  bool IsBroken() const { return this->broken; }

 private:
  const boost::json::object& object;
  bool broken = false;
};

void PutText(boost::json::object& json, std::string_view name, const std::string& text) {
  if (!text.empty()) {
    json[name] = text;
  }
}

Reason Malformed(std::string message) {
  return Reason{ErrorCode::kMalformed, "", std::move(message)};
}

}  // namespace

const char* ToString(EventKind kind) {
  for (const auto& [known, name] : kKindNames) {
    if (known == kind) {
      return name;
    }
  }
  return "unknown";
}

std::optional<EventKind> EventKindFromString(std::string_view name) {
  for (const auto& [kind, known] : kKindNames) {
    if (name == known) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string EncodeEvent(const Event& event) {
  boost::json::object json{{"wall_us", event.time.wall.time_since_epoch().count()},
                           {"logical", event.time.logical},
                           {"event", ToString(event.kind)},
                           {"entry", event.entry.text},
                           {"seq", event.sequence}};
  PutText(json, "request", event.request.text);
  PutText(json, "team", event.team.text);
  PutText(json, "vm", event.vm.text);
  PutText(json, "pool", event.pool.text);
  PutText(json, "step", event.step.text);
  PutText(json, "why", event.why);
  if (!event.fields.empty()) {
    boost::json::object fields;
    for (const EventField& field : event.fields) {
      fields[field.name] = field.value;
    }
    json["fields"] = std::move(fields);
  }
  return boost::json::serialize(json);
}

Result<Event> DecodeEvent(std::string_view line) {
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(line, error);
  if (error || !json.is_object()) {
    return Malformed("the line is no JSON object");
  }
  EventReader reader(json.get_object());
  const std::optional<EventKind> kind = EventKindFromString(reader.Text("event"));
  if (!kind) {
    return Malformed("the event is not known here");
  }
  Event event;
  event.time.wall = WallTime(Duration(static_cast<std::int64_t>(reader.Number("wall_us"))));
  event.time.logical = static_cast<std::uint32_t>(reader.Number("logical"));
  event.kind = *kind;
  event.entry.text = reader.Text("entry");
  event.sequence = reader.Number("seq");
  event.request.text = reader.Text("request");
  event.team.text = reader.Text("team");
  event.vm.text = reader.Text("vm");
  event.pool.text = reader.Text("pool");
  event.step.text = reader.Text("step");
  event.why = reader.Text("why");
  event.fields = reader.Fields();
  if (reader.IsBroken()) {
    return Malformed("a field of the event is missing or broken");
  }
  return event;
}

}  // namespace chervilspar::telemetry
