#include "chervilspar/jobs/admission_policy.h"

#include <algorithm>
#include <cmath>

#include "chervilspar/jobs/promised_room.h"

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

namespace {

/// How long an admitted job is remembered: longer than a caller waits before it submits the job
/// again, and longer than the owner takes to read it.
constexpr Duration kRepeatTime = std::chrono::seconds(5);
/// Bounds the memory of an entry.
constexpr std::size_t kMaxAdmissions = 512;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMilliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

/// Sums up the work that one entry has decided on.
struct WorkSum {
  double total = 0;
  double largest = 0;

  void Add(double work) {
    this->total += work;
    this->largest = std::max(this->largest, work);
  }
  /// What all entries have probably decided on. One job alone doesn't show that the other entries
  /// got jobs as well, so the largest one counts only once.
  double AtAll(std::uint32_t entries) const {
    return this->largest + (this->total - this->largest) * std::max<std::uint32_t>(entries, 1);
  }
};

/// Whether a limit of 0, which means none, or a larger one than `need` allows it.
bool IsWithin(std::int64_t need, std::int64_t cap) { return cap == 0 || need <= cap; }

bool Fits(const Resources& need, const Resources& cap) {
  return IsWithin(need.cpu, cap.cpu) && IsWithin(need.memory_mb, cap.memory_mb) &&
         IsWithin(need.gpus, cap.gpus);
}

double EstimateMs(const Step& step) {
  return static_cast<double>(std::max(step.estimate_ms, kMinEstimateMs));
}

double ChainMs(const Job& job) {
  std::vector<double> ends(job.steps.size(), 0);
  double longest = 0;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    for (const std::uint32_t earlier : job.steps[i].after) {
      ends[i] = std::max(ends[i], ends[earlier]);
    }
    ends[i] += EstimateMs(job.steps[i]);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace

double WorkOf(const Job& job) {
  double work = 0;
  for (const Step& step : job.steps) {
    work += static_cast<double>(step.count) * static_cast<double>(RequiredCapacity(step).cpu) *
            EstimateMs(step);
  }
  return work;
}

const char* ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kLate:
      return "late";
    case RefusalReason::kWorthless:
      return "worthless";
    case RefusalReason::kExceedsCap:
      return "cap";
  }
  return "unknown";
}

AdmissionRequest MakeAdmissionRequest(const Job& job, const Policy& policy) {
  AdmissionRequest request;
  request.job = job.id;
  request.team = job.team;
  request.queue = job.queue;
  request.work = WorkOf(job);
  request.chain_ms = ChainMs(job);
  request.is_batch = !job.IsLongRunning() && !job.IsScheduled();
  const auto queue = policy.queues.find(job.queue);
  if (queue != policy.queues.end()) {
    request.objective_ms =
        queue->second.slack_factor * request.chain_ms + Milliseconds(queue->second.target);
  }
  const auto team = policy.teams.find(job.team);
  request.exceeds_cap = team != policy.teams.end() &&
                        std::none_of(job.steps.begin(), job.steps.end(), [&](const Step& step) {
                          return Fits(step.need, team->second.cap);
                        });
  return request;
}

void AdmissionPolicy::SetOutlook(AdmissionOutlook outlook, TimePoint asked) {
  if (outlook.token < this->highest_token) {
    this->outlook.reset();
    return;
  }
  this->highest_token = outlook.token;
  this->asked_at = asked;
  this->taken_at = asked - FromMilliseconds(std::max(outlook.age_ms, 0.0));
  this->outlook = std::move(outlook);
}

bool AdmissionPolicy::HasOutlook(TimePoint now) const {
  return this->outlook && now - this->taken_at <= this->options.max_age;
}

bool AdmissionPolicy::IsUnderLoad() const {
  return this->outlook && !this->outlook->accounts.empty();
}

double AdmissionPolicy::AgeMs(TimePoint now) const {
  return std::max(0.0, Milliseconds(now - this->taken_at));
}

const AccountOutlook* AdmissionPolicy::Find(const AdmissionRequest& request) const {
  for (const AccountOutlook& account : this->outlook->accounts) {
    if (account.team == request.team && account.queue == request.queue) {
      return &account;
    }
  }
  return nullptr;
}

std::optional<TimePoint> AdmissionPolicy::ReturnTimeOf(const JobId& id) const {
  const auto own = this->refused.find(id);
  if (own != this->refused.end()) {
    return own->second.due;
  }
  if (this->outlook) {
    for (const Promise& promise : this->outlook->promises) {
      if (promise.job == id) {
        return this->asked_at + FromMilliseconds(promise.due_in_ms);
      }
    }
  }
  return std::nullopt;
}

bool AdmissionPolicy::IsRepeat(const JobId& id) const {
  return std::any_of(this->admitted.begin(), this->admitted.end(),
                     [&](const Admission& admission) { return admission.job == id; });
}

double AdmissionPolicy::AdmittedWork(const AdmissionRequest& request) const {
  WorkSum sum;
  for (const Admission& admission : this->admitted) {
    if (admission.at >= this->taken_at && admission.team == request.team &&
        admission.queue == request.queue) {
      sum.Add(admission.work);
    }
  }
  return sum.AtAll(this->outlook->entries);
}

