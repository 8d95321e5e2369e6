#include "scheduling/team_queue.h"

namespace chervilspar::scheduling {

std::uint32_t TeamQueue::WaitingCount() const {
  std::size_t count = 0;
  for (const LaneQueue& lane : this->lanes) {
    count += lane.tickets.size();
  }
  return static_cast<std::uint32_t>(count);
}

Duration TeamQueue::WaitingCost() const {
  Duration cost = Duration::zero();
  for (const LaneQueue& lane : this->lanes) {
    cost += lane.cost;
  }
  return cost;
}

}  // namespace chervilspar::scheduling
