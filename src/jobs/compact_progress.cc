#include "jobs/compact_progress.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>
#include <utility>

#include "jobs/complete_columns.h"
#include "jobs/json_columns.h"
#include "jobs/terms_codec.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

enum RecordColumn : std::size_t {
  kJobPhase,
  kEndpoints,
  kGroups,
  kComplete,
  kEndedMs,
  kCompleteRanges,
  kFurtherParts,
  kQueueTerms,
  kTeamTerms
};
constexpr const char* kRecordNames[] = {"phase",         "endpoints",   "groups",
                                        "complete",      "ended_ms",    "complete_ranges",
                                        "further_parts", "queue_terms", "team_terms"};

enum GroupColumn : std::size_t {
  kPhase,
  kStep,
  kTasks,
  kAt,
  kRun,
  kCheckpoints,
  kEndedRun,
  kFailures,
  kOccurrence
};
constexpr const char* kGroupNames[] = {"phase",       "step",      "tasks",    "at",        "run",
                                       "checkpoints", "ended_run", "failures", "occurrence"};

constexpr std::uint32_t kBitsPerNumber = 32;
constexpr std::uint64_t kDefaultRun = 1;

/// An endpoint's start time in Unix milliseconds and its id. Sorting by this pair keeps the
/// differences of successive start times small.
using Incarnation = std::pair<std::int64_t, std::string>;

Incarnation IncarnationOf(const TaskProgress& task) {
  return {task.endpoint_born_ms, task.endpoint};
}

using Group = std::vector<const TaskRow*>;

/// The values that the rows of a group share.
auto GroupKeyOf(const TaskRow& row) {
  const TaskProgress& task = row.progress;
  return std::tuple(row.occurrence, row.step, task.phase, task.run, task.ended_run, task.failures,
                    IncarnationOf(task) != Incarnation{}, !task.checkpoint.empty());
}

void TrimDefaults(json::array& columns, std::size_t min_size) {
  const auto is_default = [](const json::value& value) {
    return value.is_array() ? value.get_array().empty() : value == json::value(0);
  };
  while (columns.size() > min_size && is_default(columns.back())) {
    columns.pop_back();
  }
}

json::array EncodeTasks(const Group& group) {
  std::vector<std::uint32_t> bits;
  for (const TaskRow* row : group) {
    const std::size_t position = row->index / kBitsPerNumber;
    bits.resize(std::max(bits.size(), position + 1));
    bits[position] |= 1U << (row->index % kBitsPerNumber);
  }
  return json::array(bits.begin(), bits.end());
}

/// Encodes one item for each row, or a single item if all are equal.
template <typename ItemOf>
json::array EncodeItems(const Group& group, const ItemOf& item_of) {
  json::array items;
  for (const TaskRow* row : group) {
    items.emplace_back(item_of(*row));
  }
  const auto differs = [&items](const json::value& item) { return item != items.front(); };
  if (std::none_of(items.begin(), items.end(), differs)) {
    items.resize(1);
  }
  return items;
}

json::array EncodeGroup(const Group& group,
                        const std::map<Incarnation, std::size_t>& incarnations) {
  const TaskRow& first = *group.front();
  const TaskProgress& task = first.progress;
  json::array at;
  if (IncarnationOf(task) != Incarnation{}) {
    at = EncodeItems(
        group, [&](const TaskRow& row) { return incarnations.at(IncarnationOf(row.progress)); });
  }
  json::array checkpoints;
  if (!task.checkpoint.empty()) {
    checkpoints = EncodeItems(group, [](const TaskRow& row) { return row.progress.checkpoint; });
  }
  json::array out{
      static_cast<int>(task.phase), first.step,     EncodeTasks(group), std::move(at),   task.run,
      std::move(checkpoints),       task.ended_run, task.failures,      first.occurrence};
  TrimDefaults(out, kRun + 1);
  if (out.size() == kRun + 1 && task.run == kDefaultRun) {
    out.pop_back();
    TrimDefaults(out, kAt);
  }
  return out;
}

