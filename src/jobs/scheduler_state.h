#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilspar/jobs/scheduler.h"

namespace chervilspar::jobs {

struct EndpointState;

/// A task without estimate counts as one of so many milliseconds.
inline constexpr std::int64_t kMinEstimateMs = 50;

/// The percent of a long-running task that has come to work.
inline constexpr int kReadyPercent = 100;

/// Where a task's run is, as this process knows it.
enum class RunState {
  kNone,
  /// Placed; the record that says so isn't stored yet, and nothing was sent.
  kRecording,
  /// The start is on its way.
  kStarting,
  /// The start got no answer, or a predecessor placed it: it may run or come to run.
  kUnconfirmed,
  /// The endpoint has confirmed it.
  kActive,
  /// A stop is on its way; it counts until its end is known.
  kStopping,
};

/// A task with its claim on an endpoint, if any.
struct Task {
  TaskProgress progress;
  RunState state = RunState::kNone;
  /// Where the claim counts; null exactly when `state` is `kNone`.
  EndpointState* endpoint = nullptr;
  /// When `state` began.
  TimePoint since{};
  /// When the last start or stop was sent.
  TimePoint last_order_sent{};
  /// After this, by our clock, an unanswered start can't be carried out any more.
  TimePoint start_expires{};
  /// The same on the endpoint's clock.
  std::int64_t lease_end_ms = 0;
  int start_tries = 0;
  /// Placed by a predecessor.
  bool is_adopted = false;
  /// The endpoint has shown this run; if it was ordered once, no start of it is under way any more.
  bool is_reported = false;
  /// When the endpoint answered a stop of this run.
  std::optional<TimePoint> stop_answered;
  int percent = 0;
  TimePoint percent_since{};
  std::int64_t gauge = 0;
  /// As ordered last; nothing when it isn't known what came of that.
  std::optional<int> pace = 100;
  TimePoint not_before{};
  int restarts = 0;
  /// Passed over in the next placement, as the last run failed there.
  std::string avoided_endpoint;
  std::string ticket;
  /// It should leave its endpoint, and no other has room for it.
  bool lacks_target = false;

  bool IsWaiting() const {
    return this->state == RunState::kNone && this->progress.phase == TaskPhase::kWaiting;
  }
};

/// What the adviser said of a step.
struct StepAdvice {
  bool is_asked = false;
  TimePoint asked{};
  TimePoint valid_until{};
  std::map<std::string, std::string> ticket_of_endpoint;
};

struct StepState {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  /// All earlier steps that it waits for are done.
  bool is_open = false;
  StepAdvice advice;

  bool IsDone() const { return this->done == this->tasks.size(); }
};

struct Occurrence {
  std::vector<StepState> steps;

  bool IsDone() const;
};

/// Why a job's next task has no endpoint.
enum class WaitReason { kNone, kNoCapacity, kNoEligibleEndpoint, kCordoned, kTeamLimit, kAdvice };

const char* ToString(WaitReason reason);

/// The place of a job among those that wait for the same endpoints; smaller goes first.
struct ReadyKey {
  /// 0 for long-running work, then by the queue's priority.
  std::uint32_t rank = 0;
  /// Unix milliseconds: started later than this, the job is late.
  std::int64_t latest_start_ms = 0;
  JobId job;

  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

struct JobState {
  Job job;
  ServiceId service;
  std::uint32_t attempts = 1;
  /// Its queue's steps run only where the adviser allows.
  bool needs_advice = false;
  /// Unix milliseconds; the job is late afterwards, and worthless after `worthless_ms`.
  std::int64_t deadline_ms = 0;
  std::int64_t worthless_ms = 0;
  bool is_cancelled = false;
  bool is_failed = false;
  /// When this owner sent the first order to start one of its tasks.
  std::optional<TimePoint> first_start_sent;
  /// An endpoint has shown a run of one of its tasks. An order alone may come to nothing.
  bool has_started = false;
  /// When that was shown to this owner.
  TimePoint begun{};
  bool is_dirty = false;
  std::int64_t ended_ms = 0;
  /// The last phase that was stored.
  JobPhase stored_phase = JobPhase::kQueued;
  std::map<std::uint32_t, Occurrence> occurrences;
  std::set<std::uint32_t> complete_occurrences;
  std::uint32_t next_due = 0;
  /// Tasks with a claim on an endpoint.
  std::uint32_t claims = 0;
  std::optional<ReadyKey> ready;
  /// It could be on time, but not together with the others; see `OverloadPlan`.
  bool is_abandoned = false;
  /// Told of once for each reason, when the job is late.
  WaitReason reported_wait_reason = WaitReason::kNone;

