#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// What callers are told of a job.
enum class JobPhase { kQueued, kRunning, kComplete, kFailed, kCancelled };

const char* ToString(JobPhase phase);

/// Where a task stands, as far as it must outlast the process that decides.
enum class TaskPhase {
  /// No run of it can be under way.
  kWaiting,
  /// A run may be under way on `endpoint`.
  kPlaced,
  /// A run has ended well.
  kDone,
  /// It has failed as often as it may.
  kFailed,
};

/// The stored part of a task's state. Written before a start is sent, so that a successor knows
/// of each run that may exist and on which endpoint.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  /// The number of the last run; 0 before the first.
  std::uint64_t run = 0;
  /// The highest run whose end has been counted. Endpoints tell an end again until it is
  /// confirmed, and counting it twice would fail a job too early.
  std::uint64_t ended_run = 0;
  /// Runs that ended as failed.
  std::uint32_t failures = 0;
  /// Where the last run was placed.
  std::string endpoint;
  /// The endpoint's life at that time: the Unix millisecond of its start.
  std::int64_t endpoint_born_ms = 0;
  /// The newest saved progress; empty for none.
  std::string checkpoint;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// A task's progress with its place in the job.
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
  /// When the job came to its end, in Unix milliseconds; 0 while it goes on.
  std::int64_t ended_ms = 0;
  /// Occurrences that are complete; they need no rows.
  std::vector<std::uint32_t> complete_occurrences;
  /// In the order of occurrence, step and index.
  std::vector<TaskRow> rows;

  bool IsEnded() const;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

/// How the progress of a job that goes on is stored. Both forms are read.
enum class ProgressForm {
  /// One list for each task. Versions that don't know the other form read only this one.
  kRows,
  /// Tasks that differ only in index and endpoint together: a fifth to a third of the bytes.
  kCompact,
};

std::string EncodeProgress(const JobProgress& progress, ProgressForm form);
/// The reason names the first field that can't be read.
Result<JobProgress> DecodeProgress(std::string_view text);
/// Whether a record that can be read is in the compact form.
bool IsCompactProgress(std::string_view text);

}  // namespace chervilspar::jobs
