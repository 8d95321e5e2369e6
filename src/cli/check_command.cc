#include "chervilspar/inventory/check.h"
#include "chervilspar/inventory/document.h"
#include "chervilspar/maintenance/date_forecast.h"

#include "cli/command.h"

namespace chervilspar::cli {

namespace {

/// The state right after a publish of the inventory, with all VMs taken for available.
config_log::FleetState StateAfterPublish(const inventory::Inventory& inventory) {
  config_log::FleetState state;
  state.version = 1;
  state.inventory = inventory;
  for (const auto& [id, vm] : inventory.vms) {
    state.vm_status[id].condition = config_log::VmCondition::kAvailable;
  }
  return state;
}

/// Whether the move can end by its date, as the planner sees it.
std::vector<inventory::Finding> CheckDate(const inventory::Inventory& inventory, WallTime now) {
  using maintenance::DateVerdict;
  const maintenance::DateForecast forecast =
      maintenance::ForecastDate(StateAfterPublish(inventory), maintenance::StepTimes{}, now);
  std::vector<inventory::Finding> findings;
  if (forecast.verdict == DateVerdict::kTooEarly && forecast.earliest_date) {
    findings.push_back({inventory::Severity::kError,
                        Reason{ErrorCode::kInvalidArgument, "/move/date",
                               "the move can't end by then; the earliest date that would do is " +
                                   inventory::FormatDate(*forecast.earliest_date)}});
  }
  if (forecast.verdict == DateVerdict::kNever) {
    findings.push_back(
        {inventory::Severity::kError, Reason{ErrorCode::kInvalidArgument, "/move/date",
                                             "no date would do: a pool can't give up any VM"}});
  }
  for (const maintenance::BlockedPool& pool : forecast.blocked_pools) {
    findings.push_back(
        {inventory::Severity::kError,
         Reason{ErrorCode::kInvalidArgument, "/pools/" + pool.pool.text + "/min_available",
                "the pool lacks " + std::to_string(pool.missing_vms) +
                    " VMs for its steps to be taken even one at a time"}});
  }
  return findings;
}

void Print(const std::string& file, const char* kind, const Reason& reason,
           const Console& console) {
  console.err << file << ": " << kind << ": " << (reason.field.empty() ? "/" : reason.field) << ": "
              << reason.message << "\n";
}

ExitCode CheckParsed(const std::string& file, const inventory::Inventory& inventory, WallTime now,
                     const Console& console) {
  std::vector<inventory::Finding> findings = inventory::Check(inventory, now);
  for (inventory::Finding& finding : CheckDate(inventory, now)) {
    findings.push_back(std::move(finding));
  }
  for (const inventory::Finding& finding : findings) {
    const bool is_error = finding.severity == inventory::Severity::kError;
    Print(file, is_error ? "error" : "warning", finding.reason, console);
  }
  if (inventory::HasErrors(findings)) {
    return ExitCode::kRefused;
  }
  console.out << file << ": ok: " << inventory.vms.size() << " VMs in " << inventory.pools.size()
              << " pools, " << inventory.teams.size() << " teams, " << inventory.entries.size()
              << " entries\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunCheck(const CheckOptions& options, const Console& console) {
  WallTime now = console.clock.WallNow();
  if (!options.at.empty()) {
    const Result<WallTime> at = inventory::ParseDate(options.at);
    if (!at) {
      console.err << "chervilspar: --at: " << at.LastReason().message << "\n";
      return ExitCode::kUsage;
    }
    now = *at;
  }
  const Result<std::string> text = ReadFile(options.file);
  if (!text) {
    console.err << "chervilspar: " << ToString(text.LastReason()) << "\n";
    return ExitCode::kUsage;
  }
  const inventory::ParseOutcome outcome = inventory::ParseAll(*text);
  for (const Reason& fault : outcome.faults) {
    Print(options.file, "error", fault, console);
  }
  if (!outcome.inventory) {
    return ExitCode::kRefused;
  }
  return CheckParsed(options.file, *outcome.inventory, now, console);
}

}  // namespace chervilspar::cli
