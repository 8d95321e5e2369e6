#include "jobs/compact_progress.h"

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>
#include <utility>

#include "jobs/json_columns.h"

namespace chervilspar::jobs {

namespace json = boost::json;

namespace {

enum RecordColumn : std::size_t { kJobPhase, kEndpoints, kGroups, kComplete, kEndedMs };
constexpr const char* kRecordNames[] = {"phase", "endpoints", "groups", "complete", "ended_ms"};

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

constexpr std::uint32_t kBitsOfNumber = 32;
constexpr std::uint64_t kUsualRun = 1;

/// An endpoint's life; lives that began at about the same time come one after the other.
using Life = std::pair<std::int64_t, std::string>;

Life LifeOf(const TaskProgress& task) { return {task.endpoint_born_ms, task.endpoint}; }

using Group = std::vector<const TaskRow*>;

/// What the rows of a group have in common.
auto CommonOf(const TaskRow& row) {
  const TaskProgress& task = row.progress;
  return std::tuple(row.occurrence, row.step, task.phase, task.run, task.ended_run, task.failures,
                    LifeOf(task) != Life{}, !task.checkpoint.empty());
}

void TrimDefaults(json::array& columns, std::size_t needed) {
  const auto is_default = [](const json::value& value) {
    return value.is_array() ? value.get_array().empty() : value == json::value(0);
  };
  while (columns.size() > needed && is_default(columns.back())) {
    columns.pop_back();
  }
}

json::array TasksOf(const Group& group) {
  std::vector<std::uint32_t> bits;
  for (const TaskRow* row : group) {
    const std::size_t place = row->index / kBitsOfNumber;
    bits.resize(std::max(bits.size(), place + 1));
    bits[place] |= 1U << (row->index % kBitsOfNumber);
  }
  return json::array(bits.begin(), bits.end());
}

/// One item for each row, or a single one that holds for all.
template <typename ItemOf>
json::array ItemsOf(const Group& group, const ItemOf& item_of) {
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

json::array EncodeGroup(const Group& group, const std::map<Life, std::size_t>& lives) {
  const TaskRow& first = *group.front();
  const TaskProgress& task = first.progress;
  json::array at;
  if (LifeOf(task) != Life{}) {
    at = ItemsOf(group, [&](const TaskRow& row) { return lives.at(LifeOf(row.progress)); });
  }
  json::array checkpoints;
  if (!task.checkpoint.empty()) {
    checkpoints = ItemsOf(group, [](const TaskRow& row) { return row.progress.checkpoint; });
  }
  json::array out{
      static_cast<int>(task.phase), first.step,     TasksOf(group), std::move(at),   task.run,
      std::move(checkpoints),       task.ended_run, task.failures,  first.occurrence};
  TrimDefaults(out, kRun + 1);
  if (out.size() == kRun + 1 && task.run == kUsualRun) {
    out.pop_back();
    TrimDefaults(out, kAt);
  }
  return out;
}

/// Numbers the lives that the rows name, in their order.
std::map<Life, std::size_t> LivesIn(const std::vector<TaskRow>& rows) {
  std::map<Life, std::size_t> lives;
  for (const TaskRow& row : rows) {
    if (LifeOf(row.progress) != Life{}) {
      lives.emplace(LifeOf(row.progress), 0);
    }
  }
  std::size_t number = 0;
  for (auto& [life, place] : lives) {
    place = number++;
  }
  return lives;
}

/// Births are told as differences, which are short. They wrap, so that any two have one.
std::int64_t Difference(std::int64_t later, std::int64_t earlier) {
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(later) -
                                   static_cast<std::uint64_t>(earlier));
}

std::int64_t Sum(std::int64_t one, std::int64_t other) {
  return static_cast<std::int64_t>(static_cast<std::uint64_t>(one) +
                                   static_cast<std::uint64_t>(other));
}

json::array EncodeLives(const std::map<Life, std::size_t>& lives) {
  json::array out;
  std::int64_t last = 0;
  for (const auto& [life, place] : lives) {
    out.emplace_back(life.second);
    out.emplace_back(Difference(life.first, last));
    last = life.first;
  }
  return out;
}

std::vector<Life> DecodeLives(const json::array& in, const std::string& path) {
  if (in.size() % 2 != 0) {
    throw FieldFault(path, "has an endpoint without birth");
  }
  std::vector<Life> lives;
  std::int64_t last = 0;
  for (std::size_t i = 0; i < in.size(); i += 2) {
    last = Sum(last, NumberAt<std::int64_t>(in[i + 1], path + '/' + std::to_string(i + 1)));
    lives.emplace_back(last, TextAt(in[i], path + '/' + std::to_string(i)));
  }
  return lives;
}

std::vector<std::uint32_t> DecodeTasks(const json::array& in, const std::string& path) {
  if (in.size() * kBitsOfNumber > kMaxTasks + kBitsOfNumber) {
    throw FieldFault(path, "has more tasks than a job may have");
  }
  std::vector<std::uint32_t> indices;
  for (std::uint32_t i = 0; i < in.size(); ++i) {
    auto bits = NumberAt<std::uint32_t>(in[i], path + '/' + std::to_string(i));
    for (; bits != 0; bits &= bits - 1) {
      indices.push_back(i * kBitsOfNumber + static_cast<std::uint32_t>(std::countr_zero(bits)));
    }
  }
  if (indices.empty()) {
    throw FieldFault(path, "names no task");
  }
  return indices;
}

/// The item of a list of items that belongs to the task at `place` of `count`; null for none.
const json::value* ItemFor(const json::array& items, std::size_t place, std::size_t count,
                           const std::string& path) {
  if (items.empty()) {
    return nullptr;
  }
  if (items.size() != 1 && items.size() != count) {
    throw FieldFault(path, "has another number of items than there are tasks");
  }
  return &items[items.size() == 1 ? 0 : place];
}

void DecodeGroup(const JsonColumns& in, const std::vector<Life>& lives,
                 std::vector<TaskRow>& rows) {
  const std::vector<std::uint32_t> indices = DecodeTasks(in.List(kTasks), in.PathOf(kTasks));
  TaskRow row;
  row.occurrence = in.Number<std::uint32_t>(kOccurrence, 0);
  row.step = in.Number<std::uint32_t>(kStep);
  row.progress.phase = in.OneOf(kPhase, TaskPhase::kFailed);
  row.progress.run = in.Number<std::uint64_t>(kRun, kUsualRun);
  row.progress.ended_run = in.Number<std::uint64_t>(kEndedRun, 0);
  row.progress.failures = in.Number<std::uint32_t>(kFailures, 0);
  for (std::size_t i = 0; i < indices.size(); ++i) {
    TaskRow& added = rows.emplace_back(row);
    added.index = indices[i];
    if (const json::value* at = ItemFor(in.List(kAt), i, indices.size(), in.PathOf(kAt))) {
      const auto life = NumberAt<std::size_t>(*at, in.PathOf(kAt));
      if (life >= lives.size()) {
        throw FieldFault(in.PathOf(kAt), "names an endpoint that is not listed");
      }
      added.progress.endpoint = lives[life].second;
      added.progress.endpoint_born_ms = lives[life].first;
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
  const std::map<Life, std::size_t> lives = LivesIn(progress.rows);
  std::map<decltype(CommonOf(TaskRow{})), Group> groups;
  for (const TaskRow& row : progress.rows) {
    groups[CommonOf(row)].push_back(&row);
  }
  json::array encoded;
  for (const auto& [common, group] : groups) {
    encoded.emplace_back(EncodeGroup(group, lives));
  }
  json::array out{static_cast<int>(progress.phase), EncodeLives(lives), std::move(encoded),
                  json::value_from(progress.complete_occurrences), progress.ended_ms};
  TrimDefaults(out, kGroups + 1);
  return json::serialize(out);
}

JobProgress DecodeCompactProgress(const json::value& in) {
  const JsonColumns columns(in, kRecordNames, "");
  JobProgress progress;
  progress.phase = columns.OneOf(kJobPhase, JobPhase::kCancelled);
  progress.ended_ms = columns.Number<std::int64_t>(kEndedMs, 0);
  for (const json::value& occurrence : columns.List(kComplete)) {
    progress.complete_occurrences.push_back(
        NumberAt<std::uint32_t>(occurrence, columns.PathOf(kComplete)));
  }
  const std::vector<Life> lives = DecodeLives(columns.List(kEndpoints), columns.PathOf(kEndpoints));
  const json::array& groups = ListAt(columns.At(kGroups), columns.PathOf(kGroups));
  if (groups.empty()) {
    throw FieldFault(columns.PathOf(kGroups), "are none");
  }
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const std::string path = columns.PathOf(kGroups) + '/' + std::to_string(i);
    DecodeGroup(JsonColumns(groups[i], kGroupNames, path), lives, progress.rows);
  }
  std::sort(progress.rows.begin(), progress.rows.end(), [](const TaskRow& one, const TaskRow& two) {
    return std::tie(one.occurrence, one.step, one.index) <
           std::tie(two.occurrence, two.step, two.index);
  });
  return progress;
}

}  // namespace chervilspar::jobs
