#pragma once

#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/jobs/carrier_choice.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::job_entry {

/// Parameters and switches of the decisions on jobs and VMs. Production runs on the defaults; other
/// values are for experiments that compare decisions with and without a mechanism.
struct DecisionOptions {
  jobs::SchedulerOptions scheduler;
  jobs::SizerOptions sizer;
  jobs::CarrierOptions carriers;
  /// Whether submissions that can't be served in time are refused at once.
  bool admits_by_outlook = false;
  /// Whether another entry is asked to store the records that the store rejects from this one.
  bool relays_records = true;

  friend bool operator==(const DecisionOptions&, const DecisionOptions&) = default;
};

/// Parses overrides of the defaults, such as
/// "sizer.usable=0.8,sizer.move_cost=2s,scheduler.overload=off". On failure, the reason names the
/// invalid option and the values that it accepts.
Result<DecisionOptions> ParseDecisionOptions(std::string_view text);

/// The option names that `ParseDecisionOptions` accepts.
std::vector<std::string_view> DecisionOptionNames();

}  // namespace chervilspar::job_entry
