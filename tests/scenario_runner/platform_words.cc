#include "scenario.h"

namespace chervilspar::scenario {

void Scenario::AddPlatformWords() {
  const auto add = [this](const std::string& pattern, const std::string& standin,
                          const std::string& switches) {
    this->vocabulary.Add(pattern, [this, standin, switches](const Arguments&) {
      return this->fleet->Control(standin, switches);
    });
  };
  add("log outage", "log", R"({"outage":true})");
  add("log back", "log", R"({"outage":false})");
  add("log loses answers", "log", R"({"lose_answers":true})");
  add("log answers", "log", R"({"lose_answers":false})");
  add("vmlist outage", "vmlist", R"({"outage":true})");
  add("vmlist back", "vmlist", R"({"outage":false})");
  add("vmlist repeats itself", "vmlist", R"({"odd":"repeat"})");
  add("vmlist goes backwards", "vmlist", R"({"odd":"backwards"})");
  add("vmlist names unknown", "vmlist", R"({"odd":"unknown"})");
  add("vmlist sound", "vmlist", R"({"odd":"none"})");
  const auto add_count = [this](const std::string& pattern, const std::string& standin,
                                const std::string& name) {
    this->vocabulary.Add(pattern, [this, standin, name](const Arguments& a) -> Status {
      const Result<std::int64_t> count = ParseCount(a[0]);
      return count ? this->fleet->Control(standin,
                                          R"({")" + name + R"(":)" + std::to_string(*count) + "}")
                   : count.LastReason();
    });
  };
  add_count("log slow <milliseconds>", "log", "slow_ms");
  add_count("log retains <records>", "log", "retain");
  add_count("vmlist lag <milliseconds>", "vmlist", "lag_ms");
  add_count("reboots take <milliseconds>", "vmlist", "reboot_ms");
}

}  // namespace chervilspar::scenario
