#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/filler_throttle.h"
#include "jobs/preemption.h"
#include "jobs/run_tracker.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// The jobs of one queue of which no task has started.
struct WaitingJobs {
  /// The number reported to callers.
  std::uint64_t jobs = 0;
  /// Of `jobs`, those with a claim on an endpoint that has not confirmed a run of theirs.
  std::uint64_t claimed = 0;
  /// Of `jobs`, those whose claims were released before a run was confirmed.
  std::uint64_t released = 0;
};

/// Cached counts of the jobs of which no task has started.
struct PendingCount {
  std::optional<std::int64_t> counted_ms;
  std::map<std::string, WaitingJobs> queues;
  /// Queues whose current count was logged.
  std::set<std::string> logged_queues;
};

/// The implementation of `Scheduler`, whose public functions are defined in several files by topic.
class Scheduler::Impl {
 public:
  Impl(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
      : state(options, token, now),
        tracker(this->state),
        pacing(this->state),
        preemption(this->state) {}

  /// Creates the occurrences that are due, as many as a job may have open at the same time.
  void CreateDueOccurrences(std::int64_t wall_ms);
  static bool HasRoomForOccurrence(const JobState& job);
  void EndJobs(std::int64_t wall_ms);
  /// Lists the endpoints of these pools anew, in the order of their ids.
  void RebuildPools(const std::set<PoolState*>& pools);
  void StopStalledRuns(EndpointState& endpoint, TimePoint now);
  JobProgress ProgressOf(const JobState& job) const;
  PendingCount CountPending();
  /// The task if its placement in the batch is still current, otherwise an empty reference.
  TaskRef FindRecorded(const TaskKey& key, std::uint64_t run);
  void WithdrawObsoleteStarts(TimePoint now);
  void AddProgressRecords(JobState& job, Batch& batch);
  /// Withdraws what depends on progress that the store has rejected, and has it stored again.
  void OnProgressRejected(JobState& job, std::size_t max_bytes, TimePoint now);
  void OnEndsStored(EndpointState& endpoint, std::uint64_t end, const std::set<JobId>& rejected);
  void RetryRejected(TimePoint now);

  SchedulerState state;
  RunTracker tracker;
  FillerThrottle pacing;
  Preemption preemption;
  /// Effects of the outstanding batch, applied once it is stored.
  std::vector<std::pair<TaskKey, std::uint64_t>> recorded_starts;
  struct RecordedProgress {
    JobId job;
    JobPhase phase = JobPhase::kQueued;
    std::uint32_t further_parts = 0;
    std::size_t max_bytes = 0;
  };
  std::vector<RecordedProgress> recorded_progress;
  struct RecordedEnds {
    std::string endpoint;
    std::int64_t born_ms = 0;
    std::uint64_t end = 0;
  };
  std::vector<RecordedEnds> recorded_ends;
  /// Endpoints whose lapse notices the batch removes.
  std::vector<std::string> recorded_lapse_drops;
  /// Jobs whose end was stored since the last call of `TakeEndedJobs`.
  std::vector<JobId> ended_stored;
  bool is_batch_outstanding = false;
  /// Jobs that may have ended.
  std::vector<JobId> end_candidates;
  /// Jobs whose progress the next batch removes.
  std::vector<JobId> forgotten;
  PendingCount pending;
  /// When leases and evacuations were last checked.
  TimePoint last_review{};
};

}  // namespace chervilspar::jobs
