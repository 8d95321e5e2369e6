#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/jobs/job.h"
#include "chervilspar/jobs/occurrence_set.h"

namespace chervilspar::jobs {

/// The state of a job as it is reported to callers.
enum class JobPhase { kQueued, kRunning, kComplete, kFailed, kCancelled };

const char* ToString(JobPhase phase);

/// The part of a task's state that must survive a restart of the scheduler's process.
enum class TaskPhase {
  /// No run can be active.
  kWaiting,
  /// A run may be active on `endpoint`.
  kPlaced,
  /// A run has succeeded.
  kDone,
  /// The task has reached the maximum number of failed runs.
  kFailed,
};

/// The stored part of a task's state. It is written before a start order is sent, so that the next
/// owner knows each run that may exist and its endpoint.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  /// The number of the last run; 0 before the first.
  std::uint64_t run = 0;
  /// The highest run whose end has been counted. Endpoints report an end repeatedly until it is
  /// confirmed; counting it twice would fail a job too early. A failed run of a gang has ended for
  /// all members once it is counted for one.
  std::uint64_t ended_run = 0;
  /// The number of failed runs. For a gang, each of its failed runs is counted for one member.
  std::uint32_t failures = 0;
  /// The endpoint on which the last run was placed.
  std::string endpoint;
  /// The endpoint's incarnation at that time: when its process started, in Unix milliseconds.
  std::int64_t endpoint_born_ms = 0;
  /// The latest saved progress; empty if there is none.
  std::string checkpoint;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// A task's progress with its position in the job.
struct TaskRow {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  TaskProgress progress;

  friend bool operator==(const TaskRow&, const TaskRow&) = default;
};

/// The stored progress of a job. Tasks without a row have never been placed.
struct JobProgress {
  JobPhase phase = JobPhase::kQueued;
  /// When the job ended, in Unix milliseconds; 0 if it hasn't.
  std::int64_t ended_ms = 0;
  /// A complete occurrence has rows only while a superfluous run of one of its tasks may be active.
  OccurrenceSet complete_occurrences;
  /// Sorted by occurrence, step and index.
  std::vector<TaskRow> rows;
  /// The parts of the job's terms that have changed since its submission.
  JobTerms terms;
  /// The number of further records that contain the rest of the rows.
  std::uint32_t further_parts = 0;

  bool IsEnded() const;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

/// The format in which the progress of an active job is stored. Either format can be decoded.
enum class ProgressForm {
  /// One array per task; the only format that older versions can decode.
  kRows,
  /// Tasks that differ only in index and endpoint are grouped: a fifth to a third of the bytes.
  kCompact,
};

std::string EncodeProgress(const JobProgress& progress, ProgressForm form);
/// Encodes as many records as are needed to keep each within `max_bytes`. Exceeds it only for a
/// record that can't be divided further, as it has a single row or none.
std::vector<std::string> EncodeProgressParts(const JobProgress& progress, ProgressForm form,
                                             std::size_t max_bytes);
/// Decodes either format. The reason of a failure names the first invalid field.
Result<JobProgress> DecodeProgress(std::string_view text);
/// Decodes all records of a job, the main one first. Ignores surplus ones.
Result<JobProgress> DecodeProgressParts(const std::vector<std::string_view>& texts);
/// Returns true if a valid record is in the compact format.
bool IsCompactProgress(std::string_view text);

}  // namespace chervilspar::jobs
