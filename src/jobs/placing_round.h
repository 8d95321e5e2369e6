#pragma once

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// One round of placing what waits in each pool.
///
/// The load that it answers: a queue that asks for more than its pool holds for some seconds. Those
/// that can still be on time go first, in the order of their latest start; late ones fill what is
/// left. Served oldest first, everybody is late as soon as the queue is longer than the slack.
class PlacingRound {
 public:
  PlacingRound(SchedulerState& state, TimePoint now, std::int64_t wall_ms)
      : state(state), placement(state), now(now), wall_ms(wall_ms) {}

  void Run();

 private:
  void PlacePool(PoolState& pool);
  enum class Which { kServedOnTime, kGivenUp, kAll };

  /// Places jobs from `begin` up to `end`; false when the round has to end.
  bool PlaceBetween(PoolState& pool, const ReadyKey& begin, const ReadyKey& end, Which which);
  /// Decides which jobs are served on time if not all can be.
  void PlanOverload(PoolState& pool);
  double WorkLeft(const JobState& job) const;
  /// False when something of the job found no room, although an endpoint could have it.
  bool PlaceJob(JobState& job);
  bool PlaceStep(JobState& job, std::uint32_t occurrence, std::uint32_t step);
  bool PlaceGang(const TaskRef& first);
  bool PlaceMembers(const TaskRef& first, std::uint64_t run,
                    const std::set<EndpointState*>& excluded);
  bool PlaceOnOneRack(const TaskRef& first, std::uint64_t run);
  bool PlaceTask(const TaskRef& ref, const std::set<EndpointState*>& excluded, std::uint64_t run);
  /// False when no endpoint of the pool could ever run the task as things are.
  bool KeepRoomFor(const TaskRef& ref);
  /// For those who ask why a job is late.
  void TellWait(JobState& job);
  bool NeedsAdvice(const TaskRef& ref) const;

  SchedulerState& state;
  Placement placement;
  const TimePoint now;
  const std::int64_t wall_ms;
  /// Endpoints kept free for jobs that found no room in this pool.
  std::set<EndpointState*> reserved;
  int misses = 0;
  /// What the job that was placed last waits for.
  WaitReason wait = WaitReason::kNone;
  /// Several jobs are kept room for, as one endpoint may stay busy for long.
  static constexpr std::size_t kMostReserved = 2;
};

}  // namespace chervilspar::jobs
