#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "scenario.h"

namespace chervilspar::scenario {

namespace json = boost::json;

void Scenario::AddMaintenanceWords() {
  this->vocabulary.Add("set maintenance every <time>", [this](const Arguments& a) -> Status {
    const Result<Duration> every = ParseSpan(a[0]);
    if (!every) {
      return every.LastReason();
    }
    this->fleet->Plan().inventory.maintenance.every = *every;
    return Done{};
  });
  this->vocabulary.Add("set budget <pool> <count>", [this](const Arguments& a) -> Status {
    const Result<std::int64_t> count = ParseCount(a[1]);
    if (!count) {
      return count.LastReason();
    }
    this->fleet->Plan().inventory.pools.at(PoolId{a[0]}).min_available =
        static_cast<std::uint32_t>(*count);
    return Done{};
  });
  this->vocabulary.Add("set move <vm> to <pool> by <time>", [this](const Arguments& a) -> Status {
    const Result<Duration> by = ParseSpan(a[2]);
    if (!by) {
      return by.LastReason();
    }
    auto& move = this->fleet->Plan().inventory.move;
    if (!move) {
      move.emplace();
    }
    move->leave_site = SiteId{"old"};
    move->date = SystemClock().WallNow() + *by;
    move->targets.push_back({VmId{a[0]}, PoolId{a[1]}});
    return Done{};
  });
  this->vocabulary.Add("expect reboots at least <count>", [this](const Arguments& a) -> Status {
    const Result<std::int64_t> least = ParseCount(a[0]);
    return least ? this->ExpectReboots(*least) : least.LastReason();
  });
}

/// Counts the reboots that VMs went through by the platform's word.
Status Scenario::ExpectReboots(std::int64_t least) {
  const Result<std::string> report = this->fleet->VmListReport();
  if (!report) {
    return report.LastReason();
  }
  boost::system::error_code error;
  const json::value vms = json::parse(*report, error);
  std::int64_t reboots = 0;
  if (!error && vms.is_object()) {
    for (const auto& vm : vms.get_object()) {
      reboots += vm.value().at("boot").as_int64() - 1;
    }
  }
  if (reboots < least) {
    return Reason{ErrorCode::kUnavailable, "", "only " + std::to_string(reboots) + " reboots"};
  }
  return Done{};
}

}  // namespace chervilspar::scenario
