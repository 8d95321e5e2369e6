#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

#include "chervilspar/jobs/job_terms.h"

namespace chervilspar::jobs {

/// The stored forms; empty if there are no terms.
boost::json::array EncodeQueueTerms(const std::optional<QueueTerms>& terms);
boost::json::array EncodeTeamTerms(const std::optional<TeamTerms>& terms);

/// Return nothing if `in` is null or an empty array. Throw `FieldFault` for invalid columns; `path`
/// is the path of the array in its record.
std::optional<QueueTerms> DecodeQueueTerms(const boost::json::value* in, const std::string& path);
std::optional<TeamTerms> DecodeTeamTerms(const boost::json::value* in, const std::string& path);

}  // namespace chervilspar::jobs
