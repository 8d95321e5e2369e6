#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/job_entry/store.h"

namespace chervilspar::job_entry {

/// What a record takes of the store's limit on one append, in bytes.
std::size_t SizeInAppend(const KeyedRecord& record);

/// The key of a part of a job's progress; part 0 has the key of the job.
std::string ProgressKey(std::string_view job, std::uint32_t part);

/// Records that have to be stored together: all parts of one job's progress, or any other record.
struct RecordGroup {
  /// The job's key, or that of the other record.
  std::string key;
  std::vector<KeyedRecord> records;

  std::size_t Size() const;

  friend bool operator==(const RecordGroup&, const RecordGroup&) = default;
};

using Append = std::vector<RecordGroup>;

/// Groups adjacent records that belong together, and divides the groups among appends of at most
/// `max_bytes` each. A larger group gets an append of its own.
std::vector<Append> PlanAppends(std::vector<KeyedRecord> records, std::size_t max_bytes);

/// All records of an append, in order.
std::vector<KeyedRecord> RecordsOf(const Append& append);

}  // namespace chervilspar::job_entry
