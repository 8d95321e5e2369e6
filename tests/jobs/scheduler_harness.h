#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chervilspar/jobs/scheduler.h"

namespace chervilspar::jobs {

/// Drives a scheduler step by step, with a manual clock, scripted endpoints and a store that
/// confirms on demand.
class SchedulerHarness {
 public:
  explicit SchedulerHarness(SchedulerOptions options = {}, std::uint64_t token = 1)
      : SchedulerHarness(options, token, TimePoint{}, TimePoint{} + std::chrono::seconds(1)) {}
  SchedulerHarness(SchedulerOptions options, std::uint64_t token, TimePoint term_start,
                   TimePoint now)
      : options(options), scheduler(options, token, term_start), now(now) {
    Policy policy;
    policy.version = 1;
    Queue queue;
    queue.name = "bookings";
    queue.service = ServiceId{"desk"};
    queue.attempts = 2;
    queue.slack_factor = 2.0;
    queue.target = std::chrono::milliseconds(500);
    policy.queues["bookings"] = queue;
    queue.name = "watch";
    policy.queues["watch"] = queue;
    policy.teams[TeamId{"counter"}] = {TeamId{"counter"}, 1.0, {}};
    this->policy = policy;
    this->scheduler.SetPolicy(policy);
  }

  static EndpointRecord Endpoint(const std::string& id, std::int64_t cores = 8) {
    EndpointRecord record;
    record.id = id;
    record.service = ServiceId{"desk"};
    record.address = {"127.0.0.1", 1000};
    record.born_ms = 1;
    record.capacity = {cores * 1000, 64000, 0};
    record.rack = "r-" + id.substr(0, 1);
    record.labels = {"kind", record.rack};
    return record;
  }

  static Job MakeJob(std::uint64_t number, std::vector<Step> steps) {
    Job job;
    job.id = JobId{number};
    job.queue = "bookings";
    job.service = ServiceId{"desk"};
    job.team = TeamId{"counter"};
    job.payload = "work";
    job.steps = std::move(steps);
    return job;
  }

  static Step MakeStep(std::uint32_t count, std::int64_t cpu = 1000) {
    Step step;
    step.count = count;
    step.need = {cpu, 100, 0};
    step.estimate_ms = 1000;
    return step;
  }

  void Register(const std::vector<EndpointRecord>& records) {
    this->endpoints = records;
    this->scheduler.SetEndpoints(records, this->now);
    for (const EndpointRecord& record : records) {
      this->AnswerRenewal(record.id, {}, {});
    }
  }

  void AdvanceTime(Duration duration) { this->now += duration; }

  /// Sends a renewal to the endpoint, which answers 1 ms later, and another at once if that answer
  /// shows that it has restarted.
  void AnswerRenewal(const std::string& id, std::vector<ActiveRun> active,
                     std::vector<EndedRun> ended, std::int64_t born_ms = 1) {
    this->AnswerOneRenewal(id, active, ended, born_ms);
    if (this->scheduler.IsRestartUnconfirmed(id)) {
      this->AnswerOneRenewal(id, std::move(active), std::move(ended), born_ms);
    }
  }

  void AnswerOneRenewal(const std::string& id, std::vector<ActiveRun> active,
                        std::vector<EndedRun> ended, std::int64_t born_ms = 1) {
    const RenewalPlan plan = this->scheduler.PlanRenewal(id, this->now);
    RenewalReport report;
    report.born_ms = born_ms;
    report.clock_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch()).count();
    report.active = std::move(active);
    report.ended = std::move(ended);
    this->last_renewal = plan.order;
    const TimePoint sent = this->now;
    this->AdvanceTime(std::chrono::milliseconds(1));
    this->scheduler.OnRenewalAnswered(plan.order, report, sent, this->now);
  }

  /// Decides and stores, and returns all resulting orders.
  Orders Round() {
    Orders orders = this->Decide();
    Orders confirmed = this->Store();
    orders.starts.insert(orders.starts.end(), confirmed.starts.begin(), confirmed.starts.end());
    return orders;
  }

  Orders Decide() {
    this->AdvanceTime(std::chrono::milliseconds(1));
    return this->scheduler.Decide(this->now, WallTime(this->now.time_since_epoch()));
  }

  Orders Store() {
    if (!this->scheduler.HasBatch()) {
      return {};
    }
    const Batch batch = this->scheduler.TakeBatch();
    for (const ProgressRecord& record : batch.records) {
      if (record.part > 0 && record.text) {
        this->further_parts[record.job][record.part] = *record.text;
      } else if (record.part > 0) {
        this->further_parts[record.job].erase(record.part);
      } else {
        this->stored[record.job] = record.text.value_or("");
      }
    }
    for (const LapseRecord& record : batch.lapses) {
      const bool is_lapse = record.kind == LapseRecord::Kind::kLapse;
      std::map<std::string, std::string>& notices = is_lapse ? this->lapses : this->long_leases;
      if (record.text) {
        notices[record.endpoint] = *record.text;
      } else {
        notices.erase(record.endpoint);
      }
    }
    return this->scheduler.ConfirmBatch(this->now);
  }

  /// Runs a round and confirms all its starts.
  std::vector<StartOrder> StartAll() {
    std::vector<StartOrder> starts = this->Round().starts;
    for (const StartOrder& start : starts) {
      this->scheduler.OnStartAnswered(start, OrderOutcome::kDone, this->now);
    }
    this->AdvanceTime(std::chrono::milliseconds(1));
    return starts;
  }

  static ActiveRun Active(const StartOrder& start, int percent = 50) {
    return {start.task, start.run, "", percent, 0};
  }

  static EndedRun Ended(std::uint64_t number, const StartOrder& start, RunEnd end,
                        std::string checkpoint = "") {
    return {number, start.task, start.run, end, std::move(checkpoint)};
  }

  JobPhase PhaseOf(std::uint64_t number) const {
    const std::optional<JobView> view = this->scheduler.Find(JobId{number});
    return view ? view->phase : JobPhase::kCancelled;
  }

  SchedulerOptions options;
  Policy policy;
  Scheduler scheduler;
  TimePoint now;
  std::vector<EndpointRecord> endpoints;
  std::map<JobId, std::string> stored;
  std::map<JobId, std::map<std::uint32_t, std::string>> further_parts;
  /// Lapse notices by endpoint.
  std::map<std::string, std::string> lapses;
  std::map<std::string, std::string> long_leases;
  RenewalOrder last_renewal;
};

}  // namespace chervilspar::jobs
