#include <algorithm>

#include "bench/wave_world.h"

namespace chervilspar::bench {

maintenance::Plan ProductStrategy::MakePlan(const EntryId& self,
                                            const config_log::FleetState& state,
                                            const maintenance::Observations& observations,
                                            WallTime now) {
  return maintenance::Planner(self, this->options).MakePlan(state, observations, now);
}

maintenance::Plan FixedWidthStrategy::MakePlan(const EntryId& self,
                                               const config_log::FleetState& state,
                                               const maintenance::Observations& observations,
                                               WallTime now) {
  maintenance::Plan plan;
  plan.appends_claims = *observations.live_entries.begin() == self;
  auto held = static_cast<std::uint32_t>(state.steps.size());
  for (const auto& [id, vm] : state.inventory.vms) {
    const config_log::VmStatus& status = state.vm_status.at(id);
    const bool is_due = now - status.last_maintained >= state.inventory.maintenance.every;
    if (!is_due || status.retired) {
      continue;
    }
    ++plan.remaining_steps;
    if (held >= this->width || !config_log::IsAvailable(state, id)) {
      continue;
    }
    config_log::Step step;
    step.id = StepId{self.text + "." + std::to_string(state.next_offset) + "." + id.text};
    step.vm = id;
    step.from_pool = vm.pool;
    step.executor = self;
    step.claimed_at = now;
    plan.claims.push_back(step);
    ++held;
  }
  return plan;
}

}  // namespace chervilspar::bench
