#pragma once

#include "chervilspar/job_entry/run_job_entry.h"

namespace chervilspar::cli {

/// Exit codes of every command; `--help` lists them.
enum class ExitCode : int {
  kOk = 0,
  /// The command ran and the answer is "no": a fault in the inventory, a rejected publish.
  kRefused = 1,
  /// Flags or environment variables are wrong; nothing was done.
  kUsage = 2,
  /// No entry could be reached, or the log took nothing; nothing was done.
  kUnreachable = 3,
  /// The outcome isn't known: an answer was lost after it may have taken effect.
  kUnknown = 4,
  /// An entry could not start.
  kStartFailed = 5,
  /// An entry shut down and had to give up requests in flight.
  kCut = 6,
  /// Part of the answer is missing, such as entries that `timeline` couldn't reach.
  kPartial = 7,
  /// The program ended by a failure of its own.
  kInternal = 70,
};

/// The program: parses the command line and runs a command; `links` reach the platform that it is
/// built for. Returns the exit code.
int Main(int argc, char** argv, job_entry::LinkFactory& links);

}  // namespace chervilspar::cli
