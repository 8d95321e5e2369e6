#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/endpoint_filter.h"
#include "jobs/expected_ends.h"
#include "jobs/placement.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// The endpoints of one pool that are kept for blocked tasks, that is for tasks that found no free
/// capacity in this round.
///
/// A blocked task reserves an endpoint against all tasks after it. Those of on-time jobs also hold
/// endpoints against late jobs, which would otherwise take the capacity that becomes free bit by
/// bit. An endpoint is kept only if room for the blocked task is expected there before its latest
/// start. A late task may use a kept endpoint if it ends before that room is expected (backfill).
///
/// If the pool has little free capacity, all of these endpoints are held, without backfill, as
/// estimates are rough. Otherwise one is kept, and others as long as the kept ones have at most a
/// quarter of the capacity free, so that late jobs find the rest.
class HeldEndpoints {
 public:
  /// An endpoint that has free capacity for a task and is kept for another.
  struct Refusal {
    std::string endpoint;
    /// The job that it is kept for.
    JobId holder;
    /// When the room for that job is expected.
    TimePoint room{};

    friend bool operator==(const Refusal&, const Refusal&) = default;
  };

  /// Allows a task the endpoints that aren't kept for others.
  class Filter final : public EndpointFilter {
   public:
    Filter(const HeldEndpoints& held, const TaskRef& ref, bool is_late)
        : held(held), ref(ref), is_late(is_late) {}

    bool Allows(const EndpointState& endpoint) override;
    /// The first endpoint that was refused, if any.
    const std::optional<Refusal>& FindRefusal() const { return this->refusal; }

   private:
    const HeldEndpoints& held;
    const TaskRef& ref;
    const bool is_late;
    std::optional<Refusal> refusal;
  };

  HeldEndpoints(SchedulerState& state, const Placement& placement, TimePoint now,
                std::int64_t wall_ms)
      : state(state), placement(placement), ends(state, now), now(now), wall_ms(wall_ms) {}

  /// Starts over, for this pool.
  void Begin(const PoolState& pool);
  /// Reserves an endpoint for the blocked task, unless enough are reserved. That of a late or
  /// long-running task may have room at any time.
  void Reserve(const TaskRef& ref, bool is_late);
  /// Holds endpoints for the blocked task of an on-time job. Has no effect once a late task was
  /// tried, so that what late tasks may use doesn't change within a round.
  void HoldAgainstLate(const TaskRef& ref);
  /// For a task of this pool, which has to outlive the filter.
  Filter FilterFor(const TaskRef& ref, bool is_late);

 private:
  /// Blocked tasks that are alike.
  struct BlockedTasks {
    Resources need;
    /// Unix milliseconds; the maximum if they may start at any time.
    std::int64_t latest_start_ms = 0;
    JobId first;

    /// Whatever is kept for these is kept for the other as well.
    bool Covers(const BlockedTasks& other) const;
  };
  /// Blocked tasks that may run on the same endpoints.
  struct Scope {
    TaskRef sample;
    std::vector<BlockedTasks> blocked;
  };
  /// The label and, if the adviser or a limit per endpoint restricts them, the step.
  using ScopeKey = std::pair<std::string, const StepState*>;

  struct Kept {
    /// Against all tasks.
    bool is_reserved = false;
    bool allows_backfill = true;
    TimePoint room{};
    JobId holder;
  };
  /// An endpoint that is to be held.
  struct Candidate {
    TimePoint room{};
    EndpointState* endpoint = nullptr;
    JobId holder;
  };

  static ScopeKey ScopeOf(const TaskRef& ref);
  std::int64_t LatestStartMs(const TaskRef& ref, bool is_late) const;
  bool IsInTime(TimePoint room, std::int64_t latest_start_ms) const;
  void HoldAll();
  void HoldFor(const Scope& scope);
  /// The latest start of the last job of the pool.
  std::int64_t LastLatestStartMs() const;
  /// Where room for a task of the scope is expected before its latest start or the common one.
  std::optional<Candidate> FindRoom(const Scope& scope, EndpointState& endpoint,
                                    std::int64_t common_latest_start_ms);
  void Keep(const EndpointState& endpoint, const Kept& kept);

  SchedulerState& state;
  const Placement& placement;
  ExpectedEnds ends;
  const TimePoint now;
  const std::int64_t wall_ms;
  const PoolState* pool = nullptr;
  /// By the position in the pool.
  std::vector<std::optional<Kept>> kept;
  std::size_t reserved = 0;
  std::map<ScopeKey, Scope> scopes;
  /// Tasks for which no endpoint could be reserved.
  std::map<ScopeKey, std::vector<BlockedTasks>> unreserved;
  bool are_held = false;
};

}  // namespace chervilspar::jobs
