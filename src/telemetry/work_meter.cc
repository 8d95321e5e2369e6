#include "chervilspar/telemetry/work_meter.h"

#include <algorithm>
#include <utility>

namespace chervilspar::telemetry {

const char* ToString(WorkPart part) {
  switch (part) {
    case WorkPart::kOther:
      return "other";
    case WorkPart::kDecide:
      return "decide";
    case WorkPart::kRecord:
      return "record";
    case WorkPart::kRenew:
      return "renew";
    case WorkPart::kOrder:
      return "order";
    case WorkPart::kCarry:
      return "carry";
    case WorkPart::kReadJobs:
      return "read_jobs";
    case WorkPart::kReadEndpoints:
      return "read_endpoints";
    case WorkPart::kVms:
      return "vms";
    case WorkPart::kOutlook:
      return "outlook";
    case WorkPart::kLog:
      return "log";
    case WorkPart::kQuestions:
      return "questions";
  }
  return "unknown";
}

WorkPart WorkMeter::Switch(WorkPart next) {
  const TimePoint now = this->clock.Now();
  const Duration passed = now - this->since;
  Amount& amount = this->amounts[Index(this->current)];
  amount.time += passed;
  amount.longest = std::max(amount.longest, passed);
  this->since = now;
  return std::exchange(this->current, next);
}

std::vector<WorkMeter::Amount> WorkMeter::Take() {
  std::vector<Amount> taken;
  for (std::size_t i = 0; i < kParts; ++i) {
    Amount amount = std::exchange(this->amounts[i], {});
    amount.part = static_cast<WorkPart>(i);
    if (amount.part == WorkPart::kOther || amount.calls == 0) {
      continue;
    }
    const MetricLabel label{"part", ToString(amount.part)};
    this->metrics.Count({"chervilspar_work_seconds_total", {label}},
                        std::chrono::duration<double>(amount.time).count());
    this->metrics.Count({"chervilspar_work_calls_total", {label}},
                        static_cast<double>(amount.calls));
    taken.push_back(amount);
  }
  std::sort(taken.begin(), taken.end(),
            [](const Amount& one, const Amount& other) { return one.time > other.time; });
  return taken;
}

}  // namespace chervilspar::telemetry
