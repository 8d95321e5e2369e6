#include "chervilspar/maintenance/planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet_view.h"
#include "step_review.h"
#include "wave_selector.h"
#include "wave_shape.h"

namespace chervilspar::maintenance {

namespace {

using config_log::Step;

/// Rounds of a stretched wave that are reserved for pools that end late. Steps differ in duration
/// by a factor of two, so the last pools end about one step apart; without this, a wave of eight
/// rounds with a stretch of 1.1 takes up to 1.27 times its lower bound.
constexpr double kTailRounds = 1.0;

/// Returns the width at which the wave ends within its stretched duration.
WaveTarget MakeTarget(const WaveShape& shape, double stretch) {
  WaveTarget target;
  const double lower_bound = std::max<std::uint32_t>(shape.LowerBound(), 1);
  target.rounds = std::max(lower_bound, stretch * lower_bound - kTailRounds);
  target.width = static_cast<std::uint32_t>(std::ceil(shape.Remaining() / target.rounds));
  return target;
}

/// Whether the move's date is too near to stretch the wave.
bool IsDateNear(const FleetView& view, const WaveShape& shape, const StepTimes& times) {
  const auto& move = view.state->inventory.move;
  if (!move || !shape.HasMoves()) {
    return false;
  }
  constexpr int kNearDateFactor = 2;
  return view.now + StepDuration(times) * shape.Rounds() * kNearDateFactor > move->date;
}

/// The id is unique: plans of one entry at one log offset never claim a VM for different steps, and
/// the offset has advanced once a step with this id has been folded.
StepId MakeStepId(const FleetView& view, const EntryId& self, const VmId& vm) {
  return StepId{self.text + "." + std::to_string(view.state->next_offset) + "." + vm.text};
}

Step MakeStep(const FleetView& view, const EntryId& self, const Selection& selection) {
  const VmView& vm = view.vms[selection.vm];
  Step step;
  step.id = MakeStepId(view, self, vm.vm->id);
  step.vm = vm.vm->id;
  step.action = selection.action;
  step.from_pool = vm.vm->pool;
  step.to_pool = selection.to_pool;
  step.executor = self;
  step.claimed_at = view.now;
  return step;
}

void SelectSteps(WaveSelector& selector, const StepReview& review) {
  if (review.IsViewStale()) {
    selector.AddWaits(WaitReason::kStaleView);
    return;
  }
  // Lost VMs are still replaced by spare VMs after the wave has stopped.
  selector.SelectSpareAssignments();
  if (review.IsWaveStopped()) {
    selector.AddWaits(WaitReason::kWaveStopped);
    return;
  }
  selector.SelectDue();
  selector.SelectReturns();
}

WaveState AssessWave(const Plan& plan, const StepReview& review, std::size_t held) {
  if (review.IsWaveStopped()) {
    return WaveState::kStopped;
  }
  return held > 0 || !plan.claims.empty() ? WaveState::kRunning : WaveState::kIdle;
}

}  // namespace

Planner::Planner(EntryId self, PlannerOptions options) : self(std::move(self)), options(options) {}

Plan Planner::MakePlan(const config_log::FleetState& state, const Observations& observations,
                       WallTime now) const {
  const FleetView view(state, observations, now, ViewMode::kObserved);
  const WaveShape shape(view);
  const StepReview review(view, observations);
  double stretch = ChooseStretch(state.inventory.maintenance.weights, this->options.max_stretch);
  if (IsDateNear(view, shape, observations.step_times)) {
    stretch = 1.0;
  }
  WaveSelector selector(view, shape, MakeTarget(shape, stretch));
  SelectSteps(selector, review);

  Plan plan;
  for (const Selection& selection : selector.TakeSelections()) {
    plan.claims.push_back(MakeStep(view, this->self, selection));
  }
  plan.waits = selector.TakeWaits();
  plan.withdrawals = review.Withdrawals();
  plan.take_overs = review.TakeOvers();
  plan.undrains = review.Undrains();
  plan.wave = AssessWave(plan, review, state.steps.size());
  plan.remaining_steps = shape.Remaining();
  plan.forecast = MakeForecast(view, shape, observations.step_times, stretch);
  plan.appends_claims =
      !observations.live_entries.empty() && *observations.live_entries.begin() == this->self;
  return plan;
}

}  // namespace chervilspar::maintenance
