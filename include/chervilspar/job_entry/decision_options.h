#pragma once

#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/jobs/carrier_choice.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::job_entry {

/// The figures and switches of the decisions on jobs and VMs. The defaults are what runs; others
/// are for experiments that compare decisions with and without a mechanism.
struct DecisionOptions {
  jobs::SchedulerOptions scheduler;
  jobs::SizerOptions sizer;
  jobs::CarrierOptions carriers;
  /// Whether another entry is asked to store what the store turns away from this one.
  bool relays_records = true;

  friend bool operator==(const DecisionOptions&, const DecisionOptions&) = default;
};

/// Reads changes to the defaults, such as "sizer.usable=0.8,sizer.keep=2s,scheduler.overload=off".
/// The reason names the part that is wrong and what would be right.
Result<DecisionOptions> ParseDecisionOptions(std::string_view text);

/// Names that `ParseDecisionOptions` takes.
std::vector<std::string_view> DecisionOptionNames();

}  // namespace chervilspar::job_entry
