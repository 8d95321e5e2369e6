#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/jobs/scheduler.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Tells the scheduler of an owner what this entry's link was handed; see `jobs::LinkBudget`. Does
/// nothing if the link isn't budgeted.
class LinkMeter {
 public:
  /// `scheduler` must outlive this object.
  LinkMeter(const Context& context, jobs::Scheduler& scheduler);

  /// These records are about to be sent to the store.
  void OnRecords(const std::vector<KeyedRecord>& records);
  /// Passes on the traffic since the last call. Called before each round.
  void Report();
  void UpdateMetrics();

 private:
  const Context context;
  jobs::Scheduler& scheduler;
  std::int64_t progress_bytes = 0;
  std::uint64_t held_back = 0;
};

}  // namespace chervilspar::job_entry
