#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "chervilspar/jobs/link_budget.h"
#include "chervilspar/jobs/order_tokens.h"
#include "chervilspar/jobs/scheduler.h"

#include "jobs/account_division.h"
#include "jobs/free_cpu_index.h"

namespace chervilspar::jobs {

struct EndpointState;

/// The minimum run time that is assumed for a task, also for one without estimate.
inline constexpr std::int64_t kMinEstimateMs = 50;

/// The progress of a long-running task that is ready.
inline constexpr int kReadyPercent = 100;

/// The state of a task's run, as known to this process.
enum class RunState {
  kNone,
  /// Placed; the record of the placement isn't stored yet, and no start was sent.
  kRecording,
  /// A start was sent and isn't answered yet.
  kStarting,
  /// The start got no answer, or a predecessor placed the run: it may be active or become active.
  kUnconfirmed,
  /// The endpoint has confirmed it.
  kActive,
  /// A stop is due or was sent; the run keeps its claim until its end is known.
  kStopping,
};

/// A task with its claim on an endpoint, if any.
struct Task {
  TaskProgress progress;
  RunState state = RunState::kNone;
  /// The endpoint with the claim; null exactly when `state` is `kNone`.
  EndpointState* endpoint = nullptr;
  /// When `state` was entered.
  TimePoint since{};
  /// When the last start or stop was sent.
  TimePoint last_order_sent{};
  TimePoint last_start_sent{};
  /// The time on this process's clock after which an unanswered start can no longer be executed.
  TimePoint start_expires{};
  /// The end of the first lease on the endpoint's clock, after which it refuses the start.
  std::int64_t lease_end_ms = 0;
  int start_tries = 0;
  /// It is being stopped only because its start got no answer.
  bool is_given_up = false;
  /// Bytes of the owner's link that are reserved for the start until it is sent; see `LinkBudget`.
  std::int64_t reserved_bytes = 0;
  /// Placed by a predecessor.
  bool is_adopted = false;
  /// The incarnation that the start was meant for has executed it. If only one was sent, none is in
  /// flight any more.
  bool is_reported = false;
  /// When the endpoint answered a stop of this run.
  std::optional<TimePoint> stop_answered;
  /// As in `ActiveRun`, like `gauge`.
  int percent = 0;
  TimePoint percent_since{};
  std::int64_t gauge = 0;
  /// The speed ordered last; nothing if it is unknown whether the order was executed.
  std::optional<int> speed_percent = 100;
  /// The task isn't placed earlier than this.
  TimePoint not_before{};
  /// When a run of it was last stopped for another task.
  std::optional<TimePoint> preempted;
  int restarts = 0;
  /// Skipped in the next placement, by all members if the task belongs to a gang, as the last run
  /// failed there.
  std::string avoided_endpoint;
  std::string ticket;
  /// The task has to move to another endpoint, and none has free capacity for it.
  bool lacks_target = false;

  bool IsWaiting() const {
    return this->state == RunState::kNone && this->progress.phase == TaskPhase::kWaiting;
  }
};

/// The adviser's answer on one endpoint.
struct EndpointAdvice {
  /// The endpoint's incarnation that the answer is about.
  std::int64_t born_ms = 0;
  /// Empty if the step may not run there; such an answer stays valid.
  std::string ticket;
  TimePoint valid_until{};

  bool IsRefusal() const { return this->ticket.empty(); }
};

/// What the adviser has answered on a step.
struct StepAdvice {
  /// A request is pending.
  bool is_asked = false;
  TimePoint asked{};
  /// No request is made earlier than this.
  TimePoint next_review{};
  std::map<std::string, EndpointAdvice> answers;

  /// The ticket for the endpoint's current incarnation; null if there is none that is valid.
  const std::string* FindTicket(const EndpointState& endpoint, TimePoint now) const;
  /// The adviser doesn't allow the step on the endpoint's current incarnation.
  bool IsRefused(const EndpointState& endpoint) const;
};

struct StepState {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  /// Tasks with a claim on an endpoint.
  std::uint32_t claims = 0;
  /// All steps that it depends on are done.
  bool is_open = false;
  StepAdvice advice;

