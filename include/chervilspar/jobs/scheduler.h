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
#include "chervilspar/jobs/endpoint.h"
#include "chervilspar/jobs/job.h"
#include "chervilspar/jobs/lapse_notice.h"
#include "chervilspar/jobs/policy.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/progress.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::jobs {

/// How much a note matters to somebody who asks what became of a job.
enum class NoteWeight {
  /// One of thousands that go as they should.
  kRoutine,
  kNotable,
};

/// A decision on a task or job, for logs: which, where, and what decided it.
struct Note {
  std::string event;
  std::optional<TaskKey> task;
  std::optional<JobId> job;
  std::string endpoint;
  std::string why;
  NoteWeight weight = NoteWeight::kNotable;

  friend bool operator==(const Note&, const Note&) = default;
};

/// One keyed record to be written: a job's progress, or its removal.
struct ProgressRecord {
  JobId job;
  /// Nothing: the job's records are to be dropped.
  std::optional<std::string> text;

  friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

/// A lapse notice to be written, or its removal.
struct LapseRecord {
  std::string endpoint;
  /// Nothing: the endpoint's notice is to be dropped.
  std::optional<std::string> text;

  friend bool operator==(const LapseRecord&, const LapseRecord&) = default;
};

/// What has to be stored before anything that follows from it may leave the process.
struct Batch {
  std::vector<ProgressRecord> records;
  std::vector<LapseRecord> lapses;

  bool IsEmpty() const { return this->records.empty() && this->lapses.empty(); }
};

/// Orders to endpoints. They may be sent side by side, in any order.
struct Orders {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<ThrottleOrder> paces;
};

/// What a caller is told of a job.
struct JobView {
  JobPhase phase = JobPhase::kQueued;

  friend bool operator==(const JobView&, const JobView&) = default;
};

/// A question to the adviser of a queue: on which of these endpoints may the step run?
struct AdviceQuestion {
  TaskKey step;
  std::vector<std::string> endpoints;
};

/// One endpoint on which a step may run, with the adviser's ticket.
struct AdviceTicket {
  std::string endpoint;
  std::string ticket;

  friend bool operator==(const AdviceTicket&, const AdviceTicket&) = default;
};

/// How a renewal at an endpoint should look now.
struct HoldPlan {
  RenewalOrder order;
  /// False: nothing is to be renewed or learnt there.
  bool is_needed = false;
};

/// What an evacuated endpoint still holds up.
enum class EvacuationState { kUnknownEndpoint, kRunning, kEmpty };

/// What an endpoint is used for, for the choice of VMs.
struct EndpointUse {
  Resources used;
  bool is_empty = false;
  bool has_long_running = false;
  /// It gets work, or did until it was chosen to be emptied.
  bool is_serving = false;
  /// It has not answered lately.
  bool is_silent = false;

