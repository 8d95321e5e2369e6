#include "jobs/placing_round.h"

namespace chervilspar::jobs {

bool PlacingRound::PlaceGang(const TaskRef& first) {
  std::uint64_t run = 0;
  std::string checkpoint;
  Resources need;
  for (const Task& member : first.step->tasks) {
    if (!member.IsWaiting() || member.not_before > this->now) {
      return true;  // Its last run has not ended on all endpoints.
    }
    run = std::max(run, member.progress.run);
    if (checkpoint.empty()) {
      checkpoint = member.progress.checkpoint;
    }
    need = need + first.spec->need;
  }
  if (!this->state.IsWithinCap(*first.job, need)) {
    return true;
  }
  for (Task& member : first.step->tasks) {
    member.progress.checkpoint = checkpoint;
  }
  HeldEndpoints::Filter filter = this->held.FilterFor(first, this->IsLate(*first.job));
  if (first.spec->prefers_one_rack && this->PlaceOnOneRack(first, run + 1, filter)) {
    return true;
  }
  const bool may_spread = !first.spec->prefers_one_rack ||
                          (first.job->ready && first.job->ready->latest_start_ms < this->wall_ms) ||
                          !this->placement.CouldHoldOnOneRack(first, this->now);
  if (may_spread && this->PlaceMembers(first, run + 1, filter)) {
    return true;
  }
  this->refusal = filter.FindRefusal();
  return false;
}

bool PlacingRound::PlaceMembers(const TaskRef& first, std::uint64_t run, EndpointFilter& filter) {
  std::vector<TaskRef> placed;
  for (std::uint32_t i = 0; i < first.step->tasks.size(); ++i) {
    TaskKey key = first.key;
    key.index = i;
    const TaskRef member = this->state.Find(key);
    if (!this->PlaceTask(member, filter, run)) {
      for (const TaskRef& earlier : placed) {
        this->state.Release(earlier);
      }
      return false;
    }
    placed.push_back(member);
  }
  return true;
}

bool PlacingRound::PlaceOnOneRack(const TaskRef& first, std::uint64_t run, EndpointFilter& filter) {
  const PoolState& pool = this->state.pools.at(first.job->service);
  std::set<std::string> racks;
  for (const EndpointState* endpoint : pool.endpoints) {
    racks.insert(endpoint->record.rack);
  }
  for (const std::string& rack : racks) {
    OnRack on_rack(rack, filter);
    if (this->PlaceMembers(first, run, on_rack)) {
      return true;
    }
  }
  return false;
}

}  // namespace chervilspar::jobs
