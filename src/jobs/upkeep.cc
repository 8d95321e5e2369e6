#include "chervilspar/jobs/upkeep.h"

#include <algorithm>
#include <tuple>

namespace chervilspar::jobs {

namespace {

/// At most this fraction of a pool's VMs is evacuated or down at once, so that a pool keeps most of
/// its capacity during a wave.
constexpr double kMaxPoolFraction = 0.25;

struct Candidate {
  const VmRecord* vm = nullptr;
  bool is_evacuating = false;
  /// The endpoint is empty, and its cordon keeps new work away.
  bool is_idle = false;
  bool has_long_running = false;
  double load = 0;
};

}  // namespace

const char* ToString(VmOrderOutcome outcome) {
  switch (outcome) {
    case VmOrderOutcome::kDone:
      return "done";
    case VmOrderOutcome::kTokenTooLow:
      return "token_too_low";
    case VmOrderOutcome::kBusy:
      return "busy";
    case VmOrderOutcome::kNotAllowed:
      return "not_allowed";
    case VmOrderOutcome::kRateLimited:
      return "too_many";
    case VmOrderOutcome::kNotSent:
      return "not_sent";
    case VmOrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

UpkeepPlan UpkeepPlanner::Plan(const Wave& wave, const WaveProgress& progress,
                               const std::vector<VmRecord>& vms, const UnavailableVms& unavailable,
                               const std::set<VmId>& evacuating,
                               const std::map<std::string, EndpointLoad>& loads) {
  UpkeepPlan plan;
  std::map<ServiceId, int> pool_size;
  std::map<ServiceId, int> away_in_pool;
  std::vector<Candidate> candidates;
  bool all_rebooted = true;
  std::set<VmId> down = unavailable.down;
  const std::set<VmId> wave_vms(wave.vms.begin(), wave.vms.end());
  for (const VmRecord& vm : vms) {
    ++pool_size[vm.pool];
    const bool is_away = unavailable.down.contains(vm.id) || evacuating.contains(vm.id);
    away_in_pool[vm.pool] += is_away ? 1 : 0;
    const bool is_in_wave = wave_vms.contains(vm.id);
    if (is_in_wave && vm.phase == VmPhase::kRebooting) {
      down.insert(vm.id);  // Also counts reboots that a previous owner ordered.
    }
    if (!is_in_wave || progress.rebooted.contains(vm.id)) {
      continue;
    }
    all_rebooted = false;
    if (vm.phase != VmPhase::kUp || unavailable.down.contains(vm.id) ||
        unavailable.moving.contains(vm.id) || unavailable.refused.contains(vm.id)) {
      continue;
    }
    const auto load = loads.find(vm.endpoint);
    const EndpointLoad endpoint_load = load == loads.end() ? EndpointLoad{} : load->second;
    candidates.push_back({&vm, evacuating.contains(vm.id),
                          endpoint_load.is_empty && endpoint_load.is_cordoned,
                          endpoint_load.has_long_running, endpoint_load.pool_load});
    if (!vm.endpoint.empty()) {
      plan.due.insert(vm.endpoint);
    }
  }
  plan.is_complete = all_rebooted && !vms.empty();
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.is_evacuating, !a.is_idle, !a.has_long_running, a.load) <
           std::tuple(!b.is_evacuating, !b.is_idle, !b.has_long_running, b.load);
  });
  std::size_t away_count = down.size();
  for (const Candidate& candidate : candidates) {
    const VmRecord& vm = *candidate.vm;
    if (away_count >= wave.max_down) {
      break;
    }
    const auto load = loads.find(vm.endpoint);
    const bool has_no_endpoint = vm.endpoint.empty();
    const int max_away = std::max(1, static_cast<int>(pool_size[vm.pool] * kMaxPoolFraction));
    if (!candidate.is_evacuating && !has_no_endpoint && away_in_pool[vm.pool] >= max_away) {
      continue;
    }
    ++away_count;
    away_in_pool[vm.pool] += candidate.is_evacuating ? 0 : 1;
    if (has_no_endpoint ||
        (candidate.is_evacuating && load != loads.end() && load->second.is_empty)) {
      plan.reboot.push_back(vm.id);
    } else {
      plan.evacuate.push_back(vm.endpoint);
    }
  }
  return plan;
}

}  // namespace chervilspar::jobs
