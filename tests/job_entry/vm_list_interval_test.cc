#include "job_entry/vm_list_interval.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

using std::chrono::milliseconds;

struct IntervalCase {
  const char* name;
  std::size_t vms;
  double link_rate;
  Duration min;
  Duration max;
};

class ListInterval : public ::testing::TestWithParam<IntervalCase> {};

/// The VM list must not take the link's bandwidth from starts and renewals, nor become so old that
/// waves stall.
TEST_P(ListInterval, FollowsTheListAndTheLink) {
  const Duration interval = VmListInterval(GetParam().vms, GetParam().link_rate);
  EXPECT_GE(interval, GetParam().min);
  EXPECT_LE(interval, GetParam().max);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, ListInterval,
    ::testing::Values(IntervalCase{"none_known", 0, 1000, milliseconds(0), milliseconds(0)},
                      IntervalCase{"small", 49, 1000, milliseconds(147), milliseconds(147)},
                      IntervalCase{"wide_link", 1100, 200, milliseconds(1000), milliseconds(1000)},
                      IntervalCase{"narrow_link", 130, 2, milliseconds(1500), milliseconds(2000)},
                      IntervalCase{"narrowest_link", 350, 0.5, milliseconds(2000),
                                   milliseconds(2000)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
