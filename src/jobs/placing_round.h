#pragma once

#include "jobs/placement.h"
#include "jobs/scheduler_state.h"
#include "jobs/wanted_endpoints.h"

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
        wanted(state, this->placement, now),
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
  /// Places jobs of any kind on the endpoints that no blocked job could use. Examines a limited
  /// number of jobs that don't fit, and continues behind them in the next round.
  void PlaceOnUnwanted(PoolState& pool);
  /// Decides which jobs to abandon if not all of them can meet their deadlines.
  void PlanOverload(PoolState& pool);
  /// False if a task of the job found no free capacity, although some endpoint is large enough.
  bool PlaceJob(JobState& job);
  bool PlaceStep(JobState& job, std::uint32_t occurrence, std::uint32_t step);
  bool PlaceGang(const TaskRef& first);
  bool PlaceMembers(const TaskRef& first, std::uint64_t run,
                    const std::set<EndpointState*>& excluded);
  bool PlaceOnOneRack(const TaskRef& first, std::uint64_t run);
  bool PlaceTask(const TaskRef& ref, const std::set<EndpointState*>& excluded, std::uint64_t run);
  /// Reserves an endpoint for the task. False if no usable endpoint of the pool is large enough.
  bool ReserveEndpointFor(const TaskRef& ref);
  /// Logs what a late job waits for, once per reason.
  void LogWaitReason(JobState& job);
  /// Logs for the late jobs that the endpoints are held for others.
  void LogAllHeld(const PoolState& pool);
  /// Runs are being stopped for the task, and their capacity is reserved for it.
  bool IsReservedByPreemption(const TaskRef& ref) const;
  /// Why a task waits that no endpoint may run now.
  WaitReason ReasonWithoutEndpoint(const TaskRef& ref) const;
  bool NeedsAdvice(const TaskRef& ref) const;
  /// Whether the owner's link has room for `count` starts like that of this task. If not, the round
  /// ends, so that no job is placed before this one.
  bool FitsLink(const TaskRef& ref, std::size_t count);
  /// Sets the pool with which the next round begins, and reports that the link is full.
  void EndAtFullLink(const ServiceId& pool);

  SchedulerState& state;
  Placement placement;
  /// Of this pool.
  WantedEndpoints wanted;
  const TimePoint now;
  const std::int64_t wall_ms;
  /// Endpoints reserved for jobs that found no free capacity in this pool.
  std::set<EndpointState*> reserved;
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
  /// Added to the reason in the log.
  std::string wait_detail;
  std::vector<TaskKey> blocked;
  /// More than one, as a single endpoint may stay busy for long.
  static constexpr std::size_t kMaxReserved = 2;
};

}  // namespace chervilspar::jobs
