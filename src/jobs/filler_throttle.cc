#include "jobs/filler_throttle.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// Response time over target above which fillers are slowed down, and below which they get some
/// speed back. The gap keeps the pace from swinging with the noise of a half-second figure.
constexpr double kTooNear = 0.85;
constexpr double kFarEnough = 0.65;
constexpr double kCut = 0.5;
constexpr int kStepUp = 10;
/// Below this a filler does next to nothing and still disturbs: it is halted.
constexpr int kLeastPace = 10;
constexpr int kFullPace = 100;

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
  if (load > kTooNear) {
    endpoint.pace = static_cast<int>(endpoint.pace * kCut);
    endpoint.pace = endpoint.pace < kLeastPace ? 0 : endpoint.pace;
  } else if (load < kFarEnough) {
    endpoint.pace = std::min(endpoint.pace + kStepUp, kFullPace);
  }
  this->Order(endpoint, load >= kFarEnough && load <= kTooNear);
}

void FillerThrottle::Order(EndpointState& endpoint, bool is_load_right) {
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    Task& task = *ref.task;
    // Where the load is right, so is a pace that isn't known.
    const bool is_paced = task.pace ? *task.pace == endpoint.pace : is_load_right;
    if (!ref.spec->is_filler || task.state != RunState::kActive || is_paced) {
      continue;
    }
    task.pace = endpoint.pace;
    this->state.paces.push_back({endpoint.record.id, endpoint.record.address, key,
                                 task.progress.run, endpoint.pace, this->state.token});
  }
}

/// What can go wrong: the order that halts a filler is lost, no other follows as none is slower,
/// and the filler disturbs its neighbour for as long as both run.
void FillerThrottle::OnAnswered(const ThrottleOrder& order, OrderOutcome outcome) {
  this->state.is_superseded = this->state.is_superseded || outcome == OrderOutcome::kTokenTooLow;
  const TaskRef ref = this->state.Find(order.task);
  const bool is_newest = ref && ref.task->endpoint != nullptr &&
                         ref.task->endpoint->record.id == order.endpoint &&
                         ref.task->progress.run == order.run && ref.task->pace == order.percent;
  if (is_newest && outcome != OrderOutcome::kDone) {
    ref.task->pace.reset();
  }
}

}  // namespace chervilspar::jobs
