#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/jobs/job_terms.h"
#include "chervilspar/jobs/resources.h"

namespace chervilspar::jobs {

/// Identifies a job; chosen by the caller. 64 bits, written as 16 hexadecimal digits.
struct JobId {
  std::uint64_t number = 0;
  /// Bit i is set if digit i, counted from the left, is written as a capital letter.
  std::uint16_t capitals = 0;

  friend auto operator<=>(const JobId&, const JobId&) = default;
};

/// Parses exactly 16 hexadecimal digits; returns nothing for any other text.
std::optional<JobId> ParseJobId(std::string_view text);
/// Returns the id as its submitter wrote it.
std::string ToString(const JobId& id);

/// One task of one occurrence of a job.
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// Formats a key as "JOB/OCCURRENCE/STEP/INDEX" for logs.
std::string ToString(const TaskKey& key);

/// A set of identical tasks of a job.
struct Step {
  std::uint32_t count = 1;
  Resources need;
  /// The submitter's estimate of the run time of one task; may be inaccurate.
  std::int64_t estimate_ms = 0;
  /// Earlier steps whose tasks must all have succeeded before a task of this step starts.
  std::vector<std::uint32_t> after;
  /// Runs save their progress and can resume from a saved value.
  bool saves_progress = false;
  /// The tasks make progress only while all of them run, and end together.
  bool is_gang = false;
  /// The tasks are slower when they run on more than one rack.
  bool prefers_one_rack = false;
  /// A label that the endpoint must have; empty if any endpoint will do.
  std::string required_label;
  /// The rack that holds the data; tasks are slower on other racks. Empty if any rack will do.
  std::string data_rack;
  /// Maximum number of tasks of one occurrence of the step on one endpoint; 0 for no limit.
  std::uint32_t max_per_endpoint = 0;
  /// Two runs of the same task may be active at the same time.
  bool allows_duplicate_runs = false;
  /// Tasks run until the job is cancelled and are restarted regardless of how they end.
  bool is_long_running = false;
  /// Names the program that the tasks run; tasks with the same image behave alike.
  std::string image;
  /// The upper limit on the response time that the users of long-running tasks see; 0 for none.
  std::int64_t target_ms = 0;
  /// The tasks use the cpu that other tasks on the endpoint leave idle; their own cpu isn't counted
  /// there.
  bool is_filler = false;
  /// Maximum number of tasks of a long-running step that this system may make unavailable at the
  /// same time; absent for no limit.
  std::optional<std::uint32_t> max_unavailable;

  friend bool operator==(const Step&, const Step&) = default;
};

/// A job as it was submitted. Immutable.
struct Job {
  JobId id;
  /// The queue that the job was submitted to.
  std::string queue;
  /// The service whose endpoints ran the queue's tasks at submission; used if the queue is removed.
  ServiceId service;
  TeamId team;
  /// Describes the work for the endpoints.
  std::string payload;
  std::vector<Step> steps;
  /// The number of times that the steps run; 0 for a job that runs once, immediately.
  std::uint32_t repeats = 0;
  /// The time at which occurrence 0 is due, in Unix milliseconds.
  std::int64_t first_due_ms = 0;
  std::int64_t interval_ms = 0;
  /// The time at which an entry accepted the job, in Unix milliseconds.
  std::int64_t accepted_ms = 0;
  /// The terms at that time; empty if the job was stored by an older version.
  JobTerms terms;

  std::uint32_t Occurrences() const { return this->repeats == 0 ? 1 : this->repeats; }
  /// The number of occurrences of a scheduled job that are due at this time in Unix milliseconds.
  std::uint32_t DueOccurrences(std::int64_t now_ms) const;
  /// The number of tasks of one occurrence.
  std::uint64_t TaskCount() const;
  bool IsScheduled() const { return this->repeats > 0; }
  bool IsLongRunning() const;

  friend bool operator==(const Job&, const Job&) = default;
};

/// The maximum size of a job's payload, from the contract with the callers. A longer one is
/// rejected.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/// Limits on the size of one job, which keep a single caller from exhausting the memory of an
/// entry. A job that repeats has more tasks in all, but not at the same time.
inline constexpr std::uint32_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxTasks = 3000;

/// Formats a job's steps compactly for logs: "6x3500m256MB900ms 2x500m64MB100ms<0".
std::string DescribeShape(const Job& job);

/// Validates a job. The reason of a failure names the field and the cause.
Status CheckJob(const Job& job);
/// Validates a job that is being submitted. Stricter than `CheckJob`, which also has to pass the
/// jobs that earlier versions have accepted.
Status CheckSubmission(const Job& job);

/// Encodes a job in its stored form.
std::string EncodeJob(const Job& job);
/// Decodes the stored form. Fails with `ErrorCode::kMalformed` if the record isn't a stored job,
/// and with the reason of `CheckJob` if the job is invalid.
Result<Job> DecodeJob(std::string_view text);

/// Parses the body of a submission to the product's own interface: the fields of the stored form
/// that the caller sets. The reason of a failure names the invalid field.
Result<Job> ParseJobBody(std::string_view text);

}  // namespace chervilspar::jobs

template <>
struct std::hash<chervilspar::jobs::JobId> {
  std::size_t operator()(const chervilspar::jobs::JobId& id) const noexcept {
    return std::hash<std::uint64_t>()(id.number);
  }
};
