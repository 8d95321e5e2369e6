#include "chervilspar/load_balancing/slot_split.h"

#include <cmath>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::load_balancing {
namespace {

ZoneId Zone(std::size_t index) { return ZoneId{std::string(1, static_cast<char>('a' + index))}; }

std::vector<Endpoint> EndpointsIn(const std::vector<std::size_t>& zones) {
  std::vector<Endpoint> endpoints;
  for (std::size_t index = 0; index < zones.size(); ++index) {
    endpoints.push_back({VmId{"vm-" + std::to_string(index)}, Zone(zones[index]), 8, {}});
  }
  return endpoints;
}

// Entries fill their own slots without coordination. If two entries owned the same slot, half of
// their attempts would reach a full endpoint; a slot without an owner would idle while requests
// wait.
RC_GTEST_PROP(SlotSplitProperty, EverySlotHasOneOwner, ()) {
  const auto zones = *rc::gen::container<std::vector<std::size_t>>(
      *rc::gen::inRange<std::size_t>(1, 12), rc::gen::inRange<std::size_t>(0, 3));
  const std::vector<Endpoint> endpoints = EndpointsIn(zones);
  const auto count = *rc::gen::inRange<std::size_t>(1, 9);
  std::vector<scheduling::EntryAllocation> entries;
  double total = 0.0;
  for (std::size_t entry = 0; entry < count; ++entry) {
    const double weight = *rc::gen::inRange(1, 100);
    entries.push_back({EntryId{"e" + std::to_string(entry)}, Zone(entry % 3), weight});
    total += weight;
  }
  for (auto& entry : entries) {
    entry.slots *= 8.0 * static_cast<double>(endpoints.size()) / total;
  }
  std::vector<double> owned(endpoints.size(), 0.0);
  for (const auto& entry : entries) {
    const auto split = SplitSlots(endpoints, entries, entry.entry);
    double own = 0.0;
    for (std::size_t index = 0; index < split.size(); ++index) {
      RC_ASSERT(split[index] >= 0.0);
      owned[index] += split[index];
      own += split[index];
    }
    RC_ASSERT(std::abs(own - entry.slots) < 1e-6);
  }
  for (const double slots : owned) {
    RC_ASSERT(std::abs(slots - 8.0) < 1e-6);
  }
}

struct ZoneCase {
  const char* name;
  double part_of_a;
  double local_expected;
};

class ZoneSplitTest : public testing::TestWithParam<ZoneCase> {};

// Requests that leave their zone take 1 ms longer each way and are lost when the zones are
// partitioned from each other.
TEST_P(ZoneSplitTest, PlacesPartsInTheOwnZoneFirst) {
  const auto endpoints = EndpointsIn({0, 0, 1, 1, 2, 2});
  const double rest = (48.0 - GetParam().part_of_a) / 2;
  const std::vector<scheduling::EntryAllocation> entries{
      {EntryId{"a"}, Zone(0), GetParam().part_of_a},
      {EntryId{"b"}, Zone(1), rest},
      {EntryId{"c"}, Zone(2), rest}};
  const auto split = SplitSlots(endpoints, entries, EntryId{"a"});
  EXPECT_NEAR(split[0] + split[1], GetParam().local_expected, 1e-6);
}

INSTANTIATE_TEST_SUITE_P(Parts, ZoneSplitTest,
                         testing::Values(ZoneCase{"Less", 10.0, 10.0}, ZoneCase{"Even", 16.0, 16.0},
                                         ZoneCase{"More", 30.0, 16.0}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::load_balancing
