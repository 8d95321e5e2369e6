#pragma once

#include "bench/outcome.h"
#include "bench/scenario.h"

namespace chervilspar::bench {

/// Runs a scenario in virtual time: callers and endpoints are small fakes, the decisions are the
/// product's own `ServiceShard`, one for each entry. The same scenario gives the same outcome.
RunOutcome Simulate(const Scenario& scenario);

}  // namespace chervilspar::bench
