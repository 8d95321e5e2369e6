#pragma once

#include "bench/fleet/judge.h"

namespace chervilspar::scenario {

/// Prints what each team and each pool saw.
void PrintDemoTable(const Evidence& evidence);

}  // namespace chervilspar::scenario
