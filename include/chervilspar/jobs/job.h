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

namespace chervilspar::jobs {

/// The caller's name of a job: 64 bits, written as 16 hexadecimal digits.
struct JobId {
  std::uint64_t number = 0;

  friend auto operator<=>(const JobId&, const JobId&) = default;
};

/// Reads exactly 16 hexadecimal digits; nothing for any other text.
std::optional<JobId> ParseJobId(std::string_view text);
std::string ToString(const JobId& id);

/// One task of one occurrence of a job.
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

/// "JOB/OCCURRENCE/STEP/INDEX", as it appears in logs.
std::string ToString(const TaskKey& key);

/// What a task needs, or what a VM or a team's limit has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu = 0;
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;
  /// True when `need` fits into this in every dimension.
  bool Fits(const Resources& need) const;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// A set of equal tasks of a job.
struct Step {
  std::uint32_t count = 1;
  Resources need;
  /// The submitter's guess of one task's run time; may be far off.
  std::int64_t estimate_ms = 0;
  /// Earlier steps whose tasks must all have ended well before a task of this one starts.
  std::vector<std::uint32_t> after;
  /// Runs save their progress and can resume from a saved value.
  bool saves_progress = false;
  /// The tasks work only while all of them run together, and end together.
  bool is_gang = false;
  /// The tasks are slowed down when they run on more than one rack.
  bool prefers_one_rack = false;
  /// A label that the endpoint must have; empty for any.
  std::string required_label;
  /// The rack that holds the data; other racks are slower. Empty for any.
  std::string data_rack;
  /// Most tasks of one occurrence of the step on one endpoint; 0 for no limit.
  std::uint32_t max_per_endpoint = 0;
  /// Copies of a task may run side by side.
  bool allows_duplicate_runs = false;
  /// Tasks run until the job is cancelled and are restarted however they end.
  bool is_long_running = false;
  /// Names what the tasks run; tasks of one image behave alike.
  std::string image;
  /// Long-running tasks: their own users' response time must stay below this; 0 for none.
  std::int64_t target_ms = 0;
  /// The tasks use what others on the endpoint leave over; their cpu isn't counted there.
  bool is_filler = false;
  /// Most tasks of a long-running step that may be away through this system's doing; absent: no
  /// limit.
  std::optional<std::uint32_t> max_unavailable;

  friend bool operator==(const Step&, const Step&) = default;
};

/// A job as it was handed in. Never changes afterwards.
struct Job {
  JobId id;
  /// The queue that it was handed in to.
  std::string queue;
  /// Whose endpoints ran the queue's tasks at that time; used when the queue is taken away.
  ServiceId service;
  TeamId team;
  /// What the endpoints are told to run.
  std::string payload;
  std::vector<Step> steps;
  /// How often the steps run; 0 for a job that runs once, at once.
  std::uint32_t repeats = 0;
  /// When occurrence 0 is due, in Unix milliseconds.
  std::int64_t first_due_ms = 0;
  std::int64_t interval_ms = 0;
  /// When the entry took the job, in Unix milliseconds.
  std::int64_t accepted_ms = 0;

  std::uint32_t Occurrences() const { return this->repeats == 0 ? 1 : this->repeats; }
  bool IsScheduled() const { return this->repeats > 0; }
  bool IsLongRunning() const;

  friend bool operator==(const Job&, const Job&) = default;
};

/// The most bytes of a job's payload; a longer one is refused. From the callers' contract.
inline constexpr std::size_t kMaxPayloadBytes = 4000;
/// Bounds on the shape of one job, so that a single caller can't take the memory of an entry,
/// and its stored progress, up to 80 bytes a task, fits into one record of 256 KiB.
inline constexpr std::uint32_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxTasks = 3000;

/// A job's steps in a few characters, for logs: "6x3500m900ms 2x500m100ms<0".
std::string DescribeShape(const Job& job);

/// Says what is wrong with a job: the field and the cause.
Status CheckJob(const Job& job);

/// The stored form of a job, and back.
std::string EncodeJob(const Job& job);
Result<Job> DecodeJob(std::string_view text);

/// Reads the body of a submission in the product's own interface: the fields of the stored form
/// that are the caller's to say. Names the field that is wrong.
Result<Job> ParseJobBody(std::string_view text);

}  // namespace chervilspar::jobs

template <>
struct std::hash<chervilspar::jobs::JobId> {
  std::size_t operator()(const chervilspar::jobs::JobId& id) const noexcept {
    return std::hash<std::uint64_t>()(id.number);
  }
};
