#pragma once

#include "bench/fleet/fleet.h"

namespace chervilspar::scenario {

/// Measures what going through an entry costs, against the same client talking to the endpoint
/// directly: throughput per core used, latency, and memory with idle callers. Prints a table and
/// JSON lines; the exit code says only whether it could measure.
int RunBenchHttp(const RunSettings& settings, Duration span);

}  // namespace chervilspar::scenario
