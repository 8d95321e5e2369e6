#pragma once

#include "jobs/endpoint_filter.h"
#include "jobs/held_endpoints.h"
#include "jobs/placement.h"
#include "jobs/scheduler_state.h"
#include "jobs/unplaced_tasks.h"

namespace chervilspar::jobs {

/// One round of placing the waiting tasks of each pool.
///
/// When the demand of a queue exceeds its pool for some seconds, jobs that can still meet their
/// deadlines go first, in the order of their latest start, and late jobs take the remaining
/// capacity. Oldest first would make every job late as soon as the queue is longer than the slack.
/// With `SchedulerOptions::divides_shares`, on-time jobs within their account's share go before
/// those beyond it.
class PlacingRound {
 public:
  PlacingRound(SchedulerState& state, TimePoint now, std::int64_t wall_ms)
      : state(state),
        placement(state),
        held(state, this->placement, now, wall_ms),
        now(now),
        wall_ms(wall_ms) {}

  void Run();
  /// For each step with tasks that found no free capacity, the first of them, in the order of
  /// placing. Only filled if `SchedulerOptions::preempts`.
  const std::vector<TaskKey>& BlockedTasks() const { return this->blocked; }

 private:
  void PlacePool(PoolState& pool);
  enum class JobFilter { kExpectedOnTime, kWithinShare, kBeyondShare, kAbandoned, kAll };

  bool IsSelected(const JobState& job, JobFilter filter) const;
  /// Places the jobs that are expected to be on time. False if the round has to end.
  bool PlaceOnTime(PoolState& pool, const std::vector<std::uint32_t>& ranks, JobFilter filter);

  /// Places jobs from `begin` up to, but not including, `end`. False if the round has to end.
  bool PlaceBetween(PoolState& pool, const ReadyKey& begin, const ReadyKey& end, JobFilter filter);
  /// Places jobs of any kind on the endpoints that aren't held for blocked ones. Examines a limited
  /// number of jobs that don't fit, and continues behind them in the next round.
  void PlaceBehindBlocked(PoolState& pool);
  /// Decides which jobs to abandon if not all of them can meet their deadlines.
  void PlanOverload(PoolState& pool);
  /// False if a task of the job found no free capacity, and there will be room for it when other
  /// tasks have ended.
  bool PlaceJob(JobState& job);
  bool PlaceStep(JobState& job, std::uint32_t occurrence, std::uint32_t step);
  bool PlaceGang(const TaskRef& first);
  bool PlaceMembers(const TaskRef& first, std::uint64_t run, EndpointFilter& filter);
  bool PlaceOnOneRack(const TaskRef& first, std::uint64_t run, EndpointFilter& filter);
  /// For a task that isn't part of a gang.
  bool PlaceSingle(const TaskRef& ref);
  bool PlaceTask(const TaskRef& ref, EndpointFilter& filter, std::uint64_t run);
  /// Keeps endpoints for the task, which found none. False if the tasks that run now would not make
  /// room for it by ending; such a task doesn't block the jobs after it.
  bool Block(const TaskRef& ref);
  /// Whether the job goes after those that can be on time: its latest start has passed, or it was
  /// abandoned.
  bool IsLate(const JobState& job) const;
  /// Logs what a late job waits for, once per reason.
  void LogWaitReason(JobState& job);
  /// Runs are being stopped for the task, and their capacity is reserved for it.
  bool IsReservedByPreemption(const TaskRef& ref) const;
  /// Why a task with this prospect waits that found no endpoint.
  WaitReason ReasonToWait(const TaskRef& ref, Prospect prospect) const;
  bool NeedsAdvice(const TaskRef& ref) const;
  /// Whether the owner's link has room for `count` starts like that of this task. If not, the round
  /// ends, so that no job is placed before this one.
  bool FitsLink(const TaskRef& ref, std::size_t count);
  /// Sets the pool with which the next round begins, and reports that the link is full.
  void EndAtFullLink(const ServiceId& pool);

  SchedulerState& state;
  Placement placement;
  /// Of this pool.
  HeldEndpoints held;
  UnplacedTasks unplaced;
  const TimePoint now;
  const std::int64_t wall_ms;
  /// Jobs of this pool that did not fit in this round.
  int unplaced_jobs = 0;
  /// The division among accounts was computed in this round.
  bool is_divided = false;
  /// A start has to wait for the owner's link; the round is over.
  bool is_link_full = false;
  /// A task of this pool was placed in this round.
  bool has_placed = false;
  /// What the job that was handled last waits for.
  WaitReason wait_reason = WaitReason::kNone;
  /// What was refused to the task of that job that found no endpoint last.
  std::optional<HeldEndpoints::Refusal> refusal;
  std::vector<TaskKey> blocked;
};

}  // namespace chervilspar::jobs
