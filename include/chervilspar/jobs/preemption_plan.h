#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// The tasks of one step that can be on time and find no free capacity.
struct BlockedStep {
  /// One of the tasks.
  TaskKey first;
  std::uint32_t count = 1;
  /// Of one task.
  Resources need;
  /// As in `ReadyKey`.
  std::uint32_t rank = 0;
  bool is_beyond_share = false;
  /// At most one task is planned for an endpoint, because their number there is limited.
  bool is_one_per_endpoint = false;
  /// Positions of the endpoints that may run it.
  std::vector<std::size_t> endpoints;

  friend bool operator==(const BlockedStep&, const BlockedStep&) = default;
};

/// A run on an endpoint, with what is relevant to whether it gives way.
struct PreemptibleRun {
  TaskKey task;
  /// Freed when the run ends.
  Resources capacity;
  /// As in `ReadyKey`.
  std::uint32_t rank = 0;
  /// Its job can't be on time any more.
  bool is_late = false;
  bool is_beyond_share = false;
  bool saves_progress = false;
  /// A stop is due or was sent.
  bool is_stopping = false;
  /// A confirmed batch run that no other rule protects.
  bool may_be_stopped = false;
  /// Time for which it has run, in milliseconds.
  double age_ms = 0;
  /// Time until it ends by itself, in milliseconds. Absent if unknown: it is then neither stopped
  /// nor expected to end.
  std::optional<double> remaining_ms;

  /// Its capacity becomes free within `limit_ms` without a new stop.
  bool EndsWithin(double limit_ms) const;
  /// What a stop discards, in the unit of `PreemptionLimits::allowance`.
  double DiscardedWork() const;

  friend bool operator==(const PreemptibleRun&, const PreemptibleRun&) = default;
};

/// The lowest ranks of blocked steps. They rule out most runs without a look at each step.
class BlockedRanks {
 public:
  /// Adds a step.
  void Add(std::uint32_t rank, bool is_beyond_share);
  /// False if the run gives way to none of the steps, or isn't stopped at all.
  bool MayStop(const PreemptibleRun& run) const;

  friend bool operator==(const BlockedRanks&, const BlockedRanks&) = default;

 private:
  std::optional<std::uint32_t> lowest_within_share;
  std::optional<std::uint32_t> lowest_beyond_share;
};

struct EndpointRuns {
  /// The capacity that is free now, or becomes free soon.
  Resources free;
  /// Runs that end soon or may be stopped; others have no effect.
  std::vector<PreemptibleRun> runs;

  friend bool operator==(const EndpointRuns&, const EndpointRuns&) = default;
};

struct PreemptionLimits {
  /// The longest time that a stop takes, in milliseconds.
  double stop_limit_ms = 0;
  /// Work of runs that don't save their progress which may be discarded, in thousandths of a core
  /// times milliseconds.
  double allowance = 0;

  friend bool operator==(const PreemptionLimits&, const PreemptionLimits&) = default;
};

/// A run to stop.
struct PlannedStop {
  TaskKey task;
  bool saves_progress = false;
  /// In the unit of `PreemptionLimits::allowance`; 0 if the run saves its progress.
  double discarded_work = 0;

  friend bool operator==(const PlannedStop&, const PlannedStop&) = default;
};

/// Runs of one endpoint that are stopped for one task.
struct PlannedPreemption {
  /// The positions of the task's step and of the endpoint, on which the task is to run.
  std::size_t step = 0;
  std::size_t endpoint = 0;
  std::vector<PlannedStop> stops;

  friend bool operator==(const PlannedPreemption&, const PlannedPreemption&) = default;
};

/// What a selection costs.
struct PreemptionCost {
  /// Runs that were compared with a blocked step, each comparison counted.
  std::size_t examined_runs = 0;
  /// Searches for a task's endpoint.
  std::size_t searches = 0;

  friend bool operator==(const PreemptionCost&, const PreemptionCost&) = default;
};

/// Selects the runs of a pool that are stopped for blocked tasks.
///
/// Late work, or work of accounts beyond their shares, may occupy a pool while tasks that can still
/// be on time wait. Waiting for these runs to end by themselves would make the tasks late, too.
class PreemptionPlan {
 public:
  /// The maximum number of runs that one plan stops. Limits the cost of a plan.
  static constexpr std::size_t kMaxStops = 32;

  /// `blocked` is in the order of placing. Sets `cost` if it isn't null.
  static std::vector<PlannedPreemption> SelectRunsToStop(const std::vector<BlockedStep>& blocked,
                                                         const std::vector<EndpointRuns>& endpoints,
                                                         const PreemptionLimits& limits,
                                                         PreemptionCost* cost = nullptr);
};

}  // namespace chervilspar::jobs
