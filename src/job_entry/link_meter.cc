#include "job_entry/link_meter.h"

#include <utility>

namespace chervilspar::job_entry {

LinkMeter::LinkMeter(const Context& context, jobs::Scheduler& scheduler)
    : context(context), scheduler(scheduler) {
  // What was sent before this term isn't part of its windows.
  if (this->context.links.fleet_observer != nullptr) {
    this->context.links.fleet_observer->TakeTraffic();
  }
}

void LinkMeter::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    const std::size_t bytes = record.key.size() + (record.value ? record.value->size() : 0);
    this->progress_bytes += static_cast<std::int64_t>(bytes);
  }
}

void LinkMeter::Report() {
  if (!this->context.settings.decisions.scheduler.budgets_link) {
    return;
  }
  jobs::LinkTraffic traffic;
  if (this->context.links.fleet_observer != nullptr) {
    traffic = this->context.links.fleet_observer->TakeTraffic();
  }
  traffic.progress = std::exchange(this->progress_bytes, 0);
  this->scheduler.OnLinkTraffic(traffic, this->context.Now());
}

void LinkMeter::UpdateMetrics() {
  if (!this->context.settings.decisions.scheduler.budgets_link) {
    return;
  }
  const jobs::LinkUsage usage = this->scheduler.LinkUsageAt(this->context.Now());
  this->context.metrics.Set({"chervilspar_start_allowance_bytes", {}},
                            static_cast<double>(usage.allowance));
  this->context.metrics.Count({"chervilspar_starts_held_back_total", {}},
                              static_cast<double>(usage.held_back - this->held_back));
  this->held_back = usage.held_back;
}

}  // namespace chervilspar::job_entry