  bool IsDone() const { return this->done == this->tasks.size(); }
  /// A task of it waits or has a claim. The run of a task that is done keeps its claim until it has
  /// stopped.
  bool HasWork() const { return !this->IsDone() || this->claims > 0; }
};

struct Occurrence {
  std::vector<StepState> steps;

  bool IsDone() const;
  bool HasClaims() const;
};

/// Why the next task of a job has no endpoint.
enum class WaitReason {
  kNone,
  kNoCapacity,
  kNoEligibleEndpoint,
  kCordoned,
  kTeamLimit,
  kAdvice,
  kBeyondShare,
  kOwnerLink,
  kHeldForOthers,
  kLongRunningTasks,
};

const char* ToString(WaitReason reason);

/// The sort key of a job among those that wait for the same endpoints; smaller keys go first.
struct ReadyKey {
  /// 0 for long-running jobs, otherwise 1 plus the queue's priority.
  std::uint32_t rank = 0;
  /// Unix milliseconds; a job that starts later than this misses its deadline.
  std::int64_t latest_start_ms = 0;
  JobId job;

  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

struct JobState {
  Job job;
  /// The last known terms.
  JobTerms terms;
  /// The terms in its stored progress.
  JobTerms stored_terms;
  ServiceId service;
  std::uint32_t attempts = 1;
  /// The steps of its queue run only on endpoints that the adviser allows.
  bool needs_advice = false;
  /// Unix milliseconds; after this the job is late, and after `worthless_ms` its result is of no
  /// use.
  std::int64_t deadline_ms = 0;
  std::int64_t worthless_ms = 0;
  bool is_cancelled = false;
  bool is_failed = false;
  /// When this owner sent the first start of one of its tasks.
  std::optional<TimePoint> first_start_sent;
  /// An endpoint has reported a run of one of its tasks. A start alone may have no effect.
  bool has_started = false;
  /// When this owner first received such a report.
  TimePoint start_observed{};
  /// Its progress has to be stored with the next batch.
  bool is_dirty = false;
  std::int64_t ended_ms = 0;
  /// The phase that was stored last.
  JobPhase stored_phase = JobPhase::kQueued;
  std::map<std::uint32_t, Occurrence> occurrences;
  OccurrenceSet complete_occurrences;
  /// Occurrences below this were created.
  std::uint32_t next_due = 0;
  /// The number of further records that its stored progress takes.
  std::uint32_t further_parts = 0;
  /// The size limit of its records once the store has rejected larger ones.
  std::optional<std::size_t> max_record_bytes;
  /// Its records would be rejected with the checkpoints of its tasks.
  bool omits_checkpoints = false;
  /// The store rejects its records however small they are. Nothing is placed until it accepts one.
  bool is_rejected = false;
  /// Tasks with a claim on an endpoint.
  std::uint32_t claims = 0;
  std::optional<ReadyKey> ready;
  /// The job could meet its deadline alone, but not together with the others; see `OverloadPlan`.
  bool is_abandoned = false;
  /// Its waiting tasks, or if none waits its running ones, exceed what its account is due; see
  /// `DivisionRound`. Always false for late and long-running jobs.
  bool is_beyond_share = false;
  /// The same of its running tasks alone.
  bool are_runs_beyond_share = false;
  /// The result of `WaitingWorkOf` at the last division, for on-time jobs with waiting tasks.
  double divided_work = 0;
  /// The last reason logged for a late job; each change is logged once.
  WaitReason reported_wait_reason = WaitReason::kNone;

