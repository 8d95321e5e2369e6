#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/filler_throttle.h"
#include "jobs/run_tracker.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// The jobs of one queue of which no task has started.
struct WaitingJobs {
  /// As callers are told.
  std::uint64_t jobs = 0;
  /// Of these, the ones with a claim on an endpoint that has not confirmed their runs.
  std::uint64_t claimed = 0;
  /// Of these, the ones whose claims were given up before a run was confirmed.
  std::uint64_t returned = 0;
};

/// Jobs of which no task has started, as last counted.
struct PendingCount {
  std::optional<std::int64_t> counted_ms;
  std::map<std::string, WaitingJobs> queues;
  /// Queues of which this count was logged.
  std::set<std::string> told;
};

/// What a scheduler consists of; its public functions stand in several files by subject.
class Scheduler::Impl {
 public:
  Impl(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
      : state(options, token, now), tracker(this->state), pacing(this->state) {}

  void CreateDueOccurrences(std::int64_t wall_ms);
  void EndJobs(std::int64_t wall_ms);
  void RenewPools();
  void ReviewStalls(EndpointState& endpoint, TimePoint now);
  JobProgress ProgressOf(const JobState& job) const;
  PendingCount CountPending() const;
  /// The task if its placement in the batch still stands; else nothing.
  TaskRef FindRecorded(const TaskKey& key, std::uint64_t run);
  void WithdrawUnwanted(TimePoint now);

  SchedulerState state;
  RunTracker tracker;
  FillerThrottle pacing;
  /// What the batch that is being stored allows once it is.
  std::vector<std::pair<TaskKey, std::uint64_t>> recorded_starts;
  std::vector<std::pair<JobId, JobPhase>> recorded_phases;
  struct RecordedEnds {
    std::string endpoint;
    std::int64_t born_ms = 0;
    std::uint64_t end = 0;
  };
  std::vector<RecordedEnds> recorded_ends;
  /// Endpoints whose lapse notices the batch drops.
  std::vector<std::string> recorded_lapse_drops;
  /// Jobs whose end is stored since they were last asked for.
  std::vector<JobId> ended_stored;
  bool is_batch_out = false;
  /// Jobs that may have come to their end.
  std::vector<JobId> maybe_ended;
  /// Jobs whose progress is to be dropped with the next batch.
  std::vector<JobId> forgotten;
  PendingCount pending;
  /// When leases and evacuations were last reviewed.
  TimePoint reviewed{};
};

}  // namespace chervilspar::jobs
