#pragma once

#include <string>

#include <boost/json.hpp>

#include "chervilspar/jobs/progress.h"

namespace chervilspar::jobs {

/// A job's progress with each endpoint once and one entry for all tasks of a step that differ only
/// in index, endpoint and checkpoint:
///
///     [phase, endpoints, groups, complete, ended_ms]
///     endpoints: [id, born_ms, id, born_ms, ...]; each birth less the one before
///     a group:   [phase, step, tasks, at, run, checkpoints, ended_run, failures, occurrence]
///     tasks:     the indices as a set of bits, 32 to a number, lowest first
///     at, checkpoints: by ascending index; empty for none, one item for all
///
/// Places at the end are left out where they have their default: run 1, all others 0 or empty.
/// Needs at least one row.
std::string EncodeCompactProgress(const JobProgress& progress);

/// Throws `FieldFault` for what can't be read.
JobProgress DecodeCompactProgress(const boost::json::value& in);

}  // namespace chervilspar::jobs