  bool IsComplete() const { return this->complete_occurrences.Size() == this->job.Occurrences(); }
  JobPhase Phase() const;
  /// No task of the job will be started any more.
  bool IsOver() const { return this->is_cancelled || this->is_failed || this->IsComplete(); }
};

struct PoolState;

/// When a batch task is expected to end, by its estimate, and what that frees.
struct ExpectedEnd {
  TimePoint at{};
  Resources capacity;
};

struct EndpointState {
  EndpointRecord record;
  bool is_registered = false;
  bool is_evacuating = false;
  TimePoint evacuating_since{};
  /// A report is to show whether it is empty.
  bool is_report_requested = false;
  /// Its zone is cordoned; see `ZoneCordon`.
  bool is_cordoned = false;
  /// Its VM is to be rebooted soon.
  bool is_reboot_due = false;
  /// The incarnation that the claims belong to; 0 until it is known.
  std::int64_t born_ms = 0;
  /// Its clock when this process's clock showed `clock_at`; nothing before its first response.
  std::optional<std::int64_t> clock_ms;
  TimePoint clock_at{};
  TimePoint last_response{};
  /// When the last answered request was sent.
  TimePoint last_answered_request{};
  /// It is unresponsive: the last request failed, or its incarnation is unknown.
  bool is_silent = false;
  /// The time on this process's clock at which all leases on it have lapsed unless they are
  /// renewed.
  TimePoint lease_end{};
  /// The token of its orders. A new one is issued when an incarnation is learned of that may have
  /// executed orders for a former one.
  std::uint64_t order_token = 0;
  /// Its current incarnation has answered an order with `order_token`, and so refuses all orders
  /// that were given before that token was issued.
  bool is_fenced = false;
  /// The token of the last renewal that was planned.
  std::uint64_t planned_token = 0;
  /// The newest registered incarnation that a token was issued for.
  std::int64_t fenced_registration_ms = 0;
  /// It was given orders that grant leases: some, and some for an incarnation before the current.
  bool has_lease_orders = false;
  bool has_former_lease_orders = false;
  /// Starts that have neither been answered nor failed, and when the last one was or did.
  int pending_starts = 0;
  TimePoint last_start_settled{};
  /// Leases that its current incarnation took from orders for a former one may last until then.
  TimePoint long_lease_end{};
  /// A notice of them is stored or may be.
  bool has_long_lease_notice = false;
  Resources used;
  /// The part of `used` by long-running tasks.
  Resources used_by_long_running;
  /// Reserved for tasks that are moving here from an endpoint that is being evacuated.
  Resources reserved_capacity;
  std::set<TaskKey> claims;
  /// Of the batch tasks among `claims`, by time; see `ExpectedEnds`. Nothing if not computed since
  /// the last change of `claims`.
  std::optional<std::vector<ExpectedEnd>> batch_ends;
  /// The last report lists a run without progress for longer than
  /// `SchedulerOptions::stall_timeout`.
  bool may_have_stalled_runs = false;
  /// The number of `claims` by long-running tasks.
  std::uint32_t long_running_claims = 0;
  /// Runs that match no claim of this process, with the time of their last stop.
  std::map<std::pair<TaskKey, std::uint64_t>, TimePoint> orphaned_runs;
  /// The jobs of the ends that are processed and not stored, by the numbers of the ends.
  std::map<std::uint64_t, JobId> unstored_ends;
  /// The highest numbers of ends that were processed, stored, and confirmed to the endpoint.
  std::uint64_t seen_end = 0;
  std::uint64_t stored_end = 0;
  std::uint64_t confirmed_end = 0;
  /// The number of consecutive failed runs, and the jobs that they belong to.
  int failures = 0;
  std::set<JobId> failed_jobs;
  /// The first task and the run of the gang that failed here last.
  std::optional<std::pair<TaskKey, std::uint64_t>> last_failed_gang;
  TimePoint ejected_until{};
  TimePoint full_until{};
  /// The speed of its fillers.
  int speed_percent = 100;
  /// A `LapseNotice` about it is stored or may be, so that it gets no renewals and no starts.
  bool has_lapse_notice = false;
  /// When the last notice was made.
  TimePoint last_lapse_notice{};

