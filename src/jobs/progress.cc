#include "chervilspar/jobs/progress.h"

#include <array>

#include <boost/json.hpp>

#include "jobs/json_values.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

/// A row is stored as a list, in this order; records are written several times for each job.
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
  kColumns
};

constexpr std::array<const char*, 5> kPhaseNames = {"queued", "running", "complete", "failed",
                                                    "cancelled"};

json::array EncodeRow(const TaskRow& row) {
  const TaskProgress& task = row.progress;
  return {
      row.occurrence, row.step,      row.index,     static_cast<int>(task.phase), task.run,
      task.ended_run, task.failures, task.endpoint, task.endpoint_born_ms,        task.checkpoint};
}

TaskRow DecodeRow(const json::array& in) {
  TaskRow row;
  row.occurrence = in.at(kOccurrence).to_number<std::uint32_t>();
  row.step = in.at(kStep).to_number<std::uint32_t>();
  row.index = in.at(kIndex).to_number<std::uint32_t>();
  row.progress.phase = static_cast<TaskPhase>(in.at(kPhase).to_number<int>());
  row.progress.run = in.at(kRun).to_number<std::uint64_t>();
  row.progress.ended_run = in.at(kEndedRun).to_number<std::uint64_t>();
  row.progress.failures = in.at(kFailures).to_number<std::uint32_t>();
  row.progress.endpoint = std::string(in.at(kEndpoint).as_string());
  row.progress.endpoint_born_ms = in.at(kBorn).to_number<std::int64_t>();
  row.progress.checkpoint = std::string(in.at(kCheckpoint).as_string());
  return row;
}

}  // namespace

const char* ToString(JobPhase phase) { return kPhaseNames[static_cast<std::size_t>(phase)]; }

bool TaskProgress::ShowsRun() const {
  return this->phase == TaskPhase::kDone || this->phase == TaskPhase::kFailed ||
         this->ended_run > 0 || !this->checkpoint.empty();
}

bool JobProgress::IsEnded() const {
  return this->phase == JobPhase::kComplete || this->phase == JobPhase::kFailed ||
         this->phase == JobPhase::kCancelled;
}

std::string EncodeProgress(const JobProgress& progress) {
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

Result<JobProgress> DecodeProgress(std::string_view text) {
  const Reason unreadable{ErrorCode::kMalformed, "", "the record is not a job's progress"};
  try {
    const json::value value = json::parse(text);
    const json::object& in = value.as_object();
    const int phase = NumberOf<int>(in, "phase");
    if (phase < 0 || phase >= static_cast<int>(kPhaseNames.size())) {
      return unreadable;
    }
    JobProgress progress;
    progress.phase = static_cast<JobPhase>(phase);
    progress.ended_ms = NumberOf<std::int64_t>(in, "ended_ms");
    if (const json::array* complete = ArrayOf(in, "complete")) {
      for (const json::value& occurrence : *complete) {
        progress.complete_occurrences.push_back(occurrence.to_number<std::uint32_t>());
      }
    }
    if (const json::array* rows = ArrayOf(in, "rows")) {
      for (const json::value& row : *rows) {
        progress.rows.push_back(DecodeRow(row.as_array()));
      }
    }
    return progress;
  } catch (const std::exception&) {
    return unreadable;
  }
}

}  // namespace chervilspar::jobs
