#include "chervilspar/platform/vm_list_filter.h"

#include <string>

#include <gtest/gtest.h>

namespace chervilspar::platform {
namespace {

VmList List(std::int64_t sequence, std::vector<ListedVm> vms) {
  return {sequence, WallTime(std::chrono::seconds(sequence)), std::move(vms)};
}

ListedVm Vm(const std::string& id, VmState state) { return {VmId{id}, state, "10.0.0.1:80"}; }

const std::set<VmId> kKnown = {VmId{"a"}, VmId{"b"}};

struct FilterCase {
  std::string name;
  VmList second;
  VmList expected;
  std::vector<VmListFinding> findings;
};

class VmListFilterTest : public testing::TestWithParam<FilterCase> {};

// Answers of the platform may arrive out of order, list a VM twice or contain a VM that isn't in
// the inventory. If a leaving VM appeared live again, it would receive work that its reboot then
// interrupts.
TEST_P(VmListFilterTest, NeverGoesBackwards) {
  VmListFilter filter;
  const VmList first = List(5, {Vm("a", VmState::kLeaving), Vm("b", VmState::kLive)});
  EXPECT_EQ(filter.Apply(first, kKnown), (FilteredVmList{first, {}}));
  const FilteredVmList second = filter.Apply(GetParam().second, kKnown);
  EXPECT_EQ(second.list, GetParam().expected);
  EXPECT_EQ(second.findings, GetParam().findings);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, VmListFilterTest,
    testing::Values(FilterCase{"Backwards",
                               List(4, {Vm("a", VmState::kLive), Vm("b", VmState::kLive)}),
                               List(5, {Vm("a", VmState::kLeaving), Vm("b", VmState::kLive)}),
                               {{VmListFault::kWentBackwards, {}}}},
                    FilterCase{"SameSequenceOtherList",
                               List(5, {Vm("a", VmState::kLive)}),
                               List(5, {Vm("a", VmState::kLeaving), Vm("b", VmState::kLive)}),
                               {{VmListFault::kChangedWithoutSequence, {}}}},
                    FilterCase{
                        "SequenceReset",
                        VmList{1, WallTime(std::chrono::seconds(9)), {Vm("b", VmState::kLeaving)}},
                        VmList{1, WallTime(std::chrono::seconds(9)), {Vm("b", VmState::kLeaving)}},
                        {{VmListFault::kSequenceReset, {}}}},
                    FilterCase{"Repeated",
                               List(6, {Vm("a", VmState::kLeaving), Vm("a", VmState::kLive)}),
                               List(6, {Vm("a", VmState::kLeaving)}),
                               {{VmListFault::kRepeatedVm, VmId{"a"}}}},
                    FilterCase{"Unknown",
                               List(6, {Vm("x", VmState::kLive), Vm("b", VmState::kLive)}),
                               List(6, {Vm("b", VmState::kLive)}),
                               {{VmListFault::kUnknownVm, VmId{"x"}}}}),
    [](const testing::TestParamInfo<FilterCase>& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::platform
