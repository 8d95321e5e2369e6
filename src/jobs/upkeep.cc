#include "chervilspar/jobs/upkeep.h"

#include <algorithm>
#include <tuple>

namespace chervilspar::jobs {

namespace {

/// At most this part of a pool's VMs is emptied or down at once, so that a pool keeps most of its
/// room during a wave.
constexpr double kMostOfPool = 0.25;

struct Candidate {
  const VmRecord* vm = nullptr;
  bool is_evacuating = false;
  /// Empty, and nothing would be started there anyway.
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
                               const std::vector<VmRecord>& vms, const UnavailableVms& absent,
                               const std::set<VmId>& evacuating,
                               const std::map<std::string, EndpointLoad>& loads) {
  UpkeepPlan step;
  std::map<ServiceId, int> pool_size;
  std::map<ServiceId, int> pool_away;
  std::vector<Candidate> candidates;
  bool all_done = true;
  std::set<VmId> down = absent.down;
  const std::set<VmId> named(wave.vms.begin(), wave.vms.end());
  for (const VmRecord& vm : vms) {
    ++pool_size[vm.pool];
    const bool is_away = absent.down.contains(vm.id) || evacuating.contains(vm.id);
    pool_away[vm.pool] += is_away ? 1 : 0;
    const bool is_named = named.contains(vm.id);
    if (is_named && vm.phase == VmPhase::kRebooting) {
      down.insert(vm.id);  // ordered by a predecessor, too
    }
    if (!is_named || progress.rebooted.contains(vm.id)) {
      continue;
    }
    all_done = false;
    if (vm.phase != VmPhase::kUp || absent.down.contains(vm.id) || absent.moving.contains(vm.id) ||
        absent.refused.contains(vm.id)) {
      continue;
    }
    const auto load = loads.find(vm.endpoint);
    const EndpointLoad known = load == loads.end() ? EndpointLoad{} : load->second;
    candidates.push_back({&vm, evacuating.contains(vm.id), known.is_empty && known.is_cordoned,
                          known.has_long_running, known.pool_load});
    if (!vm.endpoint.empty()) {
      step.due.insert(vm.endpoint);
    }
  }
  step.is_complete = all_done && !vms.empty();
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple(!a.is_evacuating, !a.is_idle, !a.has_long_running, a.load) <
           std::tuple(!b.is_evacuating, !b.is_idle, !b.has_long_running, b.load);
  });
  std::size_t away = down.size();
  for (const Candidate& candidate : candidates) {
    const VmRecord& vm = *candidate.vm;
    if (away >= wave.max_down) {
      break;
    }
    const auto load = loads.find(vm.endpoint);
    const bool is_idle = vm.endpoint.empty();
    const int most = std::max(1, static_cast<int>(pool_size[vm.pool] * kMostOfPool));
    if (!candidate.is_evacuating && !is_idle && pool_away[vm.pool] >= most) {
      continue;
    }
    ++away;
    pool_away[vm.pool] += candidate.is_evacuating ? 0 : 1;
    if (is_idle || (candidate.is_evacuating && load != loads.end() && load->second.is_empty)) {
      step.reboot.push_back(vm.id);
    } else {
      step.evacuate.push_back(vm.endpoint);
    }
  }
  return step;
}

}  // namespace chervilspar::jobs
