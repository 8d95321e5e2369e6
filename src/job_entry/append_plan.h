#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/job_entry/store.h"

namespace chervilspar::job_entry {

/// What records take of the store's limit on one append, in bytes.
std::size_t SizeInAppend(const KeyedRecord& record);
std::size_t SizeInAppend(const std::vector<KeyedRecord>& records);

/// The key of a part of a job's progress; part 0 has the key of the job.
std::string ProgressKey(std::string_view job, std::uint32_t part);

/// The key of the group that a record belongs to: the job's key for all parts of its progress,
/// otherwise its own. A group has to be stored together; its records are adjacent.
std::string GroupKeyOf(const std::string& key);

/// Divides records among appends of at most `max_bytes` each, without dividing a group. A larger
/// group gets an append of its own.
std::vector<std::vector<KeyedRecord>> DivideByLimit(std::vector<KeyedRecord> records,
                                                    std::size_t max_bytes);

/// Divides records into two halves of about as many groups; a single group remains whole.
std::vector<std::vector<KeyedRecord>> Halve(std::vector<KeyedRecord> records);

}  // namespace chervilspar::job_entry
