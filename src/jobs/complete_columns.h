#pragma once

#include <string>

#include <boost/json.hpp>

#include "chervilspar/jobs/occurrence_set.h"

#include "jobs/json_columns.h"

namespace chervilspar::jobs {

/// The stored form of a job's complete occurrences.
struct CompleteColumns {
  /// The numbers one by one, which older versions can decode; empty if there are many of them.
  boost::json::array numbers;
  /// Otherwise the first number of each range and the number after its last, alternating.
  boost::json::array ranges;
};

CompleteColumns EncodeComplete(const OccurrenceSet& complete);
/// Throws `FieldFault` for invalid numbers; `numbers_path` and `ranges_path` name the fields.
OccurrenceSet DecodeComplete(const boost::json::array& numbers, const std::string& numbers_path,
                             const boost::json::array& ranges, const std::string& ranges_path);

}  // namespace chervilspar::jobs
