#include "jobs/filler_throttle.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// Ratio of response time to target above which fillers are slowed down, and below which they are
/// sped up. The gap avoids oscillation from the variance of response times over half a second.
constexpr double kThrottleAbove = 0.85;
constexpr double kRecoverBelow = 0.65;
constexpr double kDecreaseFactor = 0.5;
constexpr int kIncreaseStepPercent = 10;
/// Below this speed a filler makes little progress but still slows down its neighbours, so it is
/// halted.
constexpr int kMinSpeedPercent = 10;
constexpr int kFullSpeedPercent = 100;

}  // namespace

double FillerThrottle::WorstLoad(const EndpointState& endpoint) const {
  double worst = 0;
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    const bool is_serving = ref.spec->target_ms > 0 && !ref.spec->is_filler;
    if (is_serving && ref.task->state == RunState::kActive) {
      worst = std::max(
          worst, static_cast<double>(ref.task->gauge) / static_cast<double>(ref.spec->target_ms));
    }
  }
  return worst;
}

void FillerThrottle::Review(EndpointState& endpoint) {
  const double load = this->WorstLoad(endpoint);
  if (load > kThrottleAbove) {
    endpoint.speed_percent = static_cast<int>(endpoint.speed_percent * kDecreaseFactor);
    endpoint.speed_percent = endpoint.speed_percent < kMinSpeedPercent ? 0 : endpoint.speed_percent;
  } else if (load < kRecoverBelow) {
    endpoint.speed_percent =
        std::min(endpoint.speed_percent + kIncreaseStepPercent, kFullSpeedPercent);
  }
  this->Order(endpoint, load >= kRecoverBelow && load <= kThrottleAbove);
}

void FillerThrottle::Order(EndpointState& endpoint, bool is_steady) {
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    Task& task = *ref.task;
    // In the steady state, an unknown speed needs no change.
    const bool is_speed_set =
        task.speed_percent ? *task.speed_percent == endpoint.speed_percent : is_steady;
    if (!ref.spec->is_filler || task.state != RunState::kActive || is_speed_set) {
      continue;
    }
    task.speed_percent = endpoint.speed_percent;
    this->state.paces.push_back({endpoint.record.id, endpoint.record.address, key,
                                 task.progress.run, endpoint.speed_percent, endpoint.order_token});
  }
}

/// If the order that halts a filler were lost and taken as executed, no other would follow, as no
/// speed is lower, and the filler would slow down its neighbour for as long as both run.
void FillerThrottle::OnAnswered(const ThrottleOrder& order, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->state.OnTokenTooLow(order.endpoint, order.token);
  }
  const TaskRef ref = this->state.Find(order.task);
  const bool is_newest =
      ref && ref.task->endpoint != nullptr && ref.task->endpoint->record.id == order.endpoint &&
      ref.task->progress.run == order.run && ref.task->speed_percent == order.percent;
  if (is_newest && outcome != OrderOutcome::kDone) {
    ref.task->speed_percent.reset();
  }
}

}  // namespace chervilspar::jobs
