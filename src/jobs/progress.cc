#include "chervilspar/jobs/progress.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

#include "jobs/compact_progress.h"
#include "jobs/complete_columns.h"
#include "jobs/json_columns.h"
#include "jobs/json_values.h"
#include "jobs/terms_codec.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

/// The columns of a row, in the order in which they are stored.
enum Column : std::size_t {
  kOccurrence,
  kStep,
  kIndex,
  kPhase,
  kRun,
  kEndedRun,
  kFailures,
  kEndpoint,
  kBorn,
  kCheckpoint,
  kColumnCount
};

constexpr std::array<const char*, 5> kPhaseNames = {"queued", "running", "complete", "failed",
                                                    "cancelled"};

constexpr const char* kColumnNames[] = {"occurrence", "step",      "index",    "phase",
                                        "run",        "ended_run", "failures", "endpoint",
                                        "born_ms",    "checkpoint"};
static_assert(std::size(kColumnNames) == kColumnCount);

json::array EncodeRow(const TaskRow& row) {
  const TaskProgress& task = row.progress;
  return {
      row.occurrence, row.step,      row.index,     static_cast<int>(task.phase), task.run,
      task.ended_run, task.failures, task.endpoint, task.endpoint_born_ms,        task.checkpoint};
}

TaskRow DecodeRow(const JsonColumns& in) {
  TaskRow row;
  row.occurrence = in.Number<std::uint32_t>(kOccurrence);
  row.step = in.Number<std::uint32_t>(kStep);
  row.index = in.Number<std::uint32_t>(kIndex);
  row.progress.phase = in.OneOf(kPhase, TaskPhase::kFailed);
  row.progress.run = in.Number<std::uint64_t>(kRun);
  row.progress.ended_run = in.Number<std::uint64_t>(kEndedRun);
  row.progress.failures = in.Number<std::uint32_t>(kFailures);
  row.progress.endpoint = in.Text(kEndpoint);
  row.progress.endpoint_born_ms = in.Number<std::int64_t>(kBorn);
  row.progress.checkpoint = in.Text(kCheckpoint);
  return row;
}

std::string EncodeRows(const JobProgress& progress) {
  json::object out{{"phase", static_cast<int>(progress.phase)}};
  PutUnlessDefault(out, "ended_ms", progress.ended_ms);
  CompleteColumns complete = EncodeComplete(progress.complete_occurrences);
  PutUnlessDefault(out, "complete", complete.numbers);
  PutUnlessDefault(out, "complete_ranges", complete.ranges);
  PutUnlessDefault(out, "further_parts", progress.further_parts);
  PutUnlessDefault(out, "queue_terms", EncodeQueueTerms(progress.terms.queue));
  PutUnlessDefault(out, "team_terms", EncodeTeamTerms(progress.terms.team));
  if (!progress.rows.empty()) {
    json::array rows;
    for (const TaskRow& row : progress.rows) {
      rows.push_back(EncodeRow(row));
    }
    out["rows"] = std::move(rows);
  }
  return json::serialize(out);
}

JobProgress DecodeRows(const json::object& in) {
  const auto field = [&in](const char* name) {
    const json::value* value = in.if_contains(name);
    return value == nullptr ? json::value(0) : *value;
  };
  JobProgress progress;
  progress.phase = EnumAt(field("phase"), "phase", JobPhase::kCancelled);
  progress.ended_ms = NumberAt<std::int64_t>(field("ended_ms"), "ended_ms");
  const auto list = [&in](const char* name) {
    const json::value* value = in.if_contains(name);
    return value == nullptr ? json::array() : ListAt(*value, name);
  };
  progress.complete_occurrences =
      DecodeComplete(list("complete"), "complete", list("complete_ranges"), "complete_ranges");
  progress.further_parts = NumberAt<std::uint32_t>(field("further_parts"), "further_parts");
  progress.terms.queue = DecodeQueueTerms(in.if_contains("queue_terms"), "queue_terms");
  progress.terms.team = DecodeTeamTerms(in.if_contains("team_terms"), "team_terms");
  if (const json::value* stored = in.if_contains("rows")) {
    const json::array& rows = ListAt(*stored, "rows");
    for (std::size_t i = 0; i < rows.size(); ++i) {
      progress.rows.push_back(
          DecodeRow(JsonColumns(rows[i], kColumnNames, "rows/" + std::to_string(i))));
    }
  }
  return progress;
}

/// Encodes the rows in `count` records of about the same number of rows.
std::vector<std::string> EncodeInParts(const JobProgress& progress, ProgressForm form,
                                       std::size_t count) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < count; ++i) {
    JobProgress part;
    part.phase = progress.phase;
    if (i == 0) {
      part.ended_ms = progress.ended_ms;
      part.complete_occurrences = progress.complete_occurrences;
      part.terms = progress.terms;
      part.further_parts = static_cast<std::uint32_t>(count - 1);
    }
    const auto row_at = [&](std::size_t number) {
      return progress.rows.begin() +
             static_cast<std::ptrdiff_t>(progress.rows.size() * number / count);
    };
    part.rows.assign(row_at(i), row_at(i + 1));
    texts.push_back(EncodeProgress(part, form));
  }
  return texts;
}

}  // namespace

const char* ToString(JobPhase phase) { return kPhaseNames[static_cast<std::size_t>(phase)]; }

bool JobProgress::IsEnded() const {
  return this->phase == JobPhase::kComplete || this->phase == JobPhase::kFailed ||
         this->phase == JobPhase::kCancelled;
}

std::string EncodeProgress(const JobProgress& progress, ProgressForm form) {
  const bool is_compact = form == ProgressForm::kCompact && !progress.rows.empty();
  return is_compact ? EncodeCompactProgress(progress) : EncodeRows(progress);
}

std::vector<std::string> EncodeProgressParts(const JobProgress& progress, ProgressForm form,
                                             std::size_t max_bytes) {
  std::vector<std::string> texts;
  texts.push_back(EncodeProgress(progress, form));
  const auto is_too_large = [max_bytes](const std::string& text) {
    return text.size() > max_bytes;
  };
  std::size_t count = 1;
  while (count < progress.rows.size() && std::any_of(texts.begin(), texts.end(), is_too_large)) {
    count = std::min(count * 2, progress.rows.size());
    texts = EncodeInParts(progress, form, count);
  }
  return texts;
}

bool IsCompactProgress(std::string_view text) { return text.starts_with('['); }

Result<JobProgress> DecodeProgress(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || (!value.is_object() && !value.is_array())) {
    return Reason{ErrorCode::kMalformed, "", "the record is not a job's progress"};
  }
  try {
    return value.is_array() ? DecodeCompactProgress(value) : DecodeRows(value.get_object());
  } catch (const FieldFault& fault) {
    return fault.AsReason();
  }
}

Result<JobProgress> DecodeProgressParts(const std::vector<std::string_view>& texts) {
  Result<JobProgress> progress = DecodeProgress(texts.front());
  if (!progress) {
    return progress;
  }
  JobProgress whole = *std::move(progress);
  for (std::size_t i = 1; i <= whole.further_parts; ++i) {
    const std::string name = "part " + std::to_string(i);
    if (i >= texts.size()) {
      return Reason{ErrorCode::kMalformed, name, "is missing"};
    }
    const Result<JobProgress> part = DecodeProgress(texts[i]);
    if (!part) {
      return Reason{ErrorCode::kMalformed, name, ToString(part.LastReason())};
    }
    whole.rows.insert(whole.rows.end(), part->rows.begin(), part->rows.end());
  }
  whole.further_parts = 0;
  return whole;
}

}  // namespace chervilspar::jobs
