#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/jobs/scheduler.h"
#include "chervilspar/jobs/upkeep.h"

#include "job_entry/context.h"
#include "job_entry/operator_view.h"

namespace chervilspar::job_entry {

/// Brings the operators' waves to their end: empties VMs, orders their reboots, tells how far it
/// is.
class UpkeepDriver {
 public:
  UpkeepDriver(const Context& context, OperatorView& operators, jobs::Scheduler& scheduler,
               std::uint64_t token);

  /// Runs until stopped; `began` is when this entry took over.
  boost::asio::awaitable<void> Run(TimePoint began);
  void Stop() { this->is_stopped = true; }

 private:
  struct WaveState {
    jobs::WaveProgress progress;
    /// Ordered to reboot and not yet seen up with a new endpoint, by VM; the former endpoint.
    std::map<VmId, std::string> down;
    std::set<VmId> evacuating;
    bool is_announced = false;
  };

  boost::asio::awaitable<void> Drive(const jobs::Wave& wave, TimePoint began);
  boost::asio::awaitable<void> Reboot(const jobs::Wave& wave, WaveState& state, VmId vm);
  boost::asio::awaitable<void> Tell(const jobs::Wave& wave, WaveState& state);
  void NoteReturns(WaveState& state, const std::vector<jobs::VmRecord>& vms);
  std::map<std::string, jobs::EndpointLoad> Loads(const std::vector<jobs::VmRecord>& vms) const;

  const Context context;
  OperatorView& operators;
  jobs::Scheduler& scheduler;
  const std::uint64_t token;
  bool is_stopped = false;
  std::map<std::uint64_t, WaveState> waves;
};

}  // namespace chervilspar::job_entry
