#include "jobs/pool_demand.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// A job that starts shortly after its latest start time is often still on time.
constexpr double kStartGraceMs = 200;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the amount that on-time waiting work needs. `free`: the amount that the pool's VMs have
/// for it and for running tasks.
double WaitingDemand(const ResourceLoad& load, bool with_beyond_share, double free,
                     const SizerOptions& options) {
  std::vector<WaitingWork> waiting;
  for (const WaitingWork& item : load.waiting) {
    if (item.slack_ms >= 0 && (with_beyond_share || !item.is_beyond_share)) {
      waiting.push_back(item);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  const double move_ms = Milliseconds(options.move_time);
  const double min_use_ms = Milliseconds(options.min_use_time);
  // What has started by a given time may still run for as long as running tasks do on average.
  const double remaining_ms = load.in_use > 0 ? load.running / load.in_use : 0;
  double due_work = load.running;
  // The amount that would suffice if it were present now, and the amount that is needed in addition
  // to `free`.
  double min_now = 0;
  double additional = 0;
  for (const WaitingWork& item : waiting) {
    due_work += item.work;
    const double start_ms = item.slack_ms * options.slack_share + kStartGraceMs;
    const double available_ms = start_ms + remaining_ms;
    min_now = std::max(min_now, due_work / available_ms);
    if (start_ms - move_ms >= min_use_ms) {
      additional =
          std::max(additional, (due_work - free * available_ms) / (available_ms - move_ms));
    }
  }
  return std::min(std::min(min_now, free) + additional, load.concurrent_demand);
}

}  // namespace

ResourceDemand ComputeDemand(const ResourceLoad& load, const ResourceSupply& supply,
                             const SizerOptions& options) {
  const double free = std::max(0.0, supply.serving - load.long_running);
  ResourceDemand needed;
  needed.long_running = load.long_running;
  needed.on_time = load.long_running + WaitingDemand(load, false, free, options);
  needed.beyond_share = load.long_running + WaitingDemand(load, true, free, options);
  // Running tasks have their room, however full their VMs are.
  needed.in_use = load.long_running + std::min(load.in_use, free);
  return needed;
}

}  // namespace chervilspar::jobs
