#include "tests/jobs/restart_world.h"

#include <algorithm>
#include <utility>

namespace chervilspar::jobs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

/// The longest lease that an endpoint grants.
constexpr std::int64_t kLeaseLimitMs = 10000;
/// Enough for all tasks on one endpoint.
constexpr std::int64_t kCores = 1000;
/// An endpoint's registration shows a new incarnation this long after its start.
constexpr Duration kRegistrationDelay = milliseconds(1500);
/// The owner runs a round each 10 ms.
constexpr int kStepsPerRenewal = 8;

}  // namespace

void LeasedEndpoint::Restart(TimePoint now) {
  this->start = now;
  ++this->born_ms;
  this->lease_end_ms = 0;
  this->token = 0;
  this->is_heard = false;
  this->next_end = 1;
  this->active.clear();
  this->ended.clear();
  this->highest.clear();
}

std::optional<RenewalReport> LeasedEndpoint::Renew(const RenewalOrder& order, TimePoint now) {
  if (order.token < this->token) {
    return std::nullopt;
  }
  this->token = order.token;
  this->Grant(order.lease_end_ms.value_or(0), now);
  std::erase_if(this->ended,
                [&](const EndedRun& end) { return end.number <= order.confirmed_end; });
  RenewalReport report{this->ClockMs(now), this->born_ms, {}, this->ended};
  for (const auto& [task, run] : this->active) {
    // A different percentage each time, as a run without progress would be moved.
    report.active.push_back({task, run, "", static_cast<int>(++this->reports % 100), 0});
  }
  return report;
}

OrderOutcome LeasedEndpoint::Start(const StartOrder& order, TimePoint now) {
  if (order.token < this->token) {
    return OrderOutcome::kTokenTooLow;
  }
  this->token = order.token;
  if (order.lease_end_ms <= this->ClockMs(now)) {
    return OrderOutcome::kTooLate;
  }
  this->Grant(order.lease_end_ms, now);
  const auto running = this->active.find(order.task);
  if (running != this->active.end() && running->second == order.run) {
    return OrderOutcome::kDone;
  }
  if (running != this->active.end() || order.run <= this->highest[order.task]) {
    return OrderOutcome::kRunTooOld;
  }
  if (this->is_full) {
    return OrderOutcome::kNoCapacity;
  }
  this->active[order.task] = order.run;
  return OrderOutcome::kDone;
}

OrderOutcome LeasedEndpoint::Stop(const StopOrder& order) {
  if (order.token < this->token) {
    return OrderOutcome::kTokenTooLow;
  }
  const auto running = this->active.find(order.task);
  if (running != this->active.end() && running->second == order.run) {
    this->End(order.task, RunEnd::kStopped);
  }
  this->highest[order.task] = std::max(this->highest[order.task], order.run);
  return OrderOutcome::kDone;
}

void LeasedEndpoint::EndLapsedRuns(TimePoint now) {
  if (this->ClockMs(now) >= this->lease_end_ms) {
    const auto lapsed = this->active;
    for (const auto& [task, run] : lapsed) {
      this->End(task, RunEnd::kLeaseLapsed);
    }
  }
}

std::int64_t LeasedEndpoint::ClockMs(TimePoint now) const {
  const std::chrono::duration<double, std::milli> age = now - this->start;
  return static_cast<std::int64_t>(age.count() * this->clock_rate);
}

void LeasedEndpoint::Grant(std::int64_t end_ms, TimePoint now) {
  const std::int64_t longest = this->ClockMs(now) + kLeaseLimitMs;
  this->lease_end_ms = std::max(this->lease_end_ms, std::min(end_ms, longest));
}

void LeasedEndpoint::End(const TaskKey& task, RunEnd end) {
  this->ended.push_back({this->next_end++, task, this->active.at(task), end, ""});
  this->highest[task] = std::max(this->highest[task], this->active.at(task));
  this->active.erase(task);
}