  /// The pool that lists it and its position there; null while it isn't registered.
  PoolState* pool = nullptr;
  std::size_t position = 0;

  Resources FreeCapacity() const {
    return this->record.capacity - this->used - this->reserved_capacity;
  }
  /// What batch tasks can use once all others of them have ended.
  Resources CapacityForBatch() const { return this->record.capacity - this->used_by_long_running; }
  bool IsLeaving() const { return this->is_evacuating || this->record.is_draining; }
  /// The lowest value, in milliseconds, that its clock may show at `now` if it is slower than this
  /// process's clock by the fraction `slowness`. A lease that is computed from it ends early rather
  /// than late. Needs `clock_ms`.
  std::int64_t EarliestClockAt(TimePoint now, double slowness) const;
};

/// What is kept of an endpoint that is no longer registered.
struct ForgottenEndpoint {
  /// When the leases on it have certainly lapsed.
  TimePoint lease_end{};
  /// Until then, an order that it was given may still be executed.
  TimePoint last_arrival{};
  /// The incarnation that answered last; 0 if none did.
  std::int64_t born_ms = 0;
};

/// Capacity of an endpoint that is reserved for one task.
struct CapacityReservation {
  std::string endpoint;
  Resources capacity;
  TimePoint until{};
};

struct PoolState {
  /// Estimated work of the jobs that have arrived, in thousandths of a core and in megabytes, each
  /// multiplied by milliseconds.
  double arrived_cpu = 0;
  double arrived_memory = 0;
  double arrived_jobs = 0;
  std::vector<EndpointState*> endpoints;
  FreeCpuIndex by_free_cpu;
  std::set<ReadyKey> ready;
  /// Where the last round stopped to examine jobs behind those that found no capacity.
  std::optional<ReadyKey> resume_after;
  /// When the last `OverloadPlan` was made.
  TimePoint planned{};
};

/// A task with the job, occurrence and step that it belongs to.
struct TaskRef {
  JobState* job = nullptr;
  Occurrence* occurrence = nullptr;
  StepState* step = nullptr;
  const Step* spec = nullptr;
  Task* task = nullptr;
  TaskKey key;

  explicit operator bool() const { return this->task != nullptr; }
};

/// The starts that wait for the owner's link.
struct LinkState {
  explicit LinkState(double link_rate) : budget(link_rate) {}

  LinkBudget budget;
  /// The pool with which the next round begins. A round that ended because the link was full would
  /// otherwise begin with the same pool again, and the last pools would get nothing.
  std::optional<ServiceId> next_pool;
  /// The task at which the last round ended because the link was full.
  std::optional<TaskKey> first_waiting;
  std::uint64_t held_back = 0;
  /// When `owner_link_full` was last reported.
  std::optional<TimePoint> reported;
};

/// The tables of the scheduler and the operations that keep them consistent with one another.
struct SchedulerState {
  SchedulerState(const SchedulerOptions& options, std::uint64_t token, TimePoint term_start);

  /// Returns an empty reference if there is no such task.
  TaskRef Find(const TaskKey& key);
  /// These return null if there is none.
  JobState* FindJob(const JobId& id);
  EndpointState* FindEndpoint(const std::string& id);
  EndpointState& GetOrCreateEndpoint(const std::string& id);
  /// Forgets the endpoints that aren't registered and have neither claims nor notices, and returns
  /// their ids.
  std::vector<std::string> ForgetUnregisteredEndpoints(TimePoint now);
  /// Call after a change of what `EndpointState::IsLeaving` depends on.
  void RefreshLeaving(EndpointState& endpoint);

  /// Returns the occurrence; creates its tasks if it doesn't exist yet.
  Occurrence& GetOrCreateOccurrence(JobState& job, std::uint32_t number);
  /// Opens the steps whose dependencies are done, and marks the occurrence complete if all are
  /// done.
  void Advance(JobState& job, std::uint32_t number);
  /// Forgets the tasks of complete occurrences, except where a run of a task may still be active.
  void DropCompleteOccurrences();

