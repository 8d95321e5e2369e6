#include "chervilspar/maintenance/date_forecast.h"

#include <algorithm>
#include <cmath>

#include "chervilspar/maintenance/planner.h"

#include "wave_shape.h"

namespace chervilspar::maintenance {

namespace {

/// Factor on the estimated rounds that a move needs for its date to count as met: steps differ in
/// duration, and zone and rack limits make a step wait for the next round.
constexpr double kDateMargin = 1.25;

Duration RoundsToDuration(double rounds, const StepTimes& times) {
  const double length = static_cast<double>(StepDuration(times).count()) * rounds;
  return Duration(static_cast<Duration::rep>(std::llround(length)));
}

DateVerdict AssessDate(const WaveShape& shape, WallTime earliest, WallTime date) {
  if (!shape.MovesCanEnd()) {
    return DateVerdict::kNever;
  }
  if (!shape.HasMoves()) {
    return DateVerdict::kMet;
  }
  return earliest <= date ? DateVerdict::kMet : DateVerdict::kTooEarly;
}

}  // namespace

DateForecast MakeForecast(const FleetView& view, const WaveShape& shape, const StepTimes& times,
                          double stretch) {
  DateForecast forecast;
  forecast.lower_bound = RoundsToDuration(shape.LowerBound(), times);
  forecast.blocked_pools = shape.BlockedPools();
  if (shape.Remaining() > 0 && shape.BlockedPools().empty()) {
    forecast.expected_end = view.now + RoundsToDuration(shape.Rounds() * stretch, times);
  }
  const auto& move = view.state->inventory.move;
  if (!move) {
    return forecast;
  }
  const Duration move_time = RoundsToDuration(std::ceil(shape.MoveRounds() * kDateMargin), times);
  const WallTime earliest = view.now + move_time;
  if (shape.MovesCanEnd()) {
    forecast.earliest_date = earliest;
  }
  forecast.verdict = AssessDate(shape, earliest, move->date);
  return forecast;
}

DateForecast ForecastDate(const config_log::FleetState& state, const StepTimes& times,
                          WallTime now) {
  const FleetView view(state, Observations(), now, ViewMode::kDeclared);
  const WaveShape shape(view);
  const double stretch =
      ChooseStretch(state.inventory.maintenance.weights, PlannerOptions().max_stretch);
  return MakeForecast(view, shape, times, stretch);
}

}  // namespace chervilspar::maintenance
