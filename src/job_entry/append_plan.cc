#include "job_entry/append_plan.h"

#include <utility>

#include "chervilspar/jobs/job.h"

namespace chervilspar::job_entry {

namespace {

/// The lengths of a record and of its key.
constexpr std::size_t kFrameBytes = 5;
constexpr char kPartSeparator = '/';

std::string GroupKeyOf(const std::string& key) {
  std::string job = key.substr(0, key.find(kPartSeparator));
  return jobs::ParseJobId(job) ? std::move(job) : key;
}

}  // namespace

std::size_t SizeInAppend(const KeyedRecord& record) {
  return kFrameBytes + record.key.size() + (record.value ? record.value->size() : 0);
}

std::string ProgressKey(std::string_view job, std::uint32_t part) {
  std::string key(job);
  if (part > 0) {
    key += kPartSeparator + std::to_string(part);
  }
  return key;
}

std::size_t RecordGroup::Size() const {
  std::size_t size = 0;
  for (const KeyedRecord& record : this->records) {
    size += SizeInAppend(record);
  }
  return size;
}

std::vector<Append> PlanAppends(std::vector<KeyedRecord> records, std::size_t max_bytes) {
  std::vector<RecordGroup> groups;
  for (KeyedRecord& record : records) {
    std::string key = GroupKeyOf(record.key);
    if (groups.empty() || groups.back().key != key) {
      groups.push_back({std::move(key), {}});
    }
    groups.back().records.push_back(std::move(record));
  }
  std::vector<Append> appends;
  std::size_t size = 0;
  for (RecordGroup& group : groups) {
    const std::size_t group_size = group.Size();
    if (appends.empty() || size + group_size > max_bytes) {
      appends.emplace_back();
      size = 0;
    }
    size += group_size;
    appends.back().push_back(std::move(group));
  }
  return appends;
}

std::vector<KeyedRecord> RecordsOf(const Append& append) {
  std::vector<KeyedRecord> records;
  for (const RecordGroup& group : append) {
    records.insert(records.end(), group.records.begin(), group.records.end());
  }
  return records;
}

}  // namespace chervilspar::job_entry