  /// Reserves capacity for a task that is being moved to `endpoint`; replaces its last reservation.
  void ReserveCapacity(const TaskRef& ref, EndpointState& endpoint, TimePoint until);
  void ReleaseReservation(const TaskKey& key);
  void ReleaseExpiredReservations(TimePoint now);
  /// Places the waiting task on `endpoint` and counts its resources there.
  void Claim(const TaskRef& ref, EndpointState& endpoint, std::uint64_t run, TimePoint now);
  /// Releases the claim of a run that has ended or never existed.
  void Release(const TaskRef& ref);
  /// Takes over a claim that a predecessor stored.
  void Adopt(const TaskRef& ref);
  /// Stops the task's run, if any; a claim that isn't stored yet is released at once.
  void BeginStop(const TaskRef& ref, TimePoint now);
  /// Stops all runs of the gang that the task belongs to, if any.
  void StopGang(const TaskRef& ref, TimePoint now);
  /// Called when an endpoint has reported that a run of the task was started.
  void MarkStarted(const TaskRef& ref, const EndpointState& endpoint, TimePoint now);
  void ReportStart(const TaskRef& ref, const EndpointState& endpoint, TimePoint now);
  /// Marks the task as done and opens the steps that depend on it.
  void MarkDone(const TaskRef& ref, TimePoint now);
  /// Stops all runs of a job that is cancelled or has failed.
  void StopAll(JobState& job, TimePoint now);

  /// Has the job's progress stored with the next batch.
  void MarkDirty(JobState& job);
  /// Updates the job's position among the waiting jobs, or removes it from them and from
  /// `open_jobs`. Called whenever a job may have become over.
  void RefreshReady(JobState& job);
  /// Calls `visit` for each job that isn't over, in the order of their ids.
  template <typename Visit>
  void ForEachOpenJob(Visit visit) {
    for (const auto& [id, job] : this->open_jobs) {
      ++this->jobs_visited;
      if (!job->IsOver()) {
        visit(*job);
      }
    }
  }
  /// As in `ReadyKey`.
  std::uint32_t RankOf(const JobState& job) const;
  /// Recomputes the fields of the job that are derived from the policy.
  /// Sets what the job's terms determine.
  void ApplyPolicyTo(JobState& job);
  /// Updates the job's terms from the operators' rules. If these no longer contain its queue or
  /// team, keeps it in `policy` with the last known terms.
  void LearnTerms(JobState& job);
  /// The parts of the job's terms that its progress has to contain.
  JobTerms TermsToStore(const JobState& job) const;
  /// Calls `visit` for each task with a claim, job by job. Costs a lookup per job, while a walk
  /// over the claims of the endpoints costs one per task.
  void VisitClaims(const std::function<void(const TaskRef&)>& visit);
  /// Whether a long-running task on the endpoint isn't ready yet, or may be active there.
  bool HasStartingTask(const EndpointState& endpoint);
  bool IsWithinCap(const JobState& job, const Resources& need) const;
  /// The endpoint has refused an order, as it knows a higher token than the order's.
  void OnTokenTooLow(const std::string& endpoint, std::uint64_t token);
  /// Adds an event for the log; drops and counts it if too many are pending.
  void ReportEvent(DecisionEvent note);

