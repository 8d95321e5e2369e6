#include "chervilspar/job_entry/decision_options.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct OptionsCase {
  const char* name;
  const char* text;
  /// The option that the reason names; null if the text is valid.
  const char* invalid_option;
};

class DecisionOptionsTable : public ::testing::TestWithParam<OptionsCase> {};

TEST_P(DecisionOptionsTable, NamesTheInvalidOption) {
  const Result<DecisionOptions> options = ParseDecisionOptions(GetParam().text);
  ASSERT_EQ(options.HasValue(), GetParam().invalid_option == nullptr);
  if (!options) {
    EXPECT_EQ(options.LastReason().field, GetParam().invalid_option);
    EXPECT_FALSE(options.LastReason().message.empty());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Texts, DecisionOptionsTable,
    ::testing::Values(OptionsCase{"empty", "", nullptr},
                      OptionsCase{"one_of_each_type",
                                  "scheduler.lease=3s,sizer.usable=0.5,sizer.least_vms=2,"
                                  "sizer.avoids_dark_zones=off,entry.relays_records=off",
                                  nullptr},
                      OptionsCase{"unknown", "sizer.colour=1", "sizer.colour"},
                      OptionsCase{"no_value", "sizer.usable", "sizer.usable"},
                      OptionsCase{"not_a_number", "sizer.usable=much", "sizer.usable"},
                      OptionsCase{"negative", "sizer.least_vms=-1", "sizer.least_vms"},
                      OptionsCase{"fraction", "sizer.least_vms=1.5", "sizer.least_vms"},
                      OptionsCase{"not_a_duration", "sizer.move_cost=long", "sizer.move_cost"},
                      OptionsCase{"not_a_boolean", "scheduler.overload=1", "scheduler.overload"},
                      OptionsCase{"second_is_invalid", "sizer.usable=1,b=2", "b"}),
    [](const auto& info) { return info.param.name; });

TEST(DecisionOptions, ChangeOnlyWhatIsNamed) {
  DecisionOptions expected;
  expected.sizer.move_cost = std::chrono::seconds(4);
  expected.scheduler.plans_overload = false;
  const Result<DecisionOptions> options =
      ParseDecisionOptions("sizer.move_cost=4s,scheduler.overload=off");
  ASSERT_TRUE(options);
  EXPECT_EQ(*options, expected);
}

}  // namespace
}  // namespace chervilspar::job_entry
