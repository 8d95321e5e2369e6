#pragma once

#include <string>
#include <vector>

#include "chervilspar/config_log/record.h"

#include "bench/big_inventory.h"

namespace chervilspar::bench {

/// One cause of records, and how often it comes.
struct RecordCause {
  std::string name;
  double times_a_day = 0.0;
  /// The records that one occurrence writes.
  std::vector<config_log::Record> records;
};

/// How often things happen in a fleet.
struct FleetRates {
  std::string name;
  FleetShape shape;
  double changes_a_day = 0.0;
  double failures_a_day = 0.0;
  double restarts_a_day = 0.0;
  double rack_losses_a_day = 1.0 / 7.0;
  double keys_a_day = 0.0;
  double snapshots_a_day = 24.0;
};

/// Today's 51 VMs. The users give no rates for today: failures and restarts are those planned for,
/// in proportion to VMs, and twenty changes a day are assumed.
FleetRates TodaysRates();
/// The size and rates that the users plan for. Each team's key is assumed to be replaced monthly.
FleetRates PlannedRates();

/// All causes of records at those rates, with real records of a fleet of that shape.
std::vector<RecordCause> CausesOf(const FleetRates& rates);

}  // namespace chervilspar::bench