  const SchedulerOptions options;
  /// This owner's fencing token.
  const std::uint64_t token;
  const TimePoint term_start;
  /// The operators' rules, with queues and teams of open jobs that were removed from them.
  Policy policy;
  /// The queues and teams that were removed, with the versions of the rules that they are from.
  std::map<std::string, std::uint64_t> former_queues;
  std::map<TeamId, std::uint64_t> former_teams;
  std::set<ZoneId> cordoned_zones;
  /// The wall-clock time of the last decision, in Unix milliseconds.
  std::int64_t wall_ms = 0;
  std::unordered_map<JobId, std::unique_ptr<JobState>> jobs;
  /// Jobs with claims.
  std::unordered_set<JobId> claiming_jobs;
  /// The number of calls of `FindJob`; a measure of the cost of a round.
  std::uint64_t job_lookups = 0;
  /// Those of `jobs` that aren't over. Ended jobs are kept for minutes, and may be the most.
  std::map<JobId, JobState*> open_jobs;
  /// The number of jobs that passes over all open jobs have examined.
  std::uint64_t jobs_visited = 0;
  /// Jobs whose cancellation was read before their submission.
  std::set<JobId> cancelled_early;
  std::set<JobId> scheduled;
  /// Ended jobs with their end in Unix milliseconds, in the order of their ends.
  std::deque<std::pair<std::int64_t, JobId>> ended;
  std::map<std::string, std::unique_ptr<EndpointState>> endpoints;
  /// A hash index of `endpoints`, for the thousands of lookups in a round.
  std::unordered_map<std::string, EndpointState*> endpoint_index;
  std::map<std::string, ForgottenEndpoint> forgotten_endpoints;
  OrderTokens order_tokens;
  /// The endpoints that are leaving, by id.
  std::map<std::string, EndpointState*> leaving;
  std::map<ServiceId, PoolState> pools;
  std::map<TaskKey, CapacityReservation> reservations;
  /// By endpoint: encoded lapse notices to store with the next batch; `std::nullopt` deletes one.
  std::map<std::string, std::optional<std::string>> lapse_changes;
  /// The same for notices of long leases.
  std::map<std::string, std::optional<std::string>> long_lease_changes;
  std::map<TeamId, Resources> team_usage;
  AccountDivision division;
  LinkState link;
  /// Complete occurrences whose tasks are still known.
  std::set<std::pair<JobId, std::uint32_t>> complete_occurrences;
  std::vector<JobId> dirty;
  /// Jobs of which the store rejects all records, with the times of the next attempts.
  std::map<JobId, TimePoint> rejected;
  /// Tasks whose start or stop may have to be repeated.
  std::set<TaskKey> retry_candidates;
  std::vector<ThrottleOrder> paces;
  std::vector<DecisionEvent> notes;
  std::uint64_t notes_dropped = 0;
  bool is_superseded = false;
  /// As in `Scheduler::EndpointsExamined`.
  std::uint64_t endpoints_examined = 0;
  std::uint64_t endpoints_updated = 0;
  /// An endpoint may have orphaned runs.
  bool has_orphaned_runs = false;
  /// An endpoint may have reported ends that are not in a batch yet.
  bool has_new_ends = false;
  /// No successor existed before this time.
  TimePoint proof;

 private:
  void KeepFormerQueue(const std::string& name, const QueueTerms& terms);
  void KeepFormerTeam(const TeamId& id, const TeamTerms& terms);
  /// The estimated time of the longest chain of steps that remain, in milliseconds.
  std::int64_t CriticalPathMs(const JobState& job, const Occurrence& occurrence) const;
  /// Changes what is in use or reserved on the endpoint.
  template <typename Change>
  static void ChangeFreeCapacity(EndpointState& endpoint, const Change& change);
  /// Adds or removes the task's claim in the usage of its endpoint, team and job.
  void AccountUsage(const TaskRef& ref, EndpointState& endpoint, bool is_added);
  /// The same for a batch task in the division among accounts.
  void AccountBatchUse(const TaskRef& ref, bool is_added);
};

/// The capacity that one task of the step claims on an endpoint; the cpu of a filler isn't counted.
Resources RequiredCapacity(const Step& step);

/// Rounds towards zero.
std::int64_t ToMilliseconds(Duration duration);
std::int64_t ToUnixMs(WallTime wall);

}  // namespace chervilspar::jobs
