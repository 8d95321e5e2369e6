#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/account_shares.h"
#include "chervilspar/jobs/endpoint.h"
#include "chervilspar/jobs/interim_leases.h"
#include "chervilspar/jobs/job.h"
#include "chervilspar/jobs/lapse_notice.h"
#include "chervilspar/jobs/link_budget.h"
#include "chervilspar/jobs/policy.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/progress.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::jobs {

struct AdmissionOutlook;

/// How relevant an event is to a reader who follows a job through the logs.
enum class EventImportance {
  /// Part of the normal course of a task.
  kRoutine,
  kNotable,
};

/// A decision on a task or job, for the log: its subject, its endpoint and its reason.
struct DecisionEvent {
  std::string event;
  std::optional<TaskKey> task;
  std::optional<JobId> job;
  std::string endpoint;
  std::string why;
  EventImportance weight = EventImportance::kNotable;

  friend bool operator==(const DecisionEvent&, const DecisionEvent&) = default;
};

/// A keyed record to store: the progress of a job or a part of it, or its removal.
struct ProgressRecord {
  JobId job;
  /// `nullopt` removes the record.
  std::optional<std::string> text;
  /// 0 for the main record, then counting up. All parts of a job have to be stored together.
  std::uint32_t part = 0;

  friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

/// A lapse notice to store, or its removal.
struct LapseRecord {
  enum class Kind {
    /// The owner lets the leases lapse.
    kLapse,
    /// The owner renews the leases, and some may last longer than it has asked for.
    kLongLease,
  };

  std::string endpoint;
  /// `nullopt` removes the notice of this kind of the endpoint.
  std::optional<std::string> text;
  Kind kind = Kind::kLapse;

  friend bool operator==(const LapseRecord&, const LapseRecord&) = default;
};

/// Records that must be stored before any order, confirmation or answer that depends on them leaves
/// the process.
struct Batch {
  std::vector<ProgressRecord> records;
  std::vector<LapseRecord> lapses;

  bool IsEmpty() const { return this->records.empty() && this->lapses.empty(); }
};

/// Orders to endpoints. They may be sent concurrently and in any sequence.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<ThrottleOrder> paces;
};

/// The state of a job as reported to callers.
struct JobView {
  JobPhase phase = JobPhase::kQueued;

  friend bool operator==(const JobView&, const JobView&) = default;
};

/// Runs that were stopped for other tasks, counted when the stop is decided.
struct PreemptionCounts {
  std::uint64_t saved = 0;
  std::uint64_t unsaved = 0;
  /// Work of the runs that don't save their progress.
  double discarded_core_seconds = 0;

  friend bool operator==(const PreemptionCounts&, const PreemptionCounts&) = default;
};

/// Asks the adviser of a queue on which of these endpoints the step may run.
struct AdviceRequest {
  TaskKey step;
  std::vector<std::string> endpoints;
};

/// An endpoint on which the adviser allows a step to run, with the ticket to pass along.
struct AdviceTicket {
  std::string endpoint;
  std::string ticket;

  friend bool operator==(const AdviceTicket&, const AdviceTicket&) = default;
};

/// The lease renewal to send to an endpoint now.
struct RenewalPlan {
  RenewalOrder order;
  /// False if there is nothing to renew, confirm or poll at the endpoint.
  bool is_needed = false;
  /// The endpoint did not answer the last request. Its leases are due for renewal once it answers
  /// this one, which renews nothing.
  bool is_probe = false;
};

/// What is known of the runs on an endpoint that is being evacuated. Orders that end whatever runs
/// there need `kEmpty`: that no run is known doesn't show that there is none.
enum class Occupancy {
  /// It has claims, or lists runs that match no claim.
  kOccupied,
  /// No run is known, and no report that was requested since the evacuation began shows it.
  kUnconfirmed,
  /// It has reported that it runs nothing, or all leases on it have certainly lapsed.
  kEmpty,
};

const char* ToString(Occupancy occupancy);

/// How an endpoint is used; input to the selection of VMs.
struct EndpointUsage {
  Resources used;
  bool has_claims = false;
  std::size_t claims = 0;
  /// The runs that it has listed and that match no claim.
  std::size_t unclaimed_runs = 0;
  /// When the last request that it has answered to this owner was sent.
  std::optional<TimePoint> last_answered_request;
  /// It has neither claims nor runs that match no claim.
  bool is_empty = false;
  bool has_long_running = false;
  /// It is registered, responsive and not draining. Also true while it is being evacuated.
  bool is_serving = false;
  /// It was unreachable or has restarted, and has not answered a renewal since.
  bool is_silent = false;

  friend bool operator==(const EndpointUsage&, const EndpointUsage&) = default;
};

