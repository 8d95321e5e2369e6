#include <algorithm>
#include <cstdlib>
#include <utility>

#include "jobs/order_round.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// A start that is stored with less time than this before it expires is withdrawn.
constexpr Duration kMinStartTime = std::chrono::milliseconds(500);
/// Rejected records are stored again in smaller ones down to this size.
constexpr std::size_t kMinRecordBytes = 1024;
/// Between two attempts to store the progress of a job whose smallest records are rejected.
constexpr Duration kRejectedRetryDelay = std::chrono::seconds(1);

}  // namespace

JobProgress Scheduler::Impl::ProgressOf(const JobState& job) const {
  JobProgress progress;
  progress.phase = job.Phase();
  progress.ended_ms = job.ended_ms;
  if (job.ended_ms != 0) {
    return progress;
  }
  progress.complete_occurrences = job.complete_occurrences;
  progress.terms = this->state.TermsToStore(job);
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        const TaskProgress& task = occurrence.steps[step].tasks[index].progress;
        if (task == TaskProgress{}) {
          continue;
        }
        progress.rows.push_back({number, step, index, task});
        if (job.omits_checkpoints) {
          progress.rows.back().progress.checkpoint.clear();
        }
      }
    }
  }
  return progress;
}

Status Scheduler::RestoreStored(const JobId& id, const std::vector<std::string_view>& parts) {
  const Result<JobProgress> progress = DecodeProgressParts(parts);
  if (!progress) {
    return progress.LastReason();
  }
  this->RestoreProgress(id, *progress);
  SchedulerState& state = this->impl->state;
  JobState* job = state.FindJob(id);
  if (job == nullptr) {
    return Done{};
  }
  job->further_parts = static_cast<std::uint32_t>(parts.size() - 1);
  const bool is_compact = std::any_of(parts.begin(), parts.end(), IsCompactProgress);
  // An older version that reads rows only can be deployed again once all entries have stored rows.
  if (state.options.progress_form == ProgressForm::kRows && is_compact) {
    state.ReportEvent({"progress_rewritten", {}, id, "", "was stored in the compact form"});
    state.MarkDirty(*job);
  }
  return Done{};
}

bool Scheduler::HasBatch() const {
  const Impl& self = *this->impl;
  if (self.is_batch_outstanding) {
    return false;
  }
  return !self.state.dirty.empty() || !self.forgotten.empty() || !self.end_candidates.empty() ||
         self.state.has_new_ends || !self.state.lapse_changes.empty() ||
         !self.state.long_lease_changes.empty();
}

void Scheduler::Impl::AddProgressRecords(JobState& job, Batch& batch) {
  const std::size_t max_bytes = job.max_record_bytes.value_or(this->state.options.max_record_bytes);
  std::vector<std::string> texts =
      EncodeProgressParts(this->ProgressOf(job), this->state.options.progress_form, max_bytes);
  std::size_t largest = 0;
  std::uint32_t part = 0;
  for (std::string& text : texts) {
    largest = std::max(largest, text.size());
    batch.records.push_back({job.job.id, std::move(text), part++});
  }
  job.stored_terms = job.ended_ms == 0 ? this->state.TermsToStore(job) : JobTerms{};
  this->recorded_progress.push_back({job.job.id, job.Phase(), part - 1, largest});
  for (; part <= job.further_parts; ++part) {
    batch.records.push_back({job.job.id, std::nullopt, part});
  }
}

