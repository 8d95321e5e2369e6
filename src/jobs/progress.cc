#include "chervilspar/jobs/progress.h"

#include <array>

#include <boost/json.hpp>

#include "jobs/compact_progress.h"
#include "jobs/json_columns.h"
#include "jobs/json_values.h"

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
  if (!progress.complete_occurrences.empty()) {
    out["complete"] = json::value_from(progress.complete_occurrences);
  }
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
  if (const json::value* complete = in.if_contains("complete")) {
    for (const json::value& occurrence : ListAt(*complete, "complete")) {
      progress.complete_occurrences.push_back(NumberAt<std::uint32_t>(occurrence, "complete"));
    }
  }
  if (const json::value* stored = in.if_contains("rows")) {
    const json::array& rows = ListAt(*stored, "rows");
    for (std::size_t i = 0; i < rows.size(); ++i) {
      progress.rows.push_back(
          DecodeRow(JsonColumns(rows[i], kColumnNames, "rows/" + std::to_string(i))));
    }
  }
  return progress;
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

}  // namespace chervilspar::jobs