/// The starts that the owner's link has room for.
struct LinkUsage {
  /// Bytes of starts that may be placed now.
  std::int64_t allowance = 0;
  /// Starts that had to wait for the link as the first in their order, since the term began.
  std::uint64_t held_back = 0;

  friend bool operator==(const LinkUsage&, const LinkUsage&) = default;
};

/// Assigns tasks to endpoints. Owns the state of all jobs of its pools and uses no network, clock
/// or threads: the caller passes in events with their times, and takes out orders and records.
///
/// Demand can exceed the capacity of a pool for seconds, and run times are known only roughly. Jobs
/// are therefore ordered by their latest start that still meets the deadline. Oldest first would
/// make every job late once the queue is longer than the slack.
///
/// If the process were killed between sending an order and storing it, its successor wouldn't know
/// of the run and would start the task a second time, which could for example charge a deposit
/// twice. A placement is therefore part of a `Batch`, and `ConfirmBatch` returns its `StartOrder`
/// only after the batch is stored. Ends of runs are likewise stored before they are confirmed to
/// the endpoint and reported to callers.
class Scheduler {
 public:
  /// `token` is the fencing token of this owner, sent with each order; endpoints refuse lower ones.
  /// `now` is the time at which this scheduler took over.
  Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
      : Scheduler(options, token, now, now) {}
  /// `proof` is the latest time at which there was provably no successor. For a term that begins
  /// with the answer to its announcement, this is the time at which the announcement was sent.
  Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now, TimePoint proof);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  // Inputs.
  void SetPolicy(const Policy& policy);
  /// Starts no more tasks in these zones. Runs that are active there continue.
  void SetCordonedZones(const std::set<ZoneId>& zones);
  /// Sets the endpoints that are registered now. All others have left or are unreachable for the
  /// registry.
  void SetEndpoints(const std::vector<EndpointRecord>& endpoints, TimePoint now);
  /// Changes the endpoints that are registered. Returns those that are unknown from now on, as they
  /// aren't registered and have no claims; these may include some that were removed earlier.
  std::vector<std::string> UpdateEndpoints(const EndpointChanges& changes, TimePoint now);
  /// Adds a job. An id that is already known is ignored.
  void AddJob(const Job& job, WallTime wall);
  /// Restores the stored progress of a job. May only be called while the scheduler is loaded, after
  /// all calls of `AddJob`. A job that has ended may be unknown to `AddJob`.
  void RestoreProgress(const JobId& id, const JobProgress& progress);
  /// Decodes the stored records of a job, the main one first, and restores them like
  /// `RestoreProgress`; returns the decoding error if there is one. If
  /// `SchedulerOptions::progress_form` is `kRows`, records in the compact form are rewritten with
  /// the next batch.
  Status RestoreStored(const JobId& id, const std::vector<std::string_view>& parts);
  /// Restores stored lapse notices of any owner. Call after `RestoreProgress` and before
  /// `RecordInterimLeases`.
  void RestoreLapseNotices(const std::vector<LapseNotice>& notices);
  /// The same for the notices of the kind `LapseRecord::Kind::kLongLease`.
  void RestoreLongLeases(const std::vector<LapseNotice>& notices);
  /// Records leases that were granted in this term before the jobs were loaded. Call after
  /// `RestoreProgress`.
  void RecordInterimLeases(const std::map<std::string, InterimLease>& leases);
  /// Cancels a job, including one that `AddJob` adds only later.
  void CancelJob(const JobId& id);
  /// `sent` is when the renewal was sent. The report may lack runs that ended after that.
  void OnRenewalAnswered(const RenewalOrder& order, const RenewalReport& report, TimePoint sent,
                         TimePoint now);
  /// The endpoint restarted and has to answer a request before it gets orders again.
  bool IsRestartUnconfirmed(const std::string& endpoint) const;
  void OnRenewalFailed(const std::string& endpoint, OrderOutcome outcome, TimePoint now);
  void OnStartAnswered(const StartOrder& order, const StartAnswer& answer, TimePoint now);
  void OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now);
  void OnThrottleAnswered(const ThrottleOrder& order, OrderOutcome outcome);
  /// Bytes that were handed to the owner's link since the last call.
  void OnLinkTraffic(const LinkTraffic& traffic, TimePoint now);
  /// `tickets`: the answer to the request; it allows the step on none of the other endpoints.
  void OnAdvice(const AdviceRequest& request, const std::vector<AdviceTicket>& tickets,
                TimePoint now);

  /// Sets the latest time at which there was provably no successor. Leases are renewed for
  /// `SchedulerOptions::predecessor_grace` after it.
  ///
  /// Each renewal checks the age of the proof. Otherwise a slow process could go on renewing for
  /// seconds on an outdated answer, while its successor considers the runs dead and restarts them.
  void SetProof(TimePoint proof);
  bool MayRenew(TimePoint now) const;
  /// The latest time at which there was provably no successor.
  TimePoint Proof() const;

  // Decisions.
  Orders Decide(TimePoint now, WallTime wall);
  /// Whether a start, which may have waited to be sent, is still wanted. Call just before it is
  /// sent; if it isn't, pass `OrderOutcome::kWithdrawn` to `OnStartAnswered`.
  bool MaySendStart(const StartOrder& order, TimePoint now);
  std::vector<AdviceRequest> TakeAdviceRequests(TimePoint now);
  /// True if there is something to store or to confirm.
  bool HasBatch() const;
  /// Returns the changes since the last batch. Only one batch may be outstanding: call
  /// `ConfirmBatch` before taking the next.
  Batch TakeBatch();
  /// Call once the batch is stored, except for the progress of the jobs in `rejected`, which the
  /// store will not accept in this form. Returns the starts that depended on the batch. Rejected
  /// jobs are stored again in smaller records; if these are rejected as well, nothing more of the
  /// job is started until a later attempt succeeds.
  Orders ConfirmBatch(TimePoint now, const std::set<JobId>& rejected = {});
  /// Jobs whose end was stored since the last call. Their submissions needn't be kept any longer.
  std::vector<JobId> TakeEndedJobs();
  /// At most `max_count` jobs that ended more than `SchedulerOptions::ended_job_retention` ago.
  std::vector<JobId> ExpiredJobs(WallTime wall, std::size_t max_count) const;
  /// Forgets jobs whose submissions were removed from the store, and removes their progress with
  /// the next batch.
  void Forget(const std::vector<JobId>& ids);
  RenewalPlan PlanRenewal(const std::string& endpoint, TimePoint now);
  std::vector<std::string> EndpointIds() const;
  /// Empty for an unknown endpoint.
  ZoneId ZoneOf(const std::string& endpoint) const;
  /// Events since the last call, oldest first.
  std::vector<DecisionEvent> TakeEvents();
  /// Counts since the last call.
  PreemptionCounts TakePreemptionCounts();
  /// True once an endpoint has reported a higher token, which means that another scheduler has
  /// taken over.
  bool IsSuperseded() const;

  // Evacuation, before a VM is rebooted or moved.
  void BeginEvacuation(const std::string& endpoint, TimePoint now);
  void EndEvacuation(const std::string& endpoint);
  /// Sets the endpoints whose VMs will be rebooted soon. Long-running tasks are placed on others if
  /// possible.
  void SetUpcomingReboots(const std::set<std::string>& endpoints);
  Occupancy OccupancyOf(const std::string& endpoint, TimePoint now) const;
  /// `PlanRenewal` of the endpoint requests a report, even if there is nothing to renew, until a
  /// report has arrived or the evacuation ends. False if that is so already, or if the endpoint is
  /// unknown.
  bool RequestReport(const std::string& endpoint);
  /// `nullopt` for an unknown endpoint.
  std::optional<EndpointUsage> UsageOf(const std::string& endpoint) const;
  std::map<ServiceId, PoolLoad> PoolLoads() const;
  /// The last division among accounts; empty if `SchedulerOptions::divides_shares` is off.
  const AccountShares& Shares() const;
  /// The number of jobs that have waited because their account was beyond its share. Never
  /// decreases.
  std::uint64_t JobsBehindShare() const;
  /// Resources in use, and in total, over the registered endpoints of a service; input to the
  /// selection of VMs.
  Resources UsedIn(const ServiceId& service) const;
  Resources CapacityOf(const ServiceId& service) const;
  LinkUsage LinkUsageAt(TimePoint now) const;

  // Queries of callers. An end is reported only once it is stored.
  std::optional<JobView> Find(const JobId& id) const;
  /// The number of accepted jobs of a queue of which no task has started. May be up to 0.4 s old.
  std::uint64_t PendingIn(const std::string& queue) const;
  std::size_t JobCount() const;
  /// Endpoints that were examined for the placing of tasks since this scheduler began; a measure of
  /// the cost of its rounds.
  std::uint64_t EndpointsExamined() const;
  /// Registrations that were taken over since this scheduler began; a measure of the cost of their
  /// changes.
  std::uint64_t EndpointsUpdated() const;
  /// The number of jobs that passes over all open jobs, such as `PoolLoads` and `Outlook`, have
  /// examined. Never decreases; a measure of their cost.
  std::uint64_t JobsVisited() const;
  /// What new jobs can expect. `listed`: the capacity of all VMs that may take work, including
  /// those that are off; 0 if there is no list of VMs. Promises are not included.
  AdmissionOutlook Outlook(const Resources& listed, TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilspar::jobs