Batch Scheduler::TakeBatch() {
  Impl& self = *this->impl;
  CHERVILSPAR_ASSERT(!self.is_batch_outstanding);
  self.is_batch_outstanding = true;
  for (const JobId& id : self.state.dirty) {
    if (JobState* job = self.state.FindJob(id); job != nullptr && job->IsOver()) {
      self.end_candidates.push_back(id);
    }
  }
  self.EndJobs(self.state.wall_ms);
  self.state.DropCompleteOccurrences();
  Batch batch;
  for (const JobId& id : self.state.dirty) {
    JobState* job = self.state.FindJob(id);
    if (job == nullptr || !job->is_dirty) {
      continue;
    }
    job->is_dirty = false;
    self.AddProgressRecords(*job, batch);
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
          const Task& task = occurrence.steps[step].tasks[index];
          if (task.state == RunState::kRecording) {
            self.recorded_starts.push_back({{id, number, step, index}, task.progress.run});
          }
        }
      }
    }
  }
  self.state.dirty.clear();
  for (const JobId& id : self.forgotten) {
    batch.records.push_back({id, std::nullopt});
  }
  self.forgotten.clear();
  for (auto& [endpoint, text] : self.state.lapse_changes) {
    if (!text) {
      self.recorded_lapse_drops.push_back(endpoint);
    }
    batch.lapses.push_back({endpoint, std::move(text), LapseRecord::Kind::kLapse});
  }
  self.state.lapse_changes.clear();
  for (auto& [endpoint, text] : self.state.long_lease_changes) {
    batch.lapses.push_back({endpoint, std::move(text), LapseRecord::Kind::kLongLease});
  }
  self.state.long_lease_changes.clear();
  self.state.has_new_ends = false;
  for (const auto& [id, endpoint] : self.state.endpoints) {
    if (endpoint->seen_end > endpoint->stored_end) {
      self.recorded_ends.push_back({id, endpoint->born_ms, endpoint->seen_end});
    }
  }
  return batch;
}

TaskRef Scheduler::Impl::FindRecorded(const TaskKey& key, std::uint64_t run) {
  const TaskRef ref = this->state.Find(key);
  const bool is_recorded =
      ref && ref.task->state == RunState::kRecording && ref.task->progress.run == run;
  return is_recorded ? ref : TaskRef{};
}

/// Runs before any of the starts is sent, as the withdrawal of one member of a gang withdraws all
/// others.
void Scheduler::Impl::WithdrawObsoleteStarts(TimePoint now) {
  for (const auto& [key, run] : this->recorded_starts) {
    const TaskRef ref = this->FindRecorded(key, run);
    if (!ref) {
      continue;
    }
    const EndpointState& endpoint = *ref.task->endpoint;
    const bool is_on_time = now + kMinStartTime < ref.task->start_expires;
    const bool is_wanted = endpoint.is_registered && !endpoint.record.is_draining &&
                           !endpoint.is_evacuating && !endpoint.is_cordoned && endpoint.clock_ms;
    if (is_on_time && is_wanted) {
      continue;
    }
    this->state.ReportEvent({"start_withdrawn",
                             key,
                             {},
                             endpoint.record.id,
                             is_on_time ? "its endpoint accepts no more tasks"
                                        : "it was stored too late for its lease"});
    this->state.Release(ref);
    this->state.StopGang(ref, now);
  }
}

void Scheduler::Impl::OnProgressRejected(JobState& job, std::size_t max_bytes, TimePoint now) {
  std::string next;
  if (max_bytes > kMinRecordBytes) {
    job.max_record_bytes = std::max(max_bytes / 2, kMinRecordBytes);
    next = "storing it in records of at most " + std::to_string(*job.max_record_bytes) + " bytes";
  } else if (!job.omits_checkpoints) {
    job.omits_checkpoints = true;
    next = "storing it without checkpoints";
  } else {
    job.is_rejected = true;
    this->state.rejected[job.job.id] = now + kRejectedRetryDelay;
    next = "nothing of the job is started until it can be stored";
  }
  this->state.MarkDirty(job);
  this->state.ReportEvent({"progress_rejected", {}, job.job.id, "", std::move(next)});
  for (const auto& [key, run] : this->recorded_starts) {
    if (key.job != job.job.id) {
      continue;
    }
    if (const TaskRef ref = this->FindRecorded(key, run)) {
      this->state.Release(ref);
    }
  }
}

void Scheduler::Impl::RetryRejected(TimePoint now) {
  std::erase_if(this->state.rejected, [&](const auto& entry) {
    if (now < entry.second) {
      return false;
    }
    if (JobState* job = this->state.FindJob(entry.first)) {
      job->is_dirty = true;
      this->state.dirty.push_back(entry.first);
    }
    return true;
  });
}

