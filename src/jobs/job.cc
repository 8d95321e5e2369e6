#include "chervilspar/jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace chervilspar::jobs {

namespace {

constexpr std::size_t kIdDigits = 16;
/// The end of the year 9999 in Unix milliseconds.
constexpr std::int64_t kMaxUnixMs = 253402300799999;

constexpr std::uint16_t CapitalBit(std::size_t digit) {
  return static_cast<std::uint16_t>(1U << digit);
}

Reason InvalidField(std::string field, std::string message) {
  return {ErrorCode::kInvalidArgument, std::move(field), std::move(message)};
}

Status CheckStep(const Step& step, std::uint32_t number) {
  const std::string path = "steps/" + std::to_string(number);
  if (step.count == 0) {
    return InvalidField(path + "/count", "must be at least 1");
  }
  if (step.need.cpu < 0 || step.need.memory_mb < 0 || step.need.gpus < 0) {
    return InvalidField(path, "resources must not be below 0");
  }
  if (step.estimate_ms < 0) {
    return InvalidField(path + "/estimate", "must not be below 0");
  }
  for (const std::uint32_t earlier : step.after) {
    if (earlier >= number) {
      return InvalidField(path + "/after",
                          "step " + std::to_string(earlier) + " is not an earlier step");
    }
  }
  return Done{};
}

}  // namespace

std::optional<JobId> ParseJobId(std::string_view text) {
  if (text.size() != kIdDigits) {
    return std::nullopt;
  }
  JobId id;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, id.number, 16);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kIdDigits; ++i) {
    id.capitals |= text[i] >= 'A' && text[i] <= 'F' ? CapitalBit(i) : 0;
  }
  return id;
}

std::string ToString(const JobId& id) {
  std::array<char, kIdDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id.number));
  for (std::size_t i = 0; i < kIdDigits; ++i) {
    const bool is_capital = (id.capitals & CapitalBit(i)) != 0 && text[i] >= 'a';
    text[i] = is_capital ? static_cast<char>(text[i] - 'a' + 'A') : text[i];
  }
  return {text.data(), kIdDigits};
}

std::string ToString(const TaskKey& key) {
  return ToString(key.job) + "/" + std::to_string(key.occurrence) + "/" + std::to_string(key.step) +
         "/" + std::to_string(key.index);
}

bool Job::IsLongRunning() const {
  return std::any_of(this->steps.begin(), this->steps.end(),
                     [](const Step& step) { return step.is_long_running; });
}

std::uint32_t Job::DueOccurrences(std::int64_t now_ms) const {
  if (now_ms < this->first_due_ms) {
    return 0;
  }
  if (this->interval_ms == 0) {
    return this->repeats;
  }
  const std::int64_t intervals = (now_ms - this->first_due_ms) / this->interval_ms;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(intervals, this->repeats - 1)) + 1;
}

std::uint64_t Job::TaskCount() const {
  std::uint64_t count = 0;
  for (const Step& step : this->steps) {
    count += step.count;
  }
  return count;
}

std::string DescribeShape(const Job& job) {
  std::string text;
  for (const Step& step : job.steps) {
    text += text.empty() ? "" : " ";
    text += std::to_string(step.count) + "x" + std::to_string(step.need.cpu) + "m" +
            std::to_string(step.need.memory_mb) + "MB" + std::to_string(step.estimate_ms) + "ms";
    for (const std::uint32_t earlier : step.after) {
      text += "<" + std::to_string(earlier);
    }
    text += step.is_long_running ? " long" : "";
    text += step.is_filler ? " filler" : "";
    text += step.is_gang ? " gang" : "";
    text += step.saves_progress ? " saves" : "";
    text += step.max_per_endpoint > 0 ? " apart" + std::to_string(step.max_per_endpoint) : "";
    text += step.max_unavailable ? " away" + std::to_string(*step.max_unavailable) : "";
    text += step.target_ms > 0 ? " target" + std::to_string(step.target_ms) : "";
    text += step.image.empty() ? "" : " " + step.image;
  }
  return text;
}

Status CheckJob(const Job& job) {
  if (job.payload.size() > kMaxPayloadBytes) {
    return InvalidField("payload", "is longer than " + std::to_string(kMaxPayloadBytes) + " bytes");
  }
  if (job.steps.empty() || job.steps.size() > kMaxSteps) {
    return InvalidField("steps", "must be 1 to " + std::to_string(kMaxSteps) + " steps");
  }
  std::uint32_t number = 0;
  for (const Step& step : job.steps) {
    if (Status status = CheckStep(step, number); !status) {
      return status;
    }
    ++number;
  }
  if (job.TaskCount() > kMaxTasks) {
    return InvalidField("steps", "have more than " + std::to_string(kMaxTasks) + " tasks together");
  }
  if (job.repeats > 0 && (job.interval_ms < 0 || job.first_due_ms < 0)) {
    return InvalidField("repeats", "first time and interval must not be below 0");
  }
  return Done{};
}

Status CheckSubmission(const Job& job) {
  if (Status status = CheckJob(job); !status) {
    return status;
  }
  if (job.IsScheduled() && (job.first_due_ms > kMaxUnixMs || job.interval_ms > kMaxUnixMs)) {
    return InvalidField("repeats", "first time and interval must not be after the year 9999");
  }
  // Occurrences with long-running tasks don't end, so that the tasks of all of them add up.
  if (job.IsLongRunning() && job.TaskCount() * job.Occurrences() > kMaxTasks) {
    return InvalidField("repeats", "the long-running job has more than " +
                                       std::to_string(kMaxTasks) +
                                       " tasks in all its occurrences together");
  }
  return Done{};
}

}  // namespace chervilspar::jobs
