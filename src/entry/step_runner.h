#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/http/blocking_client.h"
#include "chervilspar/maintenance/plan.h"
#include "chervilspar/maintenance/step_executor.h"
#include "chervilspar/platform/vm_list_service.h"

#include "entry/config_plane.h"
#include "entry/drain_watch.h"
#include "entry/entry_context.h"

namespace chervilspar::entry {

/// Carries out the steps that this entry executes: feeds each `StepExecutor` and does what it asks
/// for. All methods but the read-back of records run on the maintenance thread.
class StepRunner {
 public:
  StepRunner(const EntryContext& context, ConfigPlane& config, platform::VmListService& vm_list,
             DrainWatch& drains);

  /// Begins what a plan asks for.
  void Begin(const maintenance::Plan& plan, const config_log::FleetState& state);
  /// Goes on with all steps by one round.
  void Round(const maintenance::Observations& observations);
  /// Makes an endpoint that no step holds take tasks again.
  void Undrain(const config_log::FleetState& state, const VmId& vm);

  std::size_t RunningSteps() const { return this->jobs.size(); }

 private:
  struct Job {
    maintenance::StepExecutor executor;
    std::string address;
    EntryId gone_executor;
    std::string withdraw_cause;
  };
  struct ReadBack {
    StepId step;
    maintenance::RecordReadBack record;
  };

  void ResumeOwn(const config_log::FleetState& state);
  void Feed(const StepId& step, const maintenance::StepInput& input);
  void Do(const StepId& step, const maintenance::StepOutput& output);
  void Append(const StepId& step, const maintenance::AppendRecord& append);
  config_log::Record MakeRecord(const Job& job, const maintenance::AppendRecord& append);
  void Drain(const StepId& step);
  void UndrainHeld(const StepId& step);
  void Reboot(const StepId& step);
  void Describe(const StepId& step);
  void FinalCheck(const StepId& step);
  std::optional<std::uint32_t> CallDrain(const std::string& address, const std::string& path);
  void NoteRejected(const StepId& step, const config_log::AppendOutcome& outcome) const;
  std::vector<ReadBack> TakeReadBacks();

  const EntryContext& context;
  ConfigPlane& config;
  platform::VmListService& vm_list;
  DrainWatch& drains;
  http::BlockingClient client;
  std::map<StepId, Job> jobs;
  const maintenance::Observations* observations = nullptr;

  std::mutex mutex;
  std::deque<ReadBack> read_backs;
};

}  // namespace chervilspar::entry