double AdmissionPolicy::RefusedWork(const AdmissionRequest& request) const {
  WorkSum sum;
  for (const auto& [id, refusal] : this->refused) {
    if (refusal.request.team == request.team && refusal.request.queue == request.queue) {
      sum.Add(refusal.request.work);
    }
  }
  return sum.AtAll(this->outlook->entries);
}

double AdmissionPolicy::ExpectedEndMs(const AccountOutlook& account,
                                      const AdmissionRequest& request, TimePoint now) const {
  // The promised callers return one after another; those that return after the latest start of this
  // job are served after it.
  const double slack_ms = std::max(request.objective_ms - request.chain_ms, 0.0);
  const double before = account.promised_until_ms > slack_ms
                            ? account.promised_work * slack_ms / account.promised_until_ms
                            : account.promised_work;
  const double work = account.on_time_work + this->AdmittedWork(request) + before;
  const double start_ms = std::max(work / account.due_cpu - this->AgeMs(now), 0.0);
  return start_ms + std::max(request.chain_ms, request.work / account.due_cpu);
}

RefusalReason AdmissionPolicy::Judge(const AccountOutlook& account, const AdmissionRequest& request,
                                     double expected_end_ms) const {
  if (this->outlook->is_full && !account.is_beyond_share) {
    return RefusalReason::kNone;
  }
  const double late_ms = request.objective_ms * (1.0 + this->options.margin);
  if (expected_end_ms > late_ms * this->options.late_factor) {
    return RefusalReason::kWorthless;
  }
  return account.is_beyond_share && expected_end_ms > late_ms ? RefusalReason::kLate
                                                              : RefusalReason::kNone;
}

Duration AdmissionPolicy::TimeToReturn(const AccountOutlook& account,
                                       const AdmissionRequest& request, TimePoint now) const {
  const double work = account.on_time_work + this->AdmittedWork(request) + account.promised_work +
                      this->RefusedWork(request);
  const double start_ms = std::max(work / account.due_cpu - this->AgeMs(now), 0.0);
  return FromMilliseconds(std::min(start_ms, Milliseconds(this->options.max_return)));
}

int AdmissionPolicy::InWholeSeconds(Duration time) const {
  const Duration bounded = std::clamp(time, this->options.min_return, this->options.max_return);
  return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(bounded).count());
}

AdmissionDecision AdmissionPolicy::Decide(const AdmissionRequest& request, TimePoint now) {
  this->Review(now);
  const std::optional<TimePoint> promised = this->ReturnTimeOf(request.job);
  AdmissionDecision decision;
  decision.is_returned = promised.has_value();
  const bool is_expected =
      promised && now >= *promised - this->options.early_return && now <= *promised + kPromiseGrace;
  if (!request.is_batch || !this->HasOutlook(now) || is_expected || this->IsRepeat(request.job)) {
    this->Admit(request, now);
    return decision;
  }
  if (request.exceeds_cap) {
    decision.reason = RefusalReason::kExceedsCap;
    decision.return_after_s = this->InWholeSeconds(this->options.max_return);
    return decision;
  }
  const AccountOutlook* const account = this->Find(request);
  if (account == nullptr || !(account->due_cpu > 0) || !(request.objective_ms > 0)) {
    this->Admit(request, now);
    return decision;
  }
  decision.expected_end_ms = this->ExpectedEndMs(*account, request, now);
  decision.reason = this->Judge(*account, request, decision.expected_end_ms);
  if (!decision.IsRefused()) {
    this->Admit(request, now);
    return decision;
  }
  if (promised && *promised > now) {
    decision.return_after_s = this->InWholeSeconds(*promised - now);
    return decision;
  }
  decision.return_after_s = this->InWholeSeconds(this->TimeToReturn(*account, request, now));
  this->refused[request.job] = {request, now + std::chrono::seconds(decision.return_after_s)};
  return decision;
}

void AdmissionPolicy::Admit(const AdmissionRequest& request, TimePoint now) {
  const bool has_promise = this->ReturnTimeOf(request.job).has_value();
  this->refused.erase(request.job);
  if (!request.is_batch || this->IsRepeat(request.job)) {
    return;
  }
  this->admitted.push_back(
      {now, request.job, request.team, request.queue, has_promise ? 0 : request.work});
  if (this->admitted.size() > kMaxAdmissions) {
    this->admitted.pop_front();
  }
}

std::vector<Promise> AdmissionPolicy::UnreportedRefusals(TimePoint now) {
  this->Review(now);
  std::vector<Promise> promises;
  for (const auto& [id, refusal] : this->refused) {
    if (promises.size() < kMaxPromises) {
      promises.push_back({id, refusal.request.team, refusal.request.queue, refusal.request.work,
                          Milliseconds(refusal.due - now)});
    }
  }
  return promises;
}

void AdmissionPolicy::OnReported(const std::vector<Promise>& reported) {
  for (const Promise& promise : reported) {
    this->refused.erase(promise.job);
  }
}

void AdmissionPolicy::Review(TimePoint now) {
  while (!this->admitted.empty() && now - this->admitted.front().at > kRepeatTime) {
    this->admitted.pop_front();
  }
  std::erase_if(this->refused,
                [&](const auto& item) { return now > item.second.due + kPromiseGrace; });
}

}  // namespace chervilspar::jobs
