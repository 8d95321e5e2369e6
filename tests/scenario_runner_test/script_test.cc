#include "tests/scenario_runner/script.h"

#include <gtest/gtest.h>

namespace chervilspar::scenario {
namespace {

Vocabulary Small() {
  Vocabulary vocabulary;
  vocabulary.Add("fleet ...", [](const Arguments&) { return Status(Done{}); });
  vocabulary.Add("kill entry <entry>", [](const Arguments&) { return Status(Done{}); });
  return vocabulary;
}

struct ScriptCase {
  std::string name;
  std::string text;
  /// Where the fault is said to be; empty for a sound script.
  std::string place;
};

class ScriptTest : public testing::TestWithParam<ScriptCase> {};

// A misspelt line that was skipped would leave out the failure that a scenario is about, and the
// scenario would pass for that reason. So a script with a word that isn't known does not run.
TEST_P(ScriptTest, FaultsNameTheirLine) {
  const Result<std::vector<ScriptLine>> script = ParseScript(GetParam().text);
  const Status status = script ? Small().Check(*script) : Status(script.LastReason());
  EXPECT_EQ(status ? "" : status.LastReason().field, GetParam().place);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ScriptTest,
    testing::Values(ScriptCase{"Sound", "# about\nfleet zones 3\nat 2s kill entry e1\n", ""},
                    ScriptCase{"Together", "fleet\ntogether kill entry e1 | kill entry e2", ""},
                    ScriptCase{"Within", "fleet\nkill entry e1 within 3s", ""},
                    ScriptCase{"NoFleet", "kill entry e1", "line 1"},
                    ScriptCase{"Misspelt", "fleet\n\nkil entry e1", "line 3"},
                    ScriptCase{"TooFewWords", "fleet\nkill entry", "line 2"},
                    ScriptCase{"TooManyWords", "fleet\nkill entry e1 now", "line 2"},
                    ScriptCase{"BadTime", "fleet\nat soon kill entry e1", "line 2"},
                    ScriptCase{"BadSpan", "fleet\nkill entry e1 within 3h", "line 2"},
                    ScriptCase{"EmptyPart", "fleet\ntogether kill entry e1 |", "line 2"}),
    [](const testing::TestParamInfo<ScriptCase>& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::scenario
