#include "jobs/expected_ends.h"

#include <algorithm>

namespace chervilspar::jobs {

std::optional<TimePoint> ExpectedEnds::RoomFor(const Resources& need, EndpointState& endpoint) {
  Resources free = endpoint.FreeCapacity();
  if (free.Fits(need)) {
    return this->now;
  }
  if (!endpoint.CapacityForBatch().Fits(need)) {
    return std::nullopt;
  }
  for (const ExpectedEnd& end : this->EndsOn(endpoint)) {
    free = free + end.capacity;
    if (free.Fits(need)) {
      return std::max(end.at, this->now);
    }
  }
  return std::nullopt;  // The rest is reserved for tasks that move there.
}

const std::vector<ExpectedEnd>& ExpectedEnds::EndsOn(EndpointState& endpoint) {
  if (endpoint.batch_ends) {
    return *endpoint.batch_ends;
  }
  std::vector<ExpectedEnd>& ends = endpoint.batch_ends.emplace();
  ends.reserve(endpoint.claims.size());
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    if (!ref.spec->is_long_running) {
      const std::int64_t estimate_ms = std::max(ref.spec->estimate_ms, kMinEstimateMs);
      ends.push_back(
          {ref.task->since + std::chrono::milliseconds(estimate_ms), RequiredCapacity(*ref.spec)});
    }
  }
  std::stable_sort(ends.begin(), ends.end(), [](const ExpectedEnd& one, const ExpectedEnd& other) {
    return one.at < other.at;
  });
  return ends;
}

}  // namespace chervilspar::jobs
