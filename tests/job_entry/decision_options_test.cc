#include "chervilspar/job_entry/decision_options.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct OptionsCase {
  const char* name;
  const char* text;
  /// The part that the reason names; null when the text is sound.
  const char* wrong;
};

class DecisionOptionsTable : public ::testing::TestWithParam<OptionsCase> {};

TEST_P(DecisionOptionsTable, NamesThePartThatIsWrong) {
  const Result<DecisionOptions> options = ParseDecisionOptions(GetParam().text);
  ASSERT_EQ(options.HasValue(), GetParam().wrong == nullptr);
  if (!options) {
    EXPECT_EQ(options.LastReason().field, GetParam().wrong);
    EXPECT_FALSE(options.LastReason().message.empty());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Texts, DecisionOptionsTable,
    ::testing::Values(OptionsCase{"empty", "", nullptr},
                      OptionsCase{"one_of_each_kind",
                                  "scheduler.lease=3s,sizer.usable=0.5,sizer.least_vms=2,"
                                  "sizer.avoids_dark_zones=off,entry.relays_records=off",
                                  nullptr},
                      OptionsCase{"unknown", "sizer.colour=1", "sizer.colour"},
                      OptionsCase{"no_value", "sizer.usable", "sizer.usable"},
                      OptionsCase{"no_number", "sizer.usable=much", "sizer.usable"},
                      OptionsCase{"negative", "sizer.least_vms=-1", "sizer.least_vms"},
                      OptionsCase{"fraction", "sizer.least_vms=1.5", "sizer.least_vms"},
                      OptionsCase{"no_span", "sizer.keep=long", "sizer.keep"},
                      OptionsCase{"no_switch", "scheduler.overload=1", "scheduler.overload"},
                      OptionsCase{"second_is_wrong", "sizer.usable=1,b=2", "b"}),
    [](const auto& info) { return info.param.name; });

TEST(DecisionOptions, ChangeOnlyWhatIsNamed) {
  DecisionOptions expected;
  expected.sizer.shrink_delay = std::chrono::seconds(3);
  expected.scheduler.plans_overload = false;
  const Result<DecisionOptions> options =
      ParseDecisionOptions("sizer.keep=3s,scheduler.overload=off");
  ASSERT_TRUE(options);
  EXPECT_EQ(*options, expected);
}

}  // namespace
}  // namespace chervilspar::job_entry
