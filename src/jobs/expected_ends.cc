#include "jobs/expected_ends.h"

#include <algorithm>

namespace chervilspar::jobs {

void ExpectedEnds::Begin(const PoolState& pool) {
  this->known.assign(pool.endpoints.size(), std::nullopt);
}

std::optional<TimePoint> ExpectedEnds::RoomFor(const Resources& need,
                                               const EndpointState& endpoint) {
  Resources free = endpoint.FreeCapacity();
  if (free.Fits(need)) {
    return this->now;
  }
  if (!endpoint.CapacityForBatch().Fits(need)) {
    return std::nullopt;
  }
  for (const End& end : this->EndsOn(endpoint)) {
    free = free + end.capacity;
    if (free.Fits(need)) {
      return end.at;
    }
  }
  return std::nullopt;  // The rest is reserved for tasks that move there.
}

const std::vector<ExpectedEnds::End>& ExpectedEnds::EndsOn(const EndpointState& endpoint) {
  std::optional<EndpointEnds>& entry = this->known[endpoint.position];
  if (entry && entry->claims == endpoint.claims.size()) {
    return entry->ends;
  }
  entry.emplace(EndpointEnds{endpoint.claims.size(), {}});
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    if (!ref.spec->is_long_running) {
      const std::int64_t estimate_ms = std::max(ref.spec->estimate_ms, kMinEstimateMs);
      const TimePoint end = ref.task->since + std::chrono::milliseconds(estimate_ms);
      entry->ends.push_back({std::max(end, this->now), RequiredCapacity(*ref.spec)});
    }
  }
  std::stable_sort(entry->ends.begin(), entry->ends.end(),
                   [](const End& one, const End& other) { return one.at < other.at; });
  return entry->ends;
}

}  // namespace chervilspar::jobs
