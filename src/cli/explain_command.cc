#include <functional>
#include <map>

#include "chervilspar/inventory/document.h"

#include "cli/command.h"
#include "cli/fleet_view.h"
#include "cli/json_view.h"

namespace chervilspar::cli {

namespace {

using telemetry::Event;
using telemetry::EventKind;

/// Events shown at the end of an explanation; the whole story is in `timeline`.
constexpr std::size_t kMaxShownEvents = 20;

std::string Describe(const Event& event) {
  std::string text =
      inventory::FormatDate(event.time.wall) + " " + event.entry.text + " " + ToString(event.kind);
  const auto add = [&text](const char* name, const std::string& value) {
    if (!value.empty()) {
      text += std::string(" ") + name + "=" + value;
    }
  };
  add("request", event.request.text);
  add("team", event.team.text);
  add("vm", event.vm.text);
  add("pool", event.pool.text);
  add("step", event.step.text);
  for (const telemetry::EventField& field : event.fields) {
    add(field.name.c_str(), field.value);
  }
  return event.why.empty() ? text : text + ": " + event.why;
}

void AddEvents(const FleetView& view, const std::function<bool(const Event&)>& is_wanted,
               std::vector<std::string>& lines) {
  std::vector<std::string> shown;
  for (const Event& event : view.timeline.events) {
    if (is_wanted(event)) {
      shown.push_back("  " + Describe(event));
    }
  }
  const std::size_t skipped = shown.size() > kMaxShownEvents ? shown.size() - kMaxShownEvents : 0;
  if (skipped > 0) {
    lines.push_back("  (" + std::to_string(skipped) + " earlier events left out)");
  }
  lines.insert(lines.end(), shown.begin() + static_cast<std::ptrdiff_t>(skipped), shown.end());
}

void AddMissing(const FleetView& view, std::vector<std::string>& lines) {
  for (const EntryId& entry : view.timeline.missing) {
    lines.push_back("entry " + entry.text + " gave no events; what it did is missing here");
  }
}

/// Why a request was refused, by reason, the most frequent ones being what a team asks about.
std::map<std::string, std::size_t> CountRefusals(const FleetView& view, const std::string& team) {
  std::map<std::string, std::size_t> counts;
  for (const Event& event : view.timeline.events) {
    if (event.kind == EventKind::kRequestRefused && event.team.text == team) {
      ++counts[event.why.empty() ? "no reason given" : event.why];
    }
  }
  return counts;
}

}  // namespace

std::vector<std::string> ExplainVm(const FleetView& view, const std::string& id) {
  std::vector<std::string> lines;
  const JsonView vm = JsonView(view.inventory).At("inventory").At("vms").RowWith("id", id);
  if (!vm.IsThere()) {
    lines.push_back("VM " + id + " is not in the inventory in force");
  } else {
    const std::string pool = vm.At("pool").Text();
    const JsonView counts = JsonView(view.status).At("pools").RowWith("pool", pool);
    lines.push_back("VM " + id + " is in pool " + pool + ", rack " + vm.At("rack").Shown() +
                    ", zone " + vm.At("zone").Shown());
    lines.push_back("pool " + pool + " has " + counts.At("available").Shown() + " of " +
                    counts.At("vms").Shown() + " VMs available and must keep " +
                    counts.At("min_available").Shown());
  }
  const JsonView step = JsonView(view.status).At("steps").RowWith("vm", id);
  if (step.IsThere()) {
    lines.push_back("it is held by step " + step.At("step").Shown() + " (" +
                    step.At("action").Shown() + ", " + step.At("phase").Shown() +
                    "), carried out by " + step.At("executor").Shown());
  }
  const JsonView wait = JsonView(view.plan).At("waits").RowWith("vm", id);
  if (wait.IsThere()) {
    lines.push_back("it waits: " + wait.At("sentence").Shown());
  } else if (!step.IsThere()) {
    const bool is_next = JsonView(view.plan).At("next").RowWith("vm", id).IsThere();
    lines.push_back(is_next ? "it is next" : "no step holds it and none is due");
  }
  AddEvents(
      view, [&id](const Event& event) { return event.vm.text == id; }, lines);
  AddMissing(view, lines);
  return lines;
}

std::vector<std::string> ExplainTeam(const FleetView& view, const std::string& id) {
  std::vector<std::string> lines;
  const JsonView team = JsonView(view.status).At("teams").RowWith("team", id);
  if (!team.IsThere()) {
    lines.push_back("team " + id + " is not in the inventory in force");
  } else {
    lines.push_back("team " + id + " has share " + team.At("share").Shown() +
                    " when all is full and may run " + team.At("upper_limit").Shown() +
                    " tasks across the fleet");
    lines.push_back("at entry " + JsonView(view.status).At("entry").Shown() + ": " +
                    team.At("running").Shown() + " running, " + team.At("waiting").Shown() +
                    " waiting, " + team.At("owned").Shown() + " units owned, " +
                    team.At("borrowed").Shown() + " borrowed, " + team.At("lent").Shown() +
                    " lent");
  }
  for (const auto& [why, count] : CountRefusals(view, id)) {
    lines.push_back("refused " + std::to_string(count) + " times: " + why);
  }
  AddEvents(
      view, [&id](const Event& event) { return event.team.text == id; }, lines);
  AddMissing(view, lines);
  return lines;
}

std::vector<std::string> ExplainRequest(const FleetView& view, const std::string& id) {
  std::vector<std::string> lines;
  const Event* last = nullptr;
  for (const Event& event : view.timeline.events) {
    if (event.request.text == id) {
      last = &event;
    }
  }
  if (last == nullptr) {
    lines.push_back("no entry remembers request " + id +
                    "; the rings keep the newest events only, or the request never came");
  } else if (last->kind == EventKind::kRequestRefused) {
    lines.push_back("request " + id + " was refused: " + last->why);
  } else if (last->kind == EventKind::kRequestAnswered) {
    lines.push_back("request " + id + " was answered" +
                    (last->why.empty() ? "" : ": " + last->why));
  } else {
    lines.push_back("request " + id + " got as far as " + ToString(last->kind));
  }
  AddEvents(
      view, [&id](const Event& event) { return event.request.text == id; }, lines);
  AddMissing(view, lines);
  return lines;
}

ExitCode RunExplain(const ExplainOptions& options, const OperatorClient& client,
                    const Console& console) {
  const Answer status = client.CallAny("GET", "/v1/operator/status");
  if (!status.IsOk()) {
    return Fail(status, console);
  }
  FleetView view;
  view.status = status.Json();
  view.inventory = client.CallAny("GET", "/v1/operator/inventory").Json();
  view.plan = client.CallAny("GET", "/v1/operator/plan").Json();
  view.timeline = ReadTimeline(client).timeline;
  std::vector<std::string> lines;
  if (options.kind == "vm") {
    lines = ExplainVm(view, options.id);
  } else if (options.kind == "team") {
    lines = ExplainTeam(view, options.id);
  } else {
    lines = ExplainRequest(view, options.id);
  }
  for (const std::string& line : lines) {
    console.out << line << "\n";
  }
  return view.timeline.missing.empty() ? ExitCode::kOk : ExitCode::kPartial;
}

}  // namespace chervilspar::cli
