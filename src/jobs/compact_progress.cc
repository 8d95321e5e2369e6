#include "jobs/compact_progress.h"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <span>
#include <string_view>
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
using Incarnation = std::pair<std::int64_t, std::string_view>;

Incarnation IncarnationOf(const TaskRow& row) {
  return {row.progress.endpoint_born_ms, row.progress.endpoint};
}

/// The values that the rows of a group share.
auto GroupKeyOf(const TaskRow& row) {
  const TaskProgress& task = row.progress;
  return std::tuple(row.occurrence, row.step, task.phase, task.run, task.ended_run, task.failures,
                    IncarnationOf(row) != Incarnation{}, !task.checkpoint.empty());
}

/// Rows of equal keys.
using Group = std::span<const TaskRow* const>;

/// Sorts the rows by their keys.
std::vector<const TaskRow*> SortByGroup(const std::vector<TaskRow>& rows) {
  std::vector<const TaskRow*> sorted;
  sorted.reserve(rows.size());
  for (const TaskRow& row : rows) {
    sorted.push_back(&row);
  }
  std::stable_sort(sorted.begin(), sorted.end(), [](const TaskRow* one, const TaskRow* other) {
    return GroupKeyOf(*one) < GroupKeyOf(*other);
  });
  return sorted;
}

void TrimDefaults(json::array& columns) {
  const auto is_default = [](const json::value& value) {
    return value.is_array() ? value.get_array().empty() : value == json::value(0);
  };
  while (!columns.empty() && is_default(columns.back())) {
    columns.pop_back();
  }
}

