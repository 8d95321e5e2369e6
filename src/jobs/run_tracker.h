#pragma once

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Follows the runs on endpoints from what the endpoints answer.
///
/// What can go wrong: an answer that is lost or overtaken makes a run look as if it had never
/// begun, the task is started elsewhere, and both runs charge the same deposit. So a claim is
/// given up only on proof: the endpoint lists the run's end, or answers after the order's time
/// has passed without listing it, or lives a new life, or its leases must have lapsed.
class RunTracker {
 public:
  explicit RunTracker(SchedulerState& state) : state(state) {}

  void OnHeld(EndpointState& endpoint, const RenewalReport& report, TimePoint sent, TimePoint now);
  void OnStartAnswered(const StartOrder& order, OrderOutcome outcome, TimePoint now);
  void OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now);
  /// The registry tells of a life of the endpoint that has not answered here yet.
  void OnRestartRegistered(EndpointState& endpoint, std::int64_t born_ms);
  /// Another endpoint answers at its address, so this one has ended.
  void OnEndpointReplaced(EndpointState& endpoint, TimePoint now);
  /// Gives up what ran on endpoints whose leases have lapsed.
  void ReleaseExpiredLeases(TimePoint now);

 private:
  void TakeEnd(EndpointState& endpoint, const EndedRun& ended, TimePoint now);
  /// The answer comes from another life than the one that the claims belong to.
  void OnNewLife(EndpointState& endpoint, const RenewalReport& report, TimePoint now);
  /// Drops what was known of the former life beside its claims.
  static void Forget(EndpointState& endpoint);
  void TakeFailure(const TaskRef& ref, EndpointState& endpoint, const EndedRun& ended);
  void TakeActive(EndpointState& endpoint, const ActiveRun& active, TimePoint now);
  void DropMissing(EndpointState& endpoint, const RenewalReport& report, TimePoint sent,
                   TimePoint now);
  void ReleaseGangAfterDone(const TaskRef& ref, std::uint64_t run, TimePoint now);
  /// Of each gang that has lost one of these members, stops the others.
  void BreakGangsOf(const std::vector<TaskRef>& given_up, TimePoint now);
  void Lose(EndpointState& endpoint, const std::string& why, TimePoint now);
  bool IsMine(const TaskRef& ref, const EndpointState& endpoint, std::uint64_t run) const;

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
