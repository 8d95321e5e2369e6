#pragma once

#include <string>

#include <boost/json.hpp>

#include "chervilspar/jobs/progress.h"

namespace chervilspar::jobs {

/// Encodes a job's progress with each endpoint once, and with one group for all tasks of a step
/// that differ only in index, endpoint and checkpoint:
///
///     [phase, endpoints, groups, complete, ended_ms]
///     endpoints: [id, born_ms, id, born_ms, ...]; each born_ms less the previous one
///     a group:   [phase, step, tasks, at, run, checkpoints, ended_run, failures, occurrence]
///     tasks:     a bit set of the indices, 32 bits per number, lowest first
///     at:        positions in `endpoints` of the tasks' endpoints
///     at, checkpoints: by ascending index; empty if no task has one, one item if all are equal
///
/// Trailing columns are omitted if they have their default: 1 for run, 0 or empty for all others.
/// `progress` must have at least one row.
std::string EncodeCompactProgress(const JobProgress& progress);

/// Decodes the compact format. Throws `FieldFault` if a field is invalid.
JobProgress DecodeCompactProgress(const boost::json::value& in);

}  // namespace chervilspar::jobs
