#include <algorithm>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

std::int64_t SchedulerState::CriticalPathMs(const JobState& job,
                                            const Occurrence& occurrence) const {
  std::vector<std::int64_t> ends(job.job.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < ends.size(); ++i) {
    std::int64_t begin = 0;
    for (const std::uint32_t earlier : job.job.steps[i].after) {
      begin = std::max(begin, ends[earlier]);
    }
    const bool is_done = occurrence.steps[i].IsDone();
    ends[i] = begin + (is_done ? 0 : std::max(job.job.steps[i].estimate_ms, kMinEstimateMs));
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::uint32_t SchedulerState::RankOf(const JobState& job) const {
  if (job.job.IsLongRunning()) {
    return 0;
  }
  const auto queue = this->policy.queues.find(job.job.queue);
  return 1 + (queue == this->policy.queues.end() ? 0 : queue->second.priority);
}

void SchedulerState::RefreshReady(JobState& job) {
  if (job.IsOver()) {
    this->open_jobs.erase(job.job.id);
  } else {
    this->open_jobs.emplace(job.job.id, &job);
  }
  std::optional<ReadyKey> key;
  if (!job.IsOver()) {
    for (const auto& [number, occurrence] : job.occurrences) {
      const bool has_waiting =
          std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const StepState& step) {
            return step.is_open && std::any_of(step.tasks.begin(), step.tasks.end(),
                                               [](const Task& task) { return task.IsWaiting(); });
          });
      if (has_waiting) {
        const std::int64_t due_offset_ms =
            job.job.IsScheduled() ? std::int64_t{number} * job.job.interval_ms : 0;
        key = ReadyKey{this->RankOf(job),
                       job.deadline_ms + due_offset_ms - this->CriticalPathMs(job, occurrence),
                       job.job.id};
        break;
      }
    }
  }
  if (key == job.ready) {
    return;
  }
  std::set<ReadyKey>& ready = this->pools[job.service].ready;
  if (job.ready) {
    ready.erase(*job.ready);
  }
  if (key) {
    ready.insert(*key);
  }
  job.ready = key;
}

void SchedulerState::KeepFormerQueue(const std::string& name, const QueueTerms& terms) {
  const auto [former, is_new] = this->former_queues.try_emplace(name, terms.version);
  if (!is_new && former->second >= terms.version) {
    return;
  }
  former->second = terms.version;
  this->policy.queues[name] = Queue{.name = name,
                                    .service = terms.service,
                                    .priority = terms.priority,
                                    .attempts = terms.attempts,
                                    .slack_factor = terms.slack_factor,
                                    .target = terms.target,
                                    .advice = terms.advice};
}

void SchedulerState::KeepFormerTeam(const TeamId& id, const TeamTerms& terms) {
  const auto [former, is_new] = this->former_teams.try_emplace(id, terms.version);
  if (!is_new && former->second >= terms.version) {
    return;
  }
  former->second = terms.version;
  this->policy.teams[id] = TeamPolicy{id, terms.weight, terms.cap};
}

void SchedulerState::LearnTerms(JobState& job) {
  JobTerms current = this->policy.TermsFor(job.job.queue, job.job.team);
  if (this->former_queues.contains(job.job.queue)) {
    current.queue.reset();
  }
  if (this->former_teams.contains(job.job.team)) {
    current.team.reset();
  }
  job.terms.Update(current);
  if (!current.queue && job.terms.queue) {
    this->KeepFormerQueue(job.job.queue, *job.terms.queue);
  }
  if (!current.team && job.terms.team) {
    this->KeepFormerTeam(job.job.team, *job.terms.team);
  }
  if (this->TermsToStore(job) != job.stored_terms) {
    this->MarkDirty(job);
  }
}

/// The terms of a job that was submitted without them are stored only once the rules don't contain
/// them any more: that many records are not written when an older version is replaced.
JobTerms SchedulerState::TermsToStore(const JobState& job) const {
  const JobTerms& submitted = job.job.terms;
  JobTerms terms;
  if (submitted.queue || this->former_queues.contains(job.job.queue)) {
    terms.queue = job.terms.queue != submitted.queue ? job.terms.queue : std::nullopt;
  }
  if (submitted.team || this->former_teams.contains(job.job.team)) {
    terms.team = job.terms.team != submitted.team ? job.terms.team : std::nullopt;
  }
  return terms;
}

void SchedulerState::ApplyPolicyTo(JobState& job) {
  const auto queue = this->policy.queues.find(job.job.queue);
  job.needs_advice = queue != this->policy.queues.end() && queue->second.advice;
  if (queue == this->policy.queues.end()) {
    return;  // It was removed, and the job was stored without its terms.
  }
  if (job.service != queue->second.service && job.ready) {
    this->pools[job.service].ready.erase(*job.ready);
    job.ready.reset();
  }
  job.service = queue->second.service;
  job.attempts = std::max<std::uint32_t>(queue->second.attempts, 1);
  Occurrence unstarted;
  unstarted.steps.resize(job.job.steps.size());
  for (StepState& step : unstarted.steps) {
    step.tasks.resize(1);
  }
  const auto chain_ms = static_cast<double>(this->CriticalPathMs(job, unstarted));
  const auto target_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(queue->second.target).count();
  const std::int64_t objective_ms =
      static_cast<std::int64_t>(queue->second.slack_factor * chain_ms) + target_ms;
  const std::int64_t begin_ms = job.job.IsScheduled() ? job.job.first_due_ms : job.job.accepted_ms;
  job.deadline_ms = begin_ms + objective_ms;
  job.worthless_ms = begin_ms + static_cast<std::int64_t>(this->options.late_factor *
                                                          static_cast<double>(objective_ms));
}

bool SchedulerState::IsWithinCap(const JobState& job, const Resources& need) const {
  const auto team = this->policy.teams.find(job.job.team);
  if (team == this->policy.teams.end()) {
    return true;
  }
  const auto usage = this->team_usage.find(job.job.team);
  const Resources after = usage == this->team_usage.end() ? need : usage->second + need;
  const Resources& cap = team->second.cap;
  return (cap.cpu == 0 || after.cpu <= cap.cpu) &&
         (cap.memory_mb == 0 || after.memory_mb <= cap.memory_mb) &&
         (cap.gpus == 0 || after.gpus <= cap.gpus);
}

}  // namespace chervilspar::jobs