  bool IsComplete() const { return this->complete_occurrences.size() == this->job.Occurrences(); }
  JobPhase Phase() const;
  /// Nothing of it will be started any more.
  bool IsOver() const { return this->is_cancelled || this->is_failed || this->IsComplete(); }
};

struct EndpointState {
  EndpointRecord record;
  bool is_registered = false;
  bool is_evacuating = false;
  /// Its zone is; see `ZoneCordon`.
  bool is_cordoned = false;
  /// Its VM is to be rebooted soon.
  bool is_reboot_due = false;
  /// The life that the claims belong to; 0 until it is known.
  std::int64_t born_ms = 0;
  /// Its clock at a moment of ours; nothing before its first answer.
  std::optional<std::int64_t> clock_ms;
  TimePoint clock_at{};
  TimePoint last_response{};
  /// When the last renewal that was answered was sent.
  TimePoint last_answered_request{};
  bool is_silent = false;
  /// By our clock, all that was started there has lost its lease at this time if nobody renews.
  TimePoint lease_end{};
  Resources used;
  /// Kept free for tasks that are on their way here from an endpoint that is being emptied.
  Resources kept;
  std::set<TaskKey> claims;
  /// Runs that nobody here knows, with the time of their last stop.
  std::map<std::pair<TaskKey, std::uint64_t>, TimePoint> orphaned_runs;
  /// Highest end taken in, stored, and confirmed to the endpoint.
  std::uint64_t seen_end = 0;
  std::uint64_t stored_end = 0;
  std::uint64_t confirmed_end = 0;
  /// Runs that failed in a row, over these jobs.
  int failures = 0;
  std::set<JobId> failed_jobs;
  TimePoint ejected_until{};
  TimePoint full_until{};
  int pace = 100;
  /// A `LapseNotice` about it is stored or may be: nothing is renewed or started there.
  bool has_lapse_notice = false;
  /// When the last notice was made.
  TimePoint noticed{};

  Resources FreeCapacity() const { return this->record.capacity - this->used - this->kept; }
  bool IsLeaving() const { return this->is_evacuating || this->record.is_draining; }
  /// The least that its clock may show, if it is by `slowness` slower than ours since it was read.
  /// A lease that is reckoned from it ends early rather than late.
  std::int64_t EarliestClockAt(TimePoint now, double slowness) const;
};

/// FreeCapacity that is kept for one task.
struct KeptRoom {
  std::string endpoint;
  Resources room;
  TimePoint until{};
};

struct PoolState {
  /// Estimated work of the jobs that came, in thousandths of a core and in megabytes, each times
  /// milliseconds.
  double arrived_cpu = 0;
  double arrived_memory = 0;
  double arrived_jobs = 0;
  std::vector<EndpointState*> endpoints;
  std::set<ReadyKey> ready;
  /// When it was last planned who is served on time.
  TimePoint planned{};
};

/// A task together with all that it belongs to.
struct TaskRef {
  JobState* job = nullptr;
  Occurrence* occurrence = nullptr;
  StepState* step = nullptr;
  const Step* spec = nullptr;
  Task* task = nullptr;
  TaskKey key;

  explicit operator bool() const { return this->task != nullptr; }
};

/// The tables of the scheduler and the few operations that keep them in step with one another.
struct SchedulerState {
  SchedulerState(const SchedulerOptions& options, std::uint64_t token, TimePoint term_start);

  TaskRef Find(const TaskKey& key);
  JobState* FindJob(const JobId& id);
  EndpointState* FindEndpoint(const std::string& id);
  EndpointState& GetOrCreateEndpoint(const std::string& id);