std::vector<LapseNotice> RestartWorld::Notices::Read() const {
  std::vector<LapseNotice> notices;
  for (const auto& [endpoint, text] : this->texts) {
    notices.push_back(*DecodeLapseNotice(text));
  }
  return notices;
}

RestartWorld::RestartWorld(const SchedulerOptions& options) : options(options) {
  for (LeasedEndpoint& endpoint : this->endpoints) {
    endpoint.Restart(TimePoint{});
  }
  this->TakeOver();
}

void RestartWorld::Submit(std::uint32_t tasks) {
  this->jobs.push_back(Harness::MakeJob(this->jobs.size() + 1, {Harness::MakeStep(tasks)}));
  this->owner->AddJob(this->jobs.back(), this->Wall());
}

void RestartWorld::TakeOver() {
  this->owner = std::make_unique<Scheduler>(this->options, ++this->token, this->now);
  this->owner->SetPolicy(Harness().policy);
  this->Register();
  for (const Job& job : this->jobs) {
    this->owner->AddJob(job, this->Wall());
  }
  for (const auto& [id, text] : this->stored) {
    this->owner->RestoreProgress(id, *DecodeProgress(text));
  }
  this->owner->RestoreLapseNotices(this->notices[LapseRecord::Kind::kLapse].Read());
  this->owner->RestoreLongLeases(this->notices[LapseRecord::Kind::kLongLease].Read());
}

void RestartWorld::Run(Duration duration) {
  for (const TimePoint end = this->now + duration; this->now < end;) {
    this->now += milliseconds(10);
    this->owner->SetProof(this->now);
    this->Register();
    const bool is_renewal_due = ++this->steps % kStepsPerRenewal == 0;
    this->ExecuteLateOrders();
    for (LeasedEndpoint& endpoint : this->endpoints) {
      endpoint.EndLapsedRuns(this->now);
      if (is_renewal_due) {
        this->Renew(endpoint);
      }
    }
    this->Send(this->owner->Decide(this->now, this->Wall()));
    this->Store();
    this->CountSecondRuns();
  }
}

void RestartWorld::Recover() {
  for (LeasedEndpoint& endpoint : this->endpoints) {
    endpoint.is_cut = endpoint.loses_answers = endpoint.is_full = false;
    endpoint.is_registration_stale = false;
    endpoint.order_delay.reset();
  }
  this->Run(seconds(16));
}

std::size_t RestartWorld::ActiveRuns() const {
  std::size_t count = 0;
  for (const LeasedEndpoint& endpoint : this->endpoints) {
    count += endpoint.active.size();
  }
  return count;
}

std::size_t RestartWorld::Tasks() const {
  std::size_t count = 0;
  for (const Job& job : this->jobs) {
    count += job.steps[0].count;
  }
  return count;
}

void RestartWorld::Register() {
  std::vector<EndpointRecord> records;
  for (const LeasedEndpoint& endpoint : this->endpoints) {
    EndpointRecord record = Harness::Endpoint(endpoint.id, kCores);
    std::int64_t& registered = this->registered_born_ms[endpoint.id];
    if (!endpoint.is_registration_stale) {
      const bool is_new = this->now - endpoint.start < kRegistrationDelay;
      registered = endpoint.born_ms - (is_new ? 1 : 0);
    }
    record.born_ms = registered;
    records.push_back(record);
  }
  this->owner->SetEndpoints(records, this->now);
}

void RestartWorld::Renew(LeasedEndpoint& endpoint) {
  const RenewalPlan plan = this->owner->PlanRenewal(endpoint.id, this->now);
  if (!plan.is_needed) {
    return;
  }
  if (endpoint.order_delay && !endpoint.is_cut) {
    this->late_orders.emplace(
        this->now + *endpoint.order_delay,
        [this, &endpoint, order = plan.order] { endpoint.Renew(order, this->now); });
  } else if (!endpoint.is_cut) {
    const std::optional<RenewalReport> report = endpoint.Renew(plan.order, this->now);
    if (!endpoint.loses_answers && report) {
      endpoint.is_heard = true;
      const TimePoint sent = this->now - milliseconds(1);
      this->owner->OnRenewalAnswered(plan.order, *report, sent, this->now);
      return;
    }
    if (!endpoint.loses_answers) {
      this->owner->OnRenewalFailed(endpoint.id, OrderOutcome::kTokenTooLow, this->now);
      return;
    }
  }
  this->owner->OnRenewalFailed(endpoint.id, OrderOutcome::kNoAnswer, this->now);
}

