#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "scenario.h"

namespace chervilspar::scenario {

namespace json = boost::json;

void Scenario::AddNetworkWords() {
  const auto between = [](const std::string& left, const std::string& right) {
    return std::vector<std::string>{FleetPlan::GroupOf(left, right),
                                    FleetPlan::GroupOf(right, left)};
  };
  this->vocabulary.Add("cut zone <zone> from platform", [this](const Arguments& a) {
    return this->SwitchRelay("cut", {FleetPlan::GroupOf(a[0], "platform")}, 0);
  });
  this->vocabulary.Add("cut zone <zone> from zone <zone>", [this, between](const Arguments& a) {
    return this->SwitchRelay("cut", between(a[0], a[1]), 0);
  });
  this->vocabulary.Add("cut zone <zone> from everything", [this](const Arguments& a) {
    return this->SwitchRelay("cut", this->GroupsOf(a[0]), 0);
  });
  this->vocabulary.Add("heal zone <zone>", [this](const Arguments& a) {
    return this->SwitchRelay("heal", this->GroupsOf(a[0]), 0);
  });
  this->vocabulary.Add("delay zone <zone> from zone <zone> by <milliseconds>",
                       [this, between](const Arguments& a) -> Status {
                         const Result<std::int64_t> delay = ParseCount(a[2]);
                         return delay ? this->SwitchRelay("delay", between(a[0], a[1]), *delay)
                                      : delay.LastReason();
                       });
}

std::vector<std::string> Scenario::GroupsOf(const std::string& zone) const {
  std::vector<std::string> groups = {FleetPlan::GroupOf(zone, "platform")};
  for (const auto& [other, unused] : this->fleet->Plan().inventory.zones) {
    if (other.text != zone) {
      groups.push_back(FleetPlan::GroupOf(zone, other.text));
      groups.push_back(FleetPlan::GroupOf(other.text, zone));
    }
  }
  return groups;
}

Status Scenario::SwitchRelay(const std::string& what, const std::vector<std::string>& groups,
                             std::int64_t delay_ms) {
  json::array names;
  for (const std::string& group : groups) {
    names.push_back(json::string(group));
  }
  const json::object switches{{what, names}, {"delay_ms", delay_ms}};
  return this->fleet->Control("relay", json::serialize(switches));
}

}  // namespace chervilspar::scenario
