#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "chervilspar/entry/settings.h"
#include "chervilspar/job_entry/settings.h"

#include "cli/command.h"

namespace chervilspar::cli {

/// Flags that every operators' command has, as given.
struct RawOperatorFlags {
  std::vector<std::string> entries;
  std::string operator_key;
  std::string operator_key_file;
  std::string timeout = "30s";
  std::vector<std::string> routes;
};

/// Adds a flag with its environment variable: `--log-address` is also CHERVILSPAR_LOG_ADDRESS.
CLI::Option* AddFlag(CLI::App& app, const std::string& name, std::string& value,
                     const std::string& description);
/// The same for a flag that may be repeated; its environment variable takes a list with commas.
CLI::Option* AddListFlag(CLI::App& app, const std::string& name, std::vector<std::string>& values,
                         const std::string& description);

void AddJobEntryFlags(CLI::App& app, job_entry::RawJobEntrySettings& raw);
void AddEntryFlags(CLI::App& app, entry::RawEntrySettings& raw);
void AddOperatorFlags(CLI::App& app, RawOperatorFlags& raw);

/// Checked operators' flags, or all faults at once.
struct OperatorFlagsOutcome {
  std::optional<OperatorOptions> options;
  std::vector<Reason> faults;
};

OperatorFlagsOutcome CheckOperatorFlags(const RawOperatorFlags& raw);

}  // namespace chervilspar::cli
