#include "chervilspar/inventory/document.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/inventory/sample_inventory.h"

namespace chervilspar::inventory {
namespace {

/// Replaces the first occurrence of `from`, which must be there.
std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

TEST(DocumentTest, ReadsBackWhatItWrites) {
  Inventory sample = SampleInventory();
  sample.move = Move{SiteId{"old"},
                     *ParseDate("2027-03-31T18:00:00Z"),
                     {MoveTarget{VmId{"vm-8"}, PoolId{"fleet"}}, MoveTarget{VmId{"vm-9"}, {}}}};
  for (const Layout layout : {Layout::kCompact, Layout::kIndented}) {
    const ParseOutcome outcome = ParseAll(Serialize(sample, layout));
    ASSERT_TRUE(outcome.inventory) << ToString(outcome.faults.front());
    EXPECT_EQ(*outcome.inventory, sample);
  }
}

struct FaultCase {
  std::string name;
  std::string from;
  std::string to;
  std::string pointer;
  std::string message_part;
};

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// An operator slips while editing the document. Were the slip read as something else, the fleet
// would follow it: a field typed wrongly would silently have no effect, a VM in two pools would be
// drained for one while the other counts on it.
TEST_P(DocumentFaultTest, NamesThePlaceAndWhatWouldBeRight) {
  const FaultCase& param = GetParam();
  const std::string text = Replaced(Serialize(SampleInventory()), param.from, param.to);
  const ParseOutcome outcome = ParseAll(text);
  EXPECT_FALSE(outcome.inventory);
  const bool found =
      std::any_of(outcome.faults.begin(), outcome.faults.end(), [&param](const Reason& fault) {
        return fault.field == param.pointer &&
               fault.message.find(param.message_part) != std::string::npos;
      });
  std::string all;
  for (const Reason& fault : outcome.faults) {
    all += ToString(fault) + "\n";
  }
  EXPECT_TRUE(found) << all;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, DocumentFaultTest,
    testing::Values(
        FaultCase{"UnknownField", R"("id":"vm-0")", R"("id":"vm-0","colour":"red")",
                  "/vms/0/colour", "unknown field"},
        FaultCase{"UnknownTopField", R"("schema_version":1)", R"("schema_version":1,"vmz":[])",
                  "/vmz", "unknown field"},
        FaultCase{"DuplicateField", R"("cores":64)", R"("cores":64,"cores":32)", "/vms/0/cores",
                  "twice"},
        FaultCase{"DuplicateVm", R"("id":"vm-1")", R"("id":"vm-0")", "/vms/1/id", "twice"},
        FaultCase{"VmInTwoPools", R"("id":"vm-9")", R"("id":"vm-0")", "/vms/9/pool", "in pool"},
        FaultCase{"DuplicateTeam", R"("id":"shop")", R"("id":"desk")", "/teams/1/id", "twice"},
        FaultCase{"DanglingPool", R"("pool":"fleet")", R"("pool":"fleeet")", "/vms/vm-4/pool",
                  "names no pool"},
        FaultCase{"DanglingZone", R"("zone":"b")", R"("zone":"c")", "/vms/vm-1/zone",
                  "names no zone"},
        FaultCase{"DanglingService", R"("service":"fleet")", R"("service":"float")",
                  "/pools/fleet/service", "names no service"},
        FaultCase{"DanglingTeam", R"("teams":["desk")", R"("teams":["dask")",
                  "/services/booking/teams", "names no team"},
        FaultCase{"DanglingEntryZone", R"({"id":"e1","zone":"a")", R"({"id":"e1","zone":"z")",
                  "/entries/e1/zone", "names no zone"},
        FaultCase{"SameAddressTwice", "127.0.0.1:9001", "127.0.0.1:9000", "/vms/vm-1/address",
                  "also the address"},
        FaultCase{"RackInTwoZones", R"("rack":"r1")", R"("rack":"r0")", "/vms/vm-1/rack",
                  "stands in zone"},
        FaultCase{"MemoryWithoutUnit", R"("memory":"128GB")", R"("memory":128)", "/vms/0/memory",
                  "with unit"},
        FaultCase{"MemoryWrongUnit", R"("memory":"128GB")", R"("memory":"128Gi")", "/vms/0/memory",
                  "with unit"},
        FaultCase{"DurationWithoutUnit", R"("drain_timeout":"2m")", R"("drain_timeout":120)",
                  "/maintenance/drain_timeout", "with its unit"},
        FaultCase{"DurationWrongUnit", R"("drain_timeout":"2m")", R"("drain_timeout":"2min")",
                  "/maintenance/drain_timeout", "with its unit"},
        FaultCase{"DurationTooLong", R"("drain_timeout":"2m")", R"("drain_timeout":"2d")",
                  "/maintenance/drain_timeout", "from 1s to 1d"},
        FaultCase{"TextForNumber", R"("cores":64)", R"("cores":"64")", "/vms/0/cores",
                  "whole number"},
        FaultCase{"FractionForNumber", R"("cores":64)", R"("cores":6.5)", "/vms/0/cores",
                  "whole number"},
        FaultCase{"NegativeNumber", R"("slots":8)", R"("slots":-8)", "/vms/0/slots",
                  "from 1 to 4096"},
        FaultCase{"NumberTooLarge", R"("connections":64)", R"("connections":70000)",
                  "/vms/0/connections", "65535"},
        FaultCase{"ShareZero", R"("share":2)", R"("share":0)", "/teams/0/share", "a number from"},
        FaultCase{"WordForTruth", R"("may_be_urgent":true)", R"("may_be_urgent":"yes")",
                  "/teams/0/may_be_urgent", "true or false"},
        FaultCase{"AddressWithoutPort", "127.0.0.1:9000", "127.0.0.1", "/vms/0/address",
                  "no endpoint"},
        FaultCase{"AddressByName", "127.0.0.1:9000", "localhost:9000", "/vms/0/address",
                  "no endpoint"},
        FaultCase{"AddressPortTooLarge", "127.0.0.1:9000", "127.0.0.1:99000", "/vms/0/address",
                  "65535"},
        FaultCase{"EmptyId", R"("id":"vm-0")", R"("id":"")", "/vms/0/id", "should be a name"},
        FaultCase{"IdWithSpace", R"("id":"vm-0")", R"("id":"vm 0")", "/vms/0/id",
                  "should be a name"},
        FaultCase{"MissingField", R"("slots":8,)", "", "/vms/0/slots", "missing"},
        FaultCase{"WrongVersion", R"("schema_version":1)", R"("schema_version":2)",
                  "/schema_version", "version 1"},
        FaultCase{"MissingVersion", R"("schema_version":1,)", "", "/schema_version", "missing"},
        FaultCase{"WrongKind", R"("kind":"spare")", R"("kind":"spear")", "/pools/2/kind",
                  "serving or spare"},
        FaultCase{"ListForObject", R"("maintenance":{)", R"("maintenance":[],"x":{)",
                  "/maintenance", "should be an object"},
        FaultCase{"ObjectForList", R"("zones":[)", R"("zones":{},"y":[)", "/zones",
                  "should be a list"},
        FaultCase{"DateWithoutZone", R"("maintenance":{)",
                  R"("move":{"leave_site":"old","date":"2027-03-31T18:00:00"},"maintenance":{)",
                  "/move/date", "zone UTC"},
        FaultCase{"DateThatIsNone", R"("maintenance":{)",
                  R"("move":{"leave_site":"old","date":"2027-02-30T18:00:00Z"},"maintenance":{)",
                  "/move/date", "ISO 8601"},
        FaultCase{"MoveOfUnknownVm", R"("maintenance":{)",
                  R"("move":{"leave_site":"old","date":"2027-03-31T18:00:00Z",)"
                  R"("targets":[{"vm":"vm-77"}]},"maintenance":{)",
                  "/move/targets/0/vm", "names no VM"},
        FaultCase{"TwoTargetsOfOneVm", R"("maintenance":{)",
                  R"("move":{"leave_site":"old","date":"2027-03-31T18:00:00Z",)"
                  R"("targets":[{"vm":"vm-1"},{"vm":"vm-1"}]},"maintenance":{)",
                  "/move/targets/1/vm", "two targets"},
        FaultCase{"BrokenJson", R"("zones":[)", R"("zones":[[)", "", "broken JSON at line 1"}),
    [](const testing::TestParamInfo<FaultCase>& info) { return info.param.name; });

// An operator who is told of one fault at a time publishes ten times to mend ten slips, with the
// date coming nearer.
TEST(DocumentTest, ReportsAllFaultsAtOnce) {
  std::string text = Serialize(SampleInventory());
  text = Replaced(text, R"("cores":64)", R"("cores":0)");
  text = Replaced(text, R"("share":2)", R"("share":-1)");
  text = Replaced(text, R"("every":"7w")", R"("every":"soon")");
  EXPECT_EQ(ParseAll(text).faults.size(), 3U);
}

TEST(DocumentTest, ManyFaultsAreCutOff) {
  std::string text = R"({"schema_version":1,"vms":[)";
  for (int i = 0; i < 1000; ++i) {
    text += "7,";
  }
  text += "7]}";
  EXPECT_EQ(ParseAll(text).faults.size(), kMaxFaults);
}

// A document that nests a hundred thousand lists, whether closed or not, would use up the stack of
// whoever goes through it without a bound on depth.
TEST(DocumentTest, DeepNestingIsRefused) {
  constexpr std::size_t kDepth = 100000;
  const std::string open(kDepth, '[');
  for (const std::string& text : {open, open + std::string(kDepth, ']')}) {
    const ParseOutcome outcome = ParseAll(text);
    ASSERT_EQ(outcome.faults.size(), 1U);
    EXPECT_NE(outcome.faults[0].message.find("deep"), std::string::npos)
        << outcome.faults[0].message;
  }
}

// Documents are cut off by a full disk or a broken connection, and typed by hand. Whatever comes,
// the reader must give faults and never crash the process that serves callers.
RC_GTEST_PROP(DocumentProperty, GarbageNeverCrashes, ()) {
  std::string text = Serialize(SampleInventory());
  const auto edits = *rc::gen::inRange(1, 8);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
        break;
      default:
        text.insert(at, *rc::gen::arbitrary<std::string>());
        break;
    }
    if (text.empty()) {
      return;
    }
  }
  const ParseOutcome outcome = ParseAll(text);
  RC_ASSERT(outcome.inventory.has_value() == outcome.faults.empty());
}

RC_GTEST_PROP(DurationProperty, ReadsBackWhatItWrites, ()) {
  const Duration duration(*rc::gen::inRange<std::int64_t>(0, 1LL << 50));
  RC_ASSERT(*ParseDuration(FormatDuration(duration)) == duration);
}

RC_GTEST_PROP(DateProperty, ReadsBackWhatItWrites, ()) {
  const WallTime time(std::chrono::seconds(*rc::gen::inRange<std::int64_t>(0, 4'000'000'000)));
  RC_ASSERT(*ParseDate(FormatDate(time)) == time);
}

}  // namespace
}  // namespace chervilspar::inventory
