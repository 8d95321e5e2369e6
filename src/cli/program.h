#pragma once

#include <string>
#include <vector>

#include "chervilspar/entry/settings.h"
#include "chervilspar/job_entry/settings.h"

#include "cli/command.h"

namespace chervilspar::cli {

/// Runs what the command line asks for.
class CommandRunner {
 public:
  virtual ~CommandRunner() = default;
  /// Runs an entry that takes, stores and schedules jobs.
  virtual ExitCode JobEntry(const job_entry::JobEntrySettings& settings) = 0;
  virtual ExitCode Entry(const entry::EntrySettings& settings) = 0;
  /// The connection over which operators' commands talk to entries.
  virtual Result<std::unique_ptr<EntryConnection>> Connect(
      const std::vector<std::string>& routes) = 0;
};

/// Parses the command line with its environment variables and runs the command. `arguments` are
/// those after the program's name.
ExitCode RunProgram(const std::vector<std::string>& arguments, CommandRunner& runner,
                    const Console& console);

}  // namespace chervilspar::cli
