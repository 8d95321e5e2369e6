#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/config_log/folder.h"
#include "chervilspar/maintenance/planner.h"
#include "chervilspar/maintenance/step_executor.h"

namespace chervilspar::bench {

/// Decides the next steps of a wave: the product's planner or a baseline.
class WaveStrategy {
 public:
  virtual ~WaveStrategy() = default;
  virtual maintenance::Plan MakePlan(const EntryId& self, const config_log::FleetState& state,
                                     const maintenance::Observations& observations,
                                     WallTime now) = 0;
};

/// The product's planner.
class ProductStrategy final : public WaveStrategy {
 public:
  explicit ProductStrategy(maintenance::PlannerOptions options = {}) : options(options) {}
  maintenance::Plan MakePlan(const EntryId& self, const config_log::FleetState& state,
                             const maintenance::Observations& observations, WallTime now) override;

 private:
  maintenance::PlannerOptions options;
};

/// Holds a fixed number of VMs at once, in the order of their ids; one makes it the most careful
/// plain way. Knows nothing of budgets, which the fold still keeps.
class FixedWidthStrategy final : public WaveStrategy {
 public:
  explicit FixedWidthStrategy(std::uint32_t width) : width(width) {}
  maintenance::Plan MakePlan(const EntryId& self, const config_log::FleetState& state,
                             const maintenance::Observations& observations, WallTime now) override;

 private:
  std::uint32_t width;
};

/// One VM as it really is, whatever anyone has observed.
struct VmTruth {
  bool is_alive = true;
  bool is_draining = false;
  /// When the last task that runs ends; tasks go on arriving until the VM drains.
  TimePoint tasks_end;
  /// Back from its reboot at this time; none while it runs.
  std::optional<TimePoint> boots_at;
  std::uint64_t boot = 1;
  StepId last_step;
  /// Set when the VM is never to come back from a reboot.
  bool is_broken_by_reboot = false;
  /// How long tasks run on after a drain begins, and how long a reboot takes.
  Duration drain_length;
  Duration reboot_length;
};

/// What an outside observer counts.
struct WaveTally {
  std::uint32_t reboots = 0;
  /// Reboots of a VM with tasks on it.
  std::uint32_t cut_tasks = 0;
  /// Seconds that a pool was below its budget, counting all that is really out of service.
  std::uint32_t seconds_below_budget = 0;
  std::uint32_t moves = 0;
  std::uint32_t rejected_records = 0;
  std::uint32_t records = 0;
  std::uint32_t peak_held = 0;
  double held_seconds = 0;
  std::map<VmId, std::uint32_t> reboots_of;

  friend bool operator==(const WaveTally&, const WaveTally&) = default;
};

/// A fleet in virtual time: entries with the product's planner and executors, the fold, and VMs
/// that drain and reboot. Platform and endpoints are small fakes; there is no network.
class WaveWorld {
 public:
  /// Lengths of drains and reboots are drawn from `random`.
  WaveWorld(const inventory::Inventory& inventory, std::vector<EntryId> entries,
            std::shared_ptr<WaveStrategy> strategy, Random& random);
  ~WaveWorld();

  /// Advances by one second.
  void Step();
  /// Steps until the planner has nothing left to do or `limit` has passed; true if it ended.
  bool RunUntilDone(Duration limit);

  void KillEntry(const EntryId& entry);
  /// A new process with the same name and no memory.
  void StartEntry(const EntryId& entry);
  /// Cuts an entry off from the log: it neither appends nor reads.
  void SetCut(const EntryId& entry, bool is_cut);
  /// The VM stops for good, as with its rack.
  void FailVm(const VmId& vm);
  void RecoverVm(const VmId& vm);
  /// How far the VM list lags behind the truth.
  void SetListLag(Duration lag) { this->list_lag = lag; }
  /// The probability that an append's answer is lost, so that the record is appended again.
  void SetLostAnswers(double probability) { this->lost_answers = probability; }

  const config_log::FleetState& State() const { return this->folder.State(); }
  const WaveTally& Tally() const { return this->tally; }
  const maintenance::Plan& LastPlan() const { return this->last_plan; }
  VmTruth& Truth(const VmId& vm) { return this->vms.at(vm); }
  /// VMs of a pool that really serve: alive, up, not draining, held by no step.
  std::uint32_t Serving(const PoolId& pool) const;
  TimePoint Now() const { return this->now; }
  WallTime WallNow() const;
  /// Steps under way.
  std::size_t Held() const { return this->State().steps.size(); }
  bool HasWorkLeft() const;

 private:
  struct Entry;
  struct Listing {
    TimePoint at;
    std::set<VmId> live;
  };

  Entry* FindEntry(const EntryId& entry);
  void AdvanceVms();
  void ObserveVms();
  maintenance::Observations Observe() const;
  void RunEntry(Entry& entry);
  void PlanOn(Entry& entry);
  void AdoptOwnSteps(Entry& entry);
  void Drive(Entry& entry, maintenance::StepExecutor& executor,
             const maintenance::StepInput& input);
  void Perform(Entry& entry, maintenance::StepExecutor& executor,
               const maintenance::StepOutput& output);
  void Append(Entry& entry, maintenance::StepExecutor& executor,
              const maintenance::AppendRecord& append);
  config_log::RecordBody MakeBody(const maintenance::StepExecutor& executor,
                                  const maintenance::AppendRecord& append,
                                  const EntryId& gone) const;
  config_log::FoldOutcome FoldBody(const RecordId& id, const EntryId& author,
                                   config_log::RecordBody body);
  void Reboot(const VmId& vm, const StepId& step);
  void Count();

  config_log::Folder folder;
  std::map<VmId, VmTruth> vms;
  std::vector<std::unique_ptr<Entry>> entries;
  std::shared_ptr<WaveStrategy> strategy;
  Random& random;
  std::vector<Listing> listings;
  std::map<VmId, WallTime> failing_since;
  std::set<std::string> rebooted_steps;
  Duration list_lag = Duration::zero();
  double lost_answers = 0;
  TimePoint now{};
  std::uint64_t next_record = 0;
  WaveTally tally;
  maintenance::Plan last_plan;
};

}  // namespace chervilspar::bench