LeasedEndpoint& RestartWorld::Find(const std::string& id) {
  return this->endpoints[0].id == id ? this->endpoints[0] : this->endpoints[1];
}

void RestartWorld::Send(const Orders& orders) {
  for (const StopOrder& stop : orders.stops) {
    this->owner->OnStopAnswered(stop, this->SendStop(this->Find(stop.endpoint), stop), this->now);
  }
  for (const StartOrder& start : orders.starts) {
    this->owner->OnStartAnswered(start, this->SendStart(this->Find(start.endpoint), start),
                                 this->now);
  }
}

StartAnswer RestartWorld::SendStart(LeasedEndpoint& endpoint, const StartOrder& start) {
  if (endpoint.is_cut) {
    return OrderOutcome::kNoAnswer;
  }
  if (endpoint.order_delay) {
    this->late_orders.emplace(this->now + *endpoint.order_delay, [this, &endpoint, start] {
      if (endpoint.is_heard || !this->drops_unheard_starts) {
        endpoint.Start(start, this->now);
      }
    });
    return OrderOutcome::kNoAnswer;
  }
  if (this->drops_unheard_starts && endpoint.loses_answers && !endpoint.is_heard) {
    return OrderOutcome::kNoAnswer;
  }
  const StartAnswer answer(endpoint.Start(start, this->now), endpoint.ClockMs(this->now));
  endpoint.is_heard |= !endpoint.loses_answers;
  return endpoint.loses_answers ? StartAnswer(OrderOutcome::kNoAnswer) : answer;
}

OrderOutcome RestartWorld::SendStop(LeasedEndpoint& endpoint, const StopOrder& stop) {
  if (endpoint.is_cut) {
    return OrderOutcome::kNoAnswer;
  }
  if (endpoint.order_delay) {
    this->late_orders.emplace(this->now + *endpoint.order_delay,
                              [&endpoint, stop] { endpoint.Stop(stop); });
    return OrderOutcome::kNoAnswer;
  }
  const OrderOutcome outcome = endpoint.Stop(stop);
  return endpoint.loses_answers ? OrderOutcome::kNoAnswer : outcome;
}

void RestartWorld::ExecuteLateOrders() {
  while (!this->late_orders.empty() && this->late_orders.begin()->first <= this->now) {
    const auto order = this->late_orders.extract(this->late_orders.begin());
    order.mapped()();
  }
}

void RestartWorld::Store() {
  if (!this->owner->HasBatch()) {
    return;
  }
  const Batch batch = this->owner->TakeBatch();
  for (const ProgressRecord& record : batch.records) {
    this->stored[record.job] = *record.text;
  }
  for (const LapseRecord& record : batch.lapses) {
    std::map<std::string, std::string>& texts = this->notices[record.kind].texts;
    if (record.text) {
      texts[record.endpoint] = *record.text;
    } else {
      texts.erase(record.endpoint);
    }
  }
  this->Send(this->owner->ConfirmBatch(this->now));
}

void RestartWorld::CountSecondRuns() {
  for (const auto& [task, run] : this->endpoints[0].active) {
    this->second_runs += this->endpoints[1].active.contains(task) ? 1 : 0;
  }
}

void LoseAnswers(RestartWorld& world, LeasedEndpoint& endpoint, Duration duration) {
  endpoint.loses_answers = true;
  world.Run(duration);
  endpoint.loses_answers = false;
}

void DelayOrders(RestartWorld& world, LeasedEndpoint& endpoint, Duration duration, Duration delay) {
  endpoint.order_delay = delay;
  world.Run(duration);
  endpoint.order_delay.reset();
}

}  // namespace chervilspar::jobs