/// Numbers the incarnations to which the rows refer, in their sort order.
std::map<Incarnation, std::size_t> NumberIncarnations(const std::vector<TaskRow>& rows) {
  std::map<Incarnation, std::size_t> incarnations;
  for (const TaskRow& row : rows) {
    if (IncarnationOf(row.progress) != Incarnation{}) {
      incarnations.emplace(IncarnationOf(row.progress), 0);
    }
  }
  std::size_t number = 0;
  for (auto& [incarnation, position] : incarnations) {
    position = number++;
  }
  return incarnations;
}

/// Start times are stored as differences, which take fewer digits. The difference wraps around, so
/// that it is defined for any two values.
std::int64_t WrappingDifference(std::int64_t later, std::int64_t earlier) {
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(later) -
                                   static_cast<std::uint64_t>(earlier));
}

std::int64_t WrappingSum(std::int64_t one, std::int64_t other) {
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(one) +
                                   static_cast<std::uint64_t>(other));
}

json::array EncodeIncarnations(const std::map<Incarnation, std::size_t>& incarnations) {
  json::array out;
  std::int64_t previous = 0;
  for (const auto& [incarnation, position] : incarnations) {
    out.emplace_back(incarnation.second);
    out.emplace_back(WrappingDifference(incarnation.first, previous));
    previous = incarnation.first;
  }
  return out;
}

std::vector<Incarnation> DecodeIncarnations(const json::array& in, const std::string& path) {
  if (in.size() % 2 != 0) {
    throw FieldFault(path, "has an endpoint without a start time");
  }
  std::vector<Incarnation> incarnations;
  std::int64_t previous = 0;
  for (std::size_t i = 0; i < in.size(); i += 2) {
    previous = WrappingSum(previous,
                           NumberAt<std::int64_t>(in[i + 1], path + '/' + std::to_string(i + 1)));
    incarnations.emplace_back(previous, TextAt(in[i], path + '/' + std::to_string(i)));
  }
  return incarnations;
}

std::vector<std::uint32_t> DecodeTasks(const json::array& in, const std::string& path) {
  if (in.size() * kBitsPerNumber > kMaxTasks + kBitsPerNumber) {
    throw FieldFault(path, "has more tasks than a job may have");
  }
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < in.size(); ++i) {
    auto bits = NumberAt<std::uint32_t>(in[i], path + '/' + std::to_string(i));
    for (; bits != 0; bits &= bits - 1) {
      indices.push_back(i * kBitsPerNumber + static_cast<std::uint32_t>(std::countr_zero(bits)));
    }
  }
  if (indices.empty()) {
    throw FieldFault(path, "contains no tasks");
  }
  return indices;
}

/// Returns the item for the task at `position` of `count`, or null if the array is empty.
const json::value* ItemFor(const json::array& items, std::size_t position, std::size_t count,
                           const std::string& path) {
  if (items.empty()) {
    return nullptr;
  }
  if (items.size() != 1 && items.size() != count) {
    throw FieldFault(path, "must have one item, or one item per task");
  }
  return &items[items.size() == 1 ? 0 : position];
}