  friend bool operator==(const EndpointUse&, const EndpointUse&) = default;
};

/// Decides which task runs where. Owns the state of all jobs of its pools, without network, clock
/// or threads: facts go in with their times, orders and records come out.
///
/// The load that it answers: queues whose demand exceeds their pool for seconds at a time, with run
/// times that are known only roughly. Without an order by the latest start that is still on time,
/// whoever serves oldest first serves everybody late once a queue is longer than the slack.
///
/// What can go wrong: a process that decided is killed between an order and its record, its
/// successor doesn't know of the run and starts the task a second time, and a deposit is charged
/// twice. So a placement is part of a `Batch`, and its `StartOrder` comes out of `ConfirmBatch`,
/// after the batch is stored. Ends are confirmed to the endpoint and shown to callers in the same
/// way.
class Scheduler {
 public:
  /// `token` fences predecessors at the endpoints; `now` is when this scheduler took over.
  Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now)
      : Scheduler(options, token, now, now) {}
  /// `proof`: when it is known that there was no successor. A term that begins with the answer to
  /// its announcement has proof of the time at which that was sent.
  Scheduler(const SchedulerOptions& options, std::uint64_t token, TimePoint now, TimePoint proof);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  // Facts.
  void SetPolicy(const Policy& policy);
  /// Nothing is started in these zones any more; what runs there runs on.
  void SetCordonedZones(const std::set<ZoneId>& zones);
  /// The endpoints that are registered now; others are gone or not reachable for the registry.
  void SetEndpoints(const std::vector<EndpointRecord>& endpoints, TimePoint now);
  /// Takes a job; the same id again changes nothing.
  void AddJob(const Job& job, WallTime wall);
  /// Stored progress of a job; only while the scheduler is being loaded, after all jobs. A job that
  /// has ended may be known by its progress alone.
  void RestoreProgress(const JobId& id, const JobProgress& progress);
  /// The same from its record. One in the compact form is written anew with the next batch where
  /// rows are to be stored.
  Status RestoreStored(const JobId& id, std::string_view text);
  /// Stored notices, whoever made them; after `RestoreProgress` and before `NoteLeases`.
  void RestoreLapseNotices(const std::vector<LapseNotice>& notices);
  /// Leases that were given for this token before the jobs were known, with the times by our clock
  /// at which they have certainly lapsed; after `RestoreProgress`.
  void NoteLeases(const std::map<std::string, TimePoint>& lease_ends);
  /// Cancels a job, also one that is yet to come.
  void CancelJob(const JobId& id);
  /// `sent`: when the hold was sent; what ended after that may be missing in it.
  void OnHeld(const RenewalOrder& order, const RenewalReport& report, TimePoint sent,
              TimePoint now);
  void OnHoldFailed(const std::string& endpoint, OrderOutcome outcome, TimePoint now);
  void OnStartAnswered(const StartOrder& order, OrderOutcome outcome, TimePoint now);
  void OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now);
  void OnPaceAnswered(const ThrottleOrder& order, OrderOutcome outcome);
  void OnAdvice(const TaskKey& step, const std::vector<AdviceTicket>& tickets, TimePoint now);

  /// Until this time there was certainly no successor. Leases are renewed for
  /// `SchedulerOptions::predecessor_grace` after it.
  ///
  /// The time is compared with each renewal: a process that runs slowly would renew for seconds on
  /// an answer of earlier, while its successor takes the runs as dead and starts them again.
  void SetProof(TimePoint proof);
  bool MayRenew(TimePoint now) const;
  /// The latest time for which it is proven that there was no successor.
  TimePoint Proof() const;

  // Decisions.
  Orders Decide(TimePoint now, WallTime wall);
  std::vector<AdviceQuestion> TakeQuestions(TimePoint now);
  /// True when there is something to store or to confirm.
  bool HasBatch() const;
  /// What changed since the last batch. One batch at a time: the next after `ConfirmBatch`.
  Batch TakeBatch();
  /// The batch is stored: gives the starts that it allows.
  Orders ConfirmBatch(TimePoint now);
  /// Jobs whose end was stored since the last call: what else is stored of them is needless.
  std::vector<JobId> TakeEnded();
  /// Jobs that ended so long ago that nobody is told of them any more, at most `most`.
  std::vector<JobId> Expired(WallTime wall, std::size_t most) const;
  /// Their submissions are gone from the store: drops what is left of them.
  void Forget(const std::vector<JobId>& ids);
  HoldPlan PlanHold(const std::string& endpoint, TimePoint now);
  std::vector<std::string> EndpointIds() const;
  /// Empty for an endpoint that isn't known here.
  ZoneId ZoneOf(const std::string& endpoint) const;
  /// Events since the last call, oldest first.
  std::vector<Note> TakeNotes();
  /// True once an endpoint has seen a higher token: another scheduler has taken over.
  bool IsSuperseded() const;

  // Evacuation, before a VM is rebooted or moved.
  void BeginEvacuation(const std::string& endpoint);
  void EndEvacuation(const std::string& endpoint);
  /// Endpoints whose VMs are to be rebooted soon: long-running tasks go elsewhere if they can.
  void SetDue(const std::set<std::string>& endpoints);
  EvacuationState EvacuationOf(const std::string& endpoint) const;
  /// Nothing for an endpoint that isn't known here.
  std::optional<EndpointUse> UseOf(const std::string& endpoint) const;
  std::map<ServiceId, PoolLoad> PoolLoads() const;
  /// Cpu in use and in all over the endpoints of a service, for the choice of VMs.
  Resources UsedIn(const ServiceId& service) const;
  Resources CapacityOf(const ServiceId& service) const;

  // Questions of callers; only what is stored is told.
  std::optional<JobView> Find(const JobId& id) const;
  /// Accepted jobs of a queue of which no task has started.
  std::uint64_t PendingIn(const std::string& queue) const;
  std::size_t JobCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace chervilspar::jobs