/// An endpoint may drop all ends up to the one that is confirmed to it. So the ends of a job whose
/// progress isn't stored hold back those after them.
void Scheduler::Impl::OnEndsStored(EndpointState& endpoint, std::uint64_t end,
                                   const std::set<JobId>& rejected) {
  std::map<std::uint64_t, JobId>& unstored = endpoint.unstored_ends;
  while (!unstored.empty() && unstored.begin()->first <= end) {
    const JobState* job = this->state.FindJob(unstored.begin()->second);
    if (job != nullptr && (job->is_rejected || rejected.contains(job->job.id))) {
      endpoint.stored_end = std::max(endpoint.stored_end, unstored.begin()->first - 1);
      return;
    }
    unstored.erase(unstored.begin());
  }
  endpoint.stored_end = end;
}

Orders Scheduler::ConfirmBatch(TimePoint now, const std::set<JobId>& rejected) {
  Impl& self = *this->impl;
  CHERVILSPAR_ASSERT(self.is_batch_outstanding);
  self.is_batch_outstanding = false;
  Orders orders;
  for (const auto& [id, phase, further_parts, max_bytes] : self.recorded_progress) {
    JobState* job = self.state.FindJob(id);
    if (job != nullptr && rejected.contains(id)) {
      self.OnProgressRejected(*job, max_bytes, now);
    } else if (job != nullptr) {
      job->stored_phase = phase;
      job->further_parts = further_parts;
      if (std::exchange(job->is_rejected, false)) {
        this->impl->state.MarkDirty(*job);  // It may have changed since the batch was taken.
      }
      if (job->ended_ms != 0 && job->Phase() == phase && !job->is_dirty) {
        self.ended_stored.push_back(id);
      }
    }
  }
  for (const Impl::RecordedEnds& ends : self.recorded_ends) {
    EndpointState* endpoint = self.state.FindEndpoint(ends.endpoint);
    if (endpoint != nullptr && endpoint->born_ms == ends.born_ms) {
      self.OnEndsStored(*endpoint, ends.end, rejected);
    }
  }
  for (const std::string& id : self.recorded_lapse_drops) {
    EndpointState* endpoint = self.state.FindEndpoint(id);
    const auto change = self.state.lapse_changes.find(id);
    const bool has_new_notice = change != self.state.lapse_changes.end() && change->second;
    if (endpoint != nullptr && !has_new_notice) {
      endpoint->has_lapse_notice = false;
      self.state.lapse_changes.erase(id);
    }
  }
  self.recorded_lapse_drops.clear();
  self.WithdrawObsoleteStarts(now);
  OrderRound round(self.state, now);
  for (const auto& [key, run] : self.recorded_starts) {
    const TaskRef ref = self.FindRecorded(key, run);
    if (!ref) {
      continue;
    }
    ref.task->state = RunState::kStarting;
    ref.task->since = now;
    if (!ref.job->first_start_sent) {
      ref.job->first_start_sent = now;
    }
    orders.starts.push_back(round.StartOf(ref));
  }
  self.recorded_progress.clear();
  self.recorded_ends.clear();
  self.recorded_starts.clear();
  return orders;
}

std::vector<JobId> Scheduler::TakeEndedJobs() {
  std::vector<JobId> ended = std::move(this->impl->ended_stored);
  this->impl->ended_stored.clear();
  return ended;
}

std::vector<JobId> Scheduler::ExpiredJobs(WallTime wall, std::size_t max_count) const {
  const SchedulerState& state = this->impl->state;
  const auto retention_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(state.options.ended_job_retention)
          .count();
  std::vector<JobId> expired;
  for (const auto& [ended_ms, id] : state.ended) {
    if (ended_ms + retention_ms > ToUnixMs(wall) || expired.size() >= max_count) {
      break;
    }
    expired.push_back(id);
  }
  return expired;
}

void Scheduler::Forget(const std::vector<JobId>& ids) {
  SchedulerState& state = this->impl->state;
  for (const JobId& id : ids) {
    state.open_jobs.erase(id);
    state.rejected.erase(id);
    state.jobs.erase(id);
    this->impl->forgotten.push_back(id);
  }
  std::erase_if(state.ended, [&](const auto& entry) { return !state.jobs.contains(entry.second); });
}

}  // namespace chervilspar::jobs