  /// Makes the tasks of an occurrence unless they are there.
  Occurrence& GetOrCreateOccurrence(JobState& job, std::uint32_t number);
  /// Opens the steps whose predecessors are done, and counts the occurrence when all are.
  void Advance(JobState& job, std::uint32_t number);

  /// Keeps room for a task that is being moved to `endpoint`.
  void ReserveCapacity(const TaskRef& ref, EndpointState& endpoint, TimePoint until);
  void ReleaseReservation(const TaskKey& key);
  void ReleaseExpiredReservations(TimePoint now);
  void Claim(const TaskRef& ref, EndpointState& endpoint, std::uint64_t run, TimePoint now);
  /// The run is over or never was; its room is free.
  void Release(const TaskRef& ref);
  /// A claim that a predecessor stored.
  void Adopt(const TaskRef& ref);
  void BeginStop(const TaskRef& ref, TimePoint now);
  /// Stops what runs of the gang that the task belongs to, if any.
  void StopGang(const TaskRef& ref, TimePoint now);
  /// An endpoint has shown that a run of the task has begun.
  void MarkStarted(const TaskRef& ref, const EndpointState& endpoint, TimePoint now);
  void ReportStart(const TaskRef& ref, const EndpointState& endpoint, TimePoint now);
  void MarkDone(const TaskRef& ref, TimePoint now);
  /// Ends all that runs of a job that is cancelled or has failed.
  void StopAll(JobState& job, TimePoint now);

  void MarkDirty(JobState& job);
  /// Puts the job where it belongs among those that wait, or takes it out.
  void RefreshReady(JobState& job);
  /// Follows a change of the rules in what was derived from them.
  void ApplyPolicyTo(JobState& job);
  /// A long-running task runs there and isn't at work yet, or may run there.
  bool HasStartingTask(const EndpointState& endpoint);
  bool IsWithinCap(const JobState& job, const Resources& need) const;
  void ReportEvent(Note note);

  const SchedulerOptions options;
  const std::uint64_t token;
  const TimePoint term_start;
  Policy policy;
  std::set<ZoneId> cordoned_zones;
  /// The time of day at the last decision, in Unix milliseconds.
  std::int64_t wall_ms = 0;
  std::unordered_map<JobId, std::unique_ptr<JobState>> jobs;
  /// Cancelled before the job itself was seen here.
  std::set<JobId> cancelled_early;
  std::set<JobId> scheduled;
  /// Ended jobs in the order in which they ended.
  std::deque<std::pair<std::int64_t, JobId>> ended;
  std::map<std::string, std::unique_ptr<EndpointState>> endpoints;
  /// The same by hash, for the thousands of look-ups of a round.
  std::unordered_map<std::string, EndpointState*> endpoint_index;
  std::map<ServiceId, PoolState> pools;
  std::map<TaskKey, KeptRoom> reservations;
  /// Lapse notices to be stored, or dropped, with the next batch, by endpoint.
  std::map<std::string, std::optional<std::string>> lapse_changes;
  std::map<TeamId, Resources> team_usage;
  std::vector<JobId> dirty;
  /// Tasks whose start or stop may have to be sent again.
  std::set<TaskKey> retry_candidates;
  std::vector<ThrottleOrder> paces;
  std::vector<Note> notes;
  std::uint64_t notes_dropped = 0;
  bool is_superseded = false;
  /// Some endpoint may have runs that nobody here knows.
  bool has_orphaned_runs = false;
  /// Some endpoint may have told ends that are not in a batch yet.
  bool has_new_ends = false;
  /// Until this time there was certainly no successor.
  TimePoint proof;

 private:
  std::int64_t CriticalPathMs(const JobState& job, const Occurrence& occurrence) const;
  void CountUse(const TaskRef& ref, EndpointState& endpoint, bool is_added);
};

/// What one task takes of an endpoint: a filler's cpu isn't counted there.
Resources RequiredCapacity(const Step& step);

std::int64_t ToMilliseconds(Duration span);
std::int64_t ToUnixMs(WallTime wall);

}  // namespace chervilspar::jobs
