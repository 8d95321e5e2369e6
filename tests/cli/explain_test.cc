#include <algorithm>
#include <sstream>
#include <string>

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include "chervilspar/inventory/document.h"

#include "cli/fleet_view.h"
#include "tests/cli/fake_entries.h"
#include "tests/inventory/sample_inventory.h"

namespace chervilspar::cli {
namespace {

using telemetry::Event;
using telemetry::EventKind;

Event MakeEvent(EventKind kind, const char* request, const char* team, const char* vm,
                const char* why) {
  Event event;
  event.time.wall = WallTime(std::chrono::seconds(1'800'000'000));
  event.kind = kind;
  event.entry.text = "e1";
  event.request.text = request;
  event.team.text = team;
  event.vm.text = vm;
  event.why = why;
  static std::uint64_t sequence = 0;
  event.sequence = sequence++;
  return event;
}

FleetView SampleView() {
  FleetView view;
  view.status = boost::json::parse(R"({"entry":"e1",
      "pools":[{"pool":"booking","vms":4,"available":2,"min_available":2}],
      "teams":[{"team":"desk","share":2.5,"upper_limit":10,"running":10,"waiting":3,
                "owned":5,"borrowed":5,"lent":0}],
      "steps":[{"step":"s1","vm":"vm-1","action":"reboot","phase":"draining","executor":"e2"}]})");
  view.inventory = boost::json::parse(
      "{\"inventory\":" + inventory::Serialize(inventory::SampleInventory()) + "}");
  view.plan = boost::json::parse(
      R"({"waits":[{"vm":"vm-0","sentence":"the pool has no room"}],"next":[{"vm":"vm-1"},{"vm":"vm-2"}]})");
  view.timeline.events = {
      MakeEvent(EventKind::kRequestDispatched, "r1", "desk", "", ""),
      MakeEvent(EventKind::kRequestDispatched, "r1", "desk", "vm-1", ""),
      MakeEvent(EventKind::kRequestAnswered, "r1", "desk", "vm-1", "completed in 12ms"),
      MakeEvent(EventKind::kRequestRefused, "r2", "desk", "", "the limit is reached"),
      MakeEvent(EventKind::kRequestRefused, "r3", "desk", "", "the limit is reached"),
      MakeEvent(EventKind::kRequestDispatched, "r4", "shop", "vm-3", "")};
  view.timeline.missing = {EntryId{"e9"}};
  return view;
}

struct ExplainCase {
  std::string name;
  std::vector<std::string> (*explain)(const FleetView&, const std::string&);
  std::string id;
  std::string expected;
};

class ExplainTest : public testing::TestWithParam<ExplainCase> {};

TEST_P(ExplainTest, AnswersWhy) {
  std::string all;
  for (const std::string& line : GetParam().explain(SampleView(), GetParam().id)) {
    all += line + "\n";
  }
  EXPECT_NE(all.find(GetParam().expected), std::string::npos) << all;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ExplainTest,
    testing::Values(
        ExplainCase{"WaitingVm", ExplainVm, "vm-0", "it waits: the pool has no room"},
        ExplainCase{"VmsPool", ExplainVm, "vm-0", "2 of 4 VMs available and must keep 2"},
        ExplainCase{"HeldVm", ExplainVm, "vm-1", "held by step s1 (reboot, draining)"},
        ExplainCase{"HeldVmsEnd", ExplainVm, "vm-1", "carried out by e2\n  "},
        ExplainCase{"NextVm", ExplainVm, "vm-2", "it is next"},
        ExplainCase{"IdleVm", ExplainVm, "vm-3", "no step holds it"},
        ExplainCase{"UnknownVm", ExplainVm, "vm-99", "not in the inventory"},
        ExplainCase{"VmsEvents", ExplainVm, "vm-3", "request-dispatched request=r4"},
        ExplainCase{"Team", ExplainTeam, "desk",
                    "has share 2.5 when all is full and may run 10 tasks"},
        ExplainCase{"TeamsRefusals", ExplainTeam, "desk", "refused 2 times: the limit is reached"},
        ExplainCase{"UnknownTeam", ExplainTeam, "nobody", "not in the inventory"},
        ExplainCase{"AnsweredRequest", ExplainRequest, "r1", "answered: completed in 12ms"},
        ExplainCase{"RefusedRequest", ExplainRequest, "r2", "refused: the limit is reached"},
        ExplainCase{"RunningRequest", ExplainRequest, "r4", "as far as request-dispatched"},
        ExplainCase{"UnknownRequest", ExplainRequest, "r99", "no entry remembers"},
        ExplainCase{"MissingEntry", ExplainRequest, "r1", "entry e9 gave no events"}),
    [](const testing::TestParamInfo<ExplainCase>& info) { return info.param.name; });

// One zone is cut off while an operator asks what happened. The time line of the others must come
// all the same, and say whose part is missing.
TEST(TimelineCommandTest, UnreachableEntriesAreNamed) {
  FakeEntries entries;
  inventory::Inventory inventory = inventory::SampleInventory();
  entries.Answers("127.0.0.1:8001", "GET /v1/operator/inventory", 200,
                  "{\"version\":1,\"inventory\":" + inventory::Serialize(inventory) + "}");
  entries.Answers("127.0.0.1:8001", "GET /v1/operator/events", 200,
                  telemetry::EncodeLines(SampleView().timeline.events));
  const OperatorClient client(
      entries, OperatorOptions{{"127.0.0.1:8001"}, "secret", std::chrono::seconds(1)});
  std::ostringstream out;
  std::ostringstream err;
  const FixedClock clock;
  EXPECT_EQ(RunTimeline(client, Console{out, err, clock}), ExitCode::kPartial);
  EXPECT_EQ(telemetry::DecodeLines(out.str()).size(), 6U);
  EXPECT_NE(err.str().find("e2"), std::string::npos);
  EXPECT_EQ(err.str().find("e1 gave"), std::string::npos);
}

}  // namespace
}  // namespace chervilspar::cli