void DecodeGroup(const JsonColumns& in, const std::vector<Incarnation>& incarnations,
                 std::vector<TaskRow>& rows) {
  const std::vector<std::uint32_t> indices = DecodeTasks(in.List(kTasks), in.PathOf(kTasks));
  TaskRow row;
  row.occurrence = in.Number<std::uint32_t>(kOccurrence, 0);
  row.step = in.Number<std::uint32_t>(kStep);
  row.progress.phase = in.OneOf(kPhase, TaskPhase::kFailed);
  row.progress.run = in.Number<std::uint64_t>(kRun, kDefaultRun);
  row.progress.ended_run = in.Number<std::uint64_t>(kEndedRun, 0);
  row.progress.failures = in.Number<std::uint32_t>(kFailures, 0);
  for (std::size_t i = 0; i < indices.size(); ++i) {
    TaskRow& added = rows.emplace_back(row);
    added.index = indices[i];
    if (const json::value* at = ItemFor(in.List(kAt), i, indices.size(), in.PathOf(kAt))) {
      const auto incarnation = NumberAt<std::size_t>(*at, in.PathOf(kAt));
      if (incarnation >= incarnations.size()) {
        throw FieldFault(in.PathOf(kAt), "refers to an endpoint that is not listed");
      }
      added.progress.endpoint = incarnations[incarnation].second;
      added.progress.endpoint_born_ms = incarnations[incarnation].first;
    }
    const json::value* const checkpoint =
        ItemFor(in.List(kCheckpoints), i, indices.size(), in.PathOf(kCheckpoints));
    if (checkpoint != nullptr) {
      added.progress.checkpoint = TextAt(*checkpoint, in.PathOf(kCheckpoints));
    }
  }
}

}  // namespace

std::string EncodeCompactProgress(const JobProgress& progress) {
  const std::map<Incarnation, std::size_t> incarnations = NumberIncarnations(progress.rows);
  std::map<decltype(GroupKeyOf(TaskRow{})), Group> groups;
  for (const TaskRow& row : progress.rows) {
    groups[GroupKeyOf(row)].push_back(&row);
  }
  json::array encoded;
  for (const auto& [key, group] : groups) {
    encoded.emplace_back(EncodeGroup(group, incarnations));
  }
  CompleteColumns complete = EncodeComplete(progress.complete_occurrences);
  json::array out{static_cast<int>(progress.phase),
                  EncodeIncarnations(incarnations),
                  std::move(encoded),
                  std::move(complete.numbers),
                  progress.ended_ms,
                  std::move(complete.ranges),
                  progress.further_parts,
                  EncodeQueueTerms(progress.terms.queue),
                  EncodeTeamTerms(progress.terms.team)};
  TrimDefaults(out, kGroups + 1);
  return json::serialize(out);
}

JobProgress DecodeCompactProgress(const json::value& in) {
  const JsonColumns columns(in, kRecordNames, "");
  JobProgress progress;
  progress.phase = columns.OneOf(kJobPhase, JobPhase::kCancelled);
  progress.ended_ms = columns.Number<std::int64_t>(kEndedMs, 0);
  progress.complete_occurrences =
      DecodeComplete(columns.List(kComplete), columns.PathOf(kComplete),
                     columns.List(kCompleteRanges), columns.PathOf(kCompleteRanges));
  progress.further_parts = columns.Number<std::uint32_t>(kFurtherParts, 0);
  progress.terms.queue = DecodeQueueTerms(columns.Find(kQueueTerms), columns.PathOf(kQueueTerms));
  progress.terms.team = DecodeTeamTerms(columns.Find(kTeamTerms), columns.PathOf(kTeamTerms));
  const std::vector<Incarnation> incarnations =
      DecodeIncarnations(columns.List(kEndpoints), columns.PathOf(kEndpoints));
  const json::array& groups = ListAt(columns.At(kGroups), columns.PathOf(kGroups));
  if (groups.empty()) {
    throw FieldFault(columns.PathOf(kGroups), "must not be empty");
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const std::string path = columns.PathOf(kGroups) + '/' + std::to_string(i);
    DecodeGroup(JsonColumns(groups[i], kGroupNames, path), incarnations, progress.rows);
  }
  std::sort(progress.rows.begin(), progress.rows.end(), [](const TaskRow& one, const TaskRow& two) {
    return std::tie(one.occurrence, one.step, one.index) <
           std::tie(two.occurrence, two.step, two.index);
  });
  return progress;
}

}  // namespace chervilspar::jobs
