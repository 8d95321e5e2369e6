#include "jobs/unplaced_tasks.h"

#include <algorithm>
#include <limits>

namespace chervilspar::jobs {

namespace {

std::int64_t EstimateMs(const TaskRef& ref) {
  return ref.spec->is_long_running ? std::numeric_limits<std::int64_t>::max()
                                   : ref.spec->estimate_ms;
}

}  // namespace

void UnplacedTasks::Add(const TaskRef& ref, bool is_late,
                        const std::optional<HeldEndpoints::Refusal>& refusal) {
  // The adviser and the limit per endpoint rule out other endpoints for each step.
  if (!ref.job->needs_advice && ref.spec->max_per_endpoint == 0) {
    this->entries.push_back(
        {ref.spec->required_label, RequiredCapacity(*ref.spec), is_late, EstimateMs(ref), refusal});
  }
}

const UnplacedTasks::Entry* UnplacedTasks::FindFor(const TaskRef& ref, bool is_late) const {
  const Resources need = RequiredCapacity(*ref.spec);
  const auto found =
      std::find_if(this->entries.begin(), this->entries.end(), [&](const Entry& entry) {
        return entry.is_late == is_late &&
               (entry.label.empty() || entry.label == ref.spec->required_label) &&
               need.Fits(entry.need) && (!is_late || EstimateMs(ref) >= entry.estimate_ms);
      });
  return found == this->entries.end() ? nullptr : &*found;
}

}  // namespace chervilspar::jobs
