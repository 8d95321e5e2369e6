#include "job_entry/vm_list_interval.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

using std::chrono::milliseconds;

struct PaceCase {
  const char* name;
  std::size_t vms;
  double link_rate;
  Duration least;
  Duration most;
};

class ListPace : public ::testing::TestWithParam<PaceCase> {};

/// Guards against a list of VMs that takes the link from starts and renewals, and against one so
/// old that waves stand still.
TEST_P(ListPace, FollowsTheListAndTheLink) {
  const Duration pace = VmListInterval(GetParam().vms, GetParam().link_rate);
  EXPECT_GE(pace, GetParam().least);
  EXPECT_LE(pace, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, ListPace,
    ::testing::Values(PaceCase{"none_known", 0, 1000, milliseconds(0), milliseconds(0)},
                      PaceCase{"small", 49, 1000, milliseconds(147), milliseconds(147)},
                      PaceCase{"wide_link", 1100, 200, milliseconds(1000), milliseconds(1000)},
                      PaceCase{"narrow_link", 130, 2, milliseconds(1500), milliseconds(2000)},
                      PaceCase{"narrowest_link", 350, 0.5, milliseconds(2000), milliseconds(2000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
