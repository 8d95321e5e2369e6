#include "job_entry/append_plan.h"

#include <iterator>
#include <utility>

#include "chervilspar/jobs/job.h"

namespace chervilspar::job_entry {

namespace {

/// The lengths of a record and of its key.
constexpr std::size_t kFrameBytes = 5;
constexpr char kPartSeparator = '/';

/// The positions at which groups begin, and the end.
std::vector<std::size_t> GroupBounds(const std::vector<KeyedRecord>& records) {
  std::vector<std::size_t> bounds;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (i == 0 || GroupKeyOf(records[i].key) != GroupKeyOf(records[i - 1].key)) {
      bounds.push_back(i);
    }
  }
  bounds.push_back(records.size());
  return bounds;
}

std::vector<KeyedRecord> TakeRange(std::vector<KeyedRecord>& records, std::size_t begin,
                                   std::size_t end) {
  const auto first = records.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto last = records.begin() + static_cast<std::ptrdiff_t>(end);
  return {std::make_move_iterator(first), std::make_move_iterator(last)};
}

}  // namespace

std::size_t SizeInAppend(const KeyedRecord& record) {
  return kFrameBytes + record.key.size() + (record.value ? record.value->size() : 0);
}

std::size_t SizeInAppend(const std::vector<KeyedRecord>& records) {
  std::size_t size = 0;
  for (const KeyedRecord& record : records) {
    size += SizeInAppend(record);
  }
  return size;
}

std::string ProgressKey(std::string_view job, std::uint32_t part) {
  std::string key(job);
  if (part > 0) {
    key += kPartSeparator + std::to_string(part);
  }
  return key;
}

std::string GroupKeyOf(const std::string& key) {
  std::string job = key.substr(0, key.find(kPartSeparator));
  if (jobs::ParseJobId(job)) {
    return job;
  }
  return key;
}

std::vector<std::vector<KeyedRecord>> DivideByLimit(std::vector<KeyedRecord> records,
                                                    std::size_t max_bytes) {
  std::vector<std::vector<KeyedRecord>> appends;
  if (SizeInAppend(records) <= max_bytes) {
    appends.push_back(std::move(records));
    return appends;
  }
  const std::vector<std::size_t> bounds = GroupBounds(records);
  std::size_t size = 0;
  for (std::size_t i = 0; i + 1 < bounds.size(); ++i) {
    std::vector<KeyedRecord> group = TakeRange(records, bounds[i], bounds[i + 1]);
    const std::size_t group_size = SizeInAppend(group);
    if (appends.empty() || size + group_size > max_bytes) {
      appends.emplace_back();
      size = 0;
    }
    size += group_size;
    std::move(group.begin(), group.end(), std::back_inserter(appends.back()));
  }
  return appends;
}

std::vector<std::vector<KeyedRecord>> Halve(std::vector<KeyedRecord> records) {
  const std::vector<std::size_t> bounds = GroupBounds(records);
  const std::size_t groups = bounds.size() - 1;
  std::vector<std::vector<KeyedRecord>> halves;
  if (groups < 2) {
    halves.push_back(std::move(records));
    return halves;
  }
  const std::size_t middle = bounds[groups / 2];
  halves.push_back(TakeRange(records, 0, middle));
  halves.push_back(TakeRange(records, middle, records.size()));
  return halves;
}

}  // namespace chervilspar::job_entry
