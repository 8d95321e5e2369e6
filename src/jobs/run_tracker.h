#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jobs/former_leases.h"
#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Tracks the runs on endpoints by the endpoints' answers.
///
/// If a lost or reordered answer were taken as proof that a run never started, the task would be
/// started elsewhere, and both runs would charge the same deposit. Therefore a claim is released
/// only on proof: the endpoint lists the run's end, or answers after the order's deadline without
/// listing the run, or has restarted and refuses all earlier orders, or its leases have certainly
/// lapsed.
class RunTracker {
 public:
  explicit RunTracker(SchedulerState& state) : state(state), former_leases(state) {}

  /// Processes an endpoint's answer to a request that was sent at `sent`.
  void OnHeld(EndpointState& endpoint, const RenewalOrder& order, const RenewalReport& report,
              TimePoint sent, TimePoint now);
  void OnStartAnswered(const StartOrder& order, const StartAnswer& answer, TimePoint now);
  void OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now);
  /// The task's last start order was not sent.
  void OnStartWithdrawn(const TaskRef& ref, TimePoint now);
  /// The registry lists an incarnation of the endpoint that has not answered this process yet.
  void OnRestartRegistered(EndpointState& endpoint, std::int64_t born_ms, TimePoint now);
  /// Another endpoint answers at its address, so this one no longer exists.
  void OnEndpointReplaced(EndpointState& endpoint, TimePoint now);
  /// Releases the claims on endpoints whose leases have lapsed.
  void ReleaseExpiredLeases(TimePoint now);

 private:
  void ProcessEnd(EndpointState& endpoint, const EndedRun& ended, TimePoint now);
  /// Another incarnation was learned of than the one that the claims belong to. What runs there is
  /// known once it has answered an order with a new token.
  void OnRestart(EndpointState& endpoint, const std::string& source, TimePoint now);
  /// Resets everything known about the former incarnation except its claims.
  static void ResetIncarnation(EndpointState& endpoint);
  /// Counts a failed run against its endpoint, and ejects an endpoint on which runs of several jobs
  /// failed. The failures of several members of a gang in one run count once.
  void CountEndpointFailure(const TaskRef& ref, EndpointState& endpoint, const EndedRun& ended);
  /// Counts a failed run against its task or, once for each run, against its gang.
  void CountAttempt(const TaskRef& ref, const EndpointState& endpoint, const EndedRun& ended);
  void ProcessActive(EndpointState& endpoint, const ActiveRun& active, TimePoint now);
  /// Releases the claims whose runs the report proves to be neither active nor startable.
  void ReleaseUnlisted(EndpointState& endpoint, const RenewalReport& report, TimePoint sent,
                       TimePoint now);
  /// One member of a gang is done, which completes the whole gang.
  void CompleteGang(const TaskRef& ref, std::uint64_t run, TimePoint now);
  /// Stops the remaining members of each gang that a member in `lost` belongs to.
  void StopGangsOf(const std::vector<TaskRef>& lost, TimePoint now);
  /// Releases all claims on the endpoint; `why` is logged.
  void ReleaseAll(EndpointState& endpoint, const std::string& why, TimePoint now);
  /// Releases those that `is_over` accepts.
  void ReleaseClaims(EndpointState& endpoint, const std::string& why, TimePoint now,
                     const std::function<bool(const Task&)>& is_over);
  /// Whether `run` is the current run of the task and its claim is on `endpoint`.
  bool IsCurrentRun(const TaskRef& ref, const EndpointState& endpoint, std::uint64_t run) const;

  /// Reports to the log that the endpoint has restarted, and what of that is outstanding.
  void ReportRestart(const EndpointState& endpoint, const std::string& source, TimePoint now);
  /// Whether the incarnation that the start was meant for has answered it; nothing if the answer
  /// doesn't tell.
  std::optional<bool> IsOfKnownIncarnation(const StartOrder& order,
                                           const StartAnswer& answer) const;

  SchedulerState& state;
  FormerLeases former_leases;
};

}  // namespace chervilspar::jobs