/// The incarnations to which the rows refer, in their sort order. Their positions are their
/// numbers.
std::vector<Incarnation> CollectIncarnations(const std::vector<TaskRow>& rows) {
  std::vector<Incarnation> incarnations;
  incarnations.reserve(rows.size());
  for (const TaskRow& row : rows) {
    if (IncarnationOf(row) != Incarnation{}) {
      incarnations.push_back(IncarnationOf(row));
    }
  }
  std::sort(incarnations.begin(), incarnations.end());
  incarnations.erase(std::unique(incarnations.begin(), incarnations.end()), incarnations.end());
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

/// Writes a record as JSON text. An owner under load encodes thousands of records a second, which
/// takes it several times as long by way of a JSON document.
class RecordWriter {
 public:
  explicit RecordWriter(const JobProgress& progress)
      : progress(progress), incarnations(CollectIncarnations(progress.rows)) {}

  std::string Write() {
    this->text.push_back('[');
    this->Add(static_cast<int>(this->progress.phase));
    this->text.push_back(',');
    this->AddIncarnations();
    this->text.push_back(',');
    this->AddGroups();
    this->AddRest();
    this->text.push_back(']');
    return std::move(this->text);
  }

 private:
  template <typename Number>
  void Add(Number number) {
    std::array<char, 24> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    this->text.append(digits.data(), written.ptr);
  }

  void AddText(std::string_view value) {
    const bool is_plain = std::all_of(value.begin(), value.end(), [](char c) {
      return c >= ' ' && c <= '~' && c != '"' && c != '\\';
    });
    if (is_plain) {
      this->text.append(1, '"').append(value).append(1, '"');
    } else {
      this->text += json::serialize(value);
    }
  }

  /// Adds an array of `count` items.
  template <typename AddItem>
  void AddList(std::size_t count, const AddItem& add_item) {
    this->text.push_back('[');
    for (std::size_t i = 0; i < count; ++i) {
      if (i > 0) {
        this->text.push_back(',');
      }
      add_item(i);
    }
    this->text.push_back(']');
  }

  void AddIncarnations() {
    std::int64_t previous = 0;
    this->AddList(this->incarnations.size(), [&](std::size_t i) {
      this->AddText(this->incarnations[i].second);
      this->text.push_back(',');
      this->Add(WrappingDifference(this->incarnations[i].first, previous));
      previous = this->incarnations[i].first;
    });
  }

  void AddGroups() {
    const std::vector<const TaskRow*> sorted = SortByGroup(this->progress.rows);
    std::vector<Group> groups;
    for (std::size_t begin = 0; begin < sorted.size();) {
      std::size_t end = begin + 1;
      while (end < sorted.size() && GroupKeyOf(*sorted[begin]) == GroupKeyOf(*sorted[end])) {
        ++end;
      }
      groups.push_back(Group(sorted).subspan(begin, end - begin));
      begin = end;
    }
    this->AddList(groups.size(), [&](std::size_t i) { this->AddGroup(groups[i]); });
  }

  void AddGroup(Group group) {
    const TaskRow& first = *group.front();
    const TaskProgress& task = first.progress;
    const bool has_places = IncarnationOf(first) != Incarnation{};
    this->AddList(CountColumns(first), [&](std::size_t column) {
      switch (column) {
        case kPhase:
          return this->Add(static_cast<int>(task.phase));
        case kStep:
          return this->Add(first.step);
        case kTasks:
          return this->AddTasks(group);
        case kAt:
          return this->AddItems(has_places ? group : Group{}, IncarnationOf,
                                [this](const Incarnation& place) { this->AddPlace(place); });
        case kRun:
          return this->Add(task.run);
        case kCheckpoints:
          return this->AddItems(
              task.checkpoint.empty() ? Group{} : group,
              [](const TaskRow& row) -> std::string_view { return row.progress.checkpoint; },
              [this](std::string_view checkpoint) { this->AddText(checkpoint); });
        case kEndedRun:
          return this->Add(task.ended_run);
        case kFailures:
          return this->Add(task.failures);
        default:
          return this->Add(first.occurrence);
      }
    });
  }

  /// The columns up to the last one that differs from its default.
  static std::size_t CountColumns(const TaskRow& row) {
    const TaskProgress& task = row.progress;
    if (row.occurrence != 0) {
      return kOccurrence + 1;
    }
    if (task.failures != 0) {
      return kFailures + 1;
    }
    if (task.ended_run != 0) {
      return kEndedRun + 1;
    }
    if (!task.checkpoint.empty()) {
      return kCheckpoints + 1;
    }
    if (task.run != kDefaultRun) {
      return kRun + 1;
    }
    return IncarnationOf(row) != Incarnation{} ? kAt + 1 : kAt;
  }

  void AddTasks(Group group) {
    std::vector<std::uint32_t> bits;
    for (const TaskRow* row : group) {
      const std::size_t position = row->index / kBitsPerNumber;
      bits.resize(std::max(bits.size(), position + 1));
      bits[position] |= 1U << (row->index % kBitsPerNumber);
    }
    this->AddList(bits.size(), [&](std::size_t i) { this->Add(bits[i]); });
  }

  /// Adds one item for each row, or a single item if all are equal.
  template <typename ItemOf, typename AddItem>
  void AddItems(Group group, const ItemOf& item_of, const AddItem& add_item) {
    const bool are_equal = std::all_of(group.begin(), group.end(), [&](const TaskRow* row) {
      return item_of(*row) == item_of(*group.front());
    });
    this->AddList(are_equal ? std::min<std::size_t>(group.size(), 1) : group.size(),
                  [&](std::size_t i) { add_item(item_of(*group[i])); });
  }

  void AddPlace(const Incarnation& place) {
    const auto found =
        std::lower_bound(this->incarnations.begin(), this->incarnations.end(), place);
    this->Add(found - this->incarnations.begin());
  }

  /// The columns that most records don't need.
  void AddRest() {
    CompleteColumns complete = EncodeComplete(this->progress.complete_occurrences);
    json::array rest{std::move(complete.numbers),
                     this->progress.ended_ms,
                     std::move(complete.ranges),
                     this->progress.further_parts,
                     EncodeQueueTerms(this->progress.terms.queue),
                     EncodeTeamTerms(this->progress.terms.team)};
    TrimDefaults(rest);
    for (const json::value& value : rest) {
      this->text.push_back(',');
      this->text += json::serialize(value);
    }
  }

  const JobProgress& progress;
  const std::vector<Incarnation> incarnations;
  std::string text;
};

/// An incarnation that was decoded.
using StoredIncarnation = std::pair<std::int64_t, std::string>;

std::vector<StoredIncarnation> DecodeIncarnations(const json::array& in, const std::string& path) {
  if (in.size() % 2 != 0) {
    throw FieldFault(path, "has an endpoint without a start time");
  }
  std::vector<StoredIncarnation> incarnations;
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

void DecodeGroup(const JsonColumns& in, const std::vector<StoredIncarnation>& incarnations,
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
  return RecordWriter(progress).Write();
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
  const std::vector<StoredIncarnation> incarnations =
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
