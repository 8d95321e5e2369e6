#pragma once

#include "chervilspar/entry/settings.h"

namespace chervilspar::entry {

/// Runs an entry until it is told to stop by SIGTERM or SIGINT. Returns the exit code: 0 after a
/// graceful shutdown, `cli::ExitCode` values otherwise.
int RunEntry(const EntrySettings& settings);

}  // namespace chervilspar::entry
