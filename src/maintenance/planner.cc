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

/// Rounds of a stretched wave that are left for its tail. Grounds: steps differ in length by a
/// factor of two, so the last pools end about one step apart; a wave of eight rounds that was
/// stretched by a tenth ended up to 1.27 times its lower bound without this.
constexpr double kTailRounds = 1.0;

/// The width at which the wave ends in its stretched time.
WaveTarget MakeTarget(const WaveShape& shape, double stretch) {
  WaveTarget target;
  const double least = std::max<std::uint32_t>(shape.LowerBound(), 1);
  target.rounds = std::max(least, stretch * least - kTailRounds);
  target.width = static_cast<std::uint32_t>(std::ceil(shape.Remaining() / target.rounds));
  return target;
}

/// Whether the move's date leaves no time to save buffer.
bool IsDatePressing(const FleetView& view, const WaveShape& shape, const StepTimes& times) {
  const auto& move = view.state->inventory.move;
  if (!move || !shape.HasMoves()) {
    return false;
  }
  constexpr int kPressingFactor = 2;
  return view.now + StepLength(times) * shape.Rounds() * kPressingFactor > move->date;
}

/// The id is unique: no two plans of one entry at one offset claim a VM for different steps, and
/// the offset has moved on once a step of this id has been folded.
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
    selector.WaitAll(WaitReason::kStaleView);
    return;
  }
  // Filling in for lost VMs is the repair and goes on when the wave has stopped.
  selector.SelectFills();
  if (review.IsWaveStopped()) {
    selector.WaitAll(WaitReason::kWaveStopped);
    return;
  }
  selector.SelectDue();
  selector.SelectReturns();
}

WaveState JudgeWave(const Plan& plan, const StepReview& review, std::size_t held) {
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
  if (IsDatePressing(view, shape, observations.step_times)) {
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
  plan.wave = JudgeWave(plan, review, state.steps.size());
  plan.remaining_steps = shape.Remaining();
  plan.forecast = MakeForecast(view, shape, observations.step_times, stretch);
  plan.appends_claims =
      !observations.live_entries.empty() && *observations.live_entries.begin() == this->self;
  return plan;
}

}  // namespace chervilspar::maintenance
