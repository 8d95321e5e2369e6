#include "job_entry/pool_sizes_log.h"

#include <map>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

void PoolSizesLog::LogIfChanged(const std::vector<jobs::SizerVm>& vms, const ServiceId& standby) {
  std::map<ServiceId, int> sizes;
  for (const jobs::SizerVm& vm : vms) {
    if (vm.pool != standby) {
      sizes[vm.pool] += vm.is_serving && !vm.is_cordoned ? 1 : 0;
    }
  }
  std::string text;
  std::string use;
  std::string reasons;
  for (const auto& [pool, count] : sizes) {
    const char* const separator = text.empty() ? "" : " ";
    text += separator + pool.text + "=" + std::to_string(count) + "/" +
            std::to_string(this->sizer.TargetSize(pool));
    use += separator + pool.text + "=" + this->UseText(pool);
    reasons += separator + pool.text + "=" + jobs::ToString(this->sizer.NeedReason(pool));
  }
  if (text == this->last_logged) {
    return;
  }
  this->last_logged = text;
  LogEvent(telemetry::LogLevel::kInfo, "pool_sizes",
           "serving and wanted VMs of each pool; CPU and memory use",
           {{"pools", text}, {"use", use}, {"reasons", reasons}});
}

std::string PoolSizesLog::UseText(const ServiceId& pool) const {
  const jobs::Resources used = this->scheduler.UsedIn(pool);
  const jobs::Resources capacity = this->scheduler.CapacityOf(pool);
  const auto percent = [](std::int64_t part, std::int64_t whole) {
    return std::to_string(whole > 0 ? 100 * part / whole : 0) + "%";
  };
  return percent(used.cpu, capacity.cpu) + "/" + percent(used.memory_mb, capacity.memory_mb);
}

}  // namespace chervilspar::job_entry
