#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/jobs/order_budget.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler.h"
#include "chervilspar/jobs/upkeep.h"

#include "job_entry/context.h"
#include "job_entry/operator_view.h"
#include "job_entry/owner_directory.h"
#include "job_entry/owner_proof.h"
#include "job_entry/pool_sizes_log.h"
#include "job_entry/work_queue.h"

namespace chervilspar::job_entry {

/// Gives all orders for VMs: brings the operators' waves to their end, and moves VMs between pools
/// as their queues need them.
class VmDriver {
 public:
  /// `member`: this entry's name in its claim.
  VmDriver(const Context& context, OperatorView& operators, const OwnerDirectory& directory,
           jobs::Scheduler& scheduler, std::string member, std::uint64_t token);

  /// Runs until stopped; `began` is when this entry took over, `owner` keeps this object.
  boost::asio::awaitable<void> Run(TimePoint began, std::weak_ptr<void> owner);
  void Stop() { this->is_stopped = true; }
  /// How far a predecessor brought a wave; before `Run`.
  void Restore(const jobs::WaveProgress& progress);
  bool HasRecords() const { return !this->changed.empty(); }
  /// The progress of waves that has changed, to be stored. Without it a successor would empty and
  /// reboot all VMs of a wave once more.
  std::vector<KeyedRecord> TakeRecords();
  /// The key of a wave's progress, and whether a key is one.
  static std::string KeyOf(std::uint64_t wave);
  static bool IsWaveKey(std::string_view key);

 private:
  /// A VM that was ordered to go down or elsewhere.
  struct Away {
    ServiceId pool;
    TimePoint since{};
  };

  boost::asio::awaitable<void> Round(TimePoint began);
  /// What can go wrong: this process was stopped for seconds, or is cut off from the store alone,
  /// and gives orders beside its successor. Where the service doesn't compare tokens, a VM that the
  /// successor has just filled is sent down. So an order needs proof that there was no successor a
  /// moment ago, and a successor gives none in its first moment.
  boost::asio::awaitable<bool> IsStillOwner();
  /// Adds the endpoints that the wave is still to reboot to `due`.
  boost::asio::awaitable<void> DriveWave(const jobs::Wave& wave, bool may_order,
                                         std::set<std::string>& due);
  boost::asio::awaitable<void> Reboot(std::uint64_t wave, VmId vm);
  boost::asio::awaitable<void> Tell(const jobs::Wave& wave, jobs::WaveProgress& progress,
                                    bool is_complete);
  void Resize(bool may_order);
  boost::asio::awaitable<void> Move(VmId vm, ServiceId pool);
  /// Has an order carried out after those before it.
  void Order(WorkQueue::Work order);
  /// Reads the list of VMs if the last reading is old enough; false when it isn't to be had.
  /// `first_order`: before this no order is given.
  boost::asio::awaitable<bool> ReadList(TimePoint first_order);
  void NoteReturns();
  /// The VM is up again; its endpoint is expected to register.
  void NoteUp(const jobs::VmRecord& vm);
  bool IsRegistering(const jobs::VmRecord& vm) const;
  /// The VMs that open waves are still to reboot.
  std::set<VmId> WantedBy(const std::map<std::uint64_t, jobs::Wave>& known);
  /// Says again which endpoints are to be emptied, and gives back those that no wave wants.
  void KeepEmptying(const std::set<VmId>& wanted);
  void Evacuate(const jobs::VmRecord& vm, const char* why);
  void SetReleased(const std::set<VmId>& wanted);
  std::vector<jobs::SizerVm> SizerVms() const;
  std::map<std::string, jobs::EndpointLoad> Loads() const;

  const Context context;
  OperatorView& operators;
  jobs::Scheduler& scheduler;
  const std::uint64_t token;
  OwnerProof proof;
  std::weak_ptr<void> owner;
  bool is_stopped = false;
  std::vector<jobs::VmRecord> vms;
  /// When that list was asked for.
  TimePoint listed{};
  std::map<std::uint64_t, jobs::WaveProgress> waves;
  /// Waves whose progress is to be stored.
  std::set<std::uint64_t> changed;
  /// Emptied for a wave.
  std::set<VmId> evacuating;
  /// Ordered to reboot and not seen up since; until then it counts as down even if it is listed
  /// as up, as an order without answer may be carried out later.
  std::map<VmId, TimePoint> down;
  /// The service has refused to reboot these for a wave; asked again after this.
  std::map<VmId, TimePoint> refused_reboots;
  /// Emptied so that they can be moved.
  std::set<VmId> released;
  /// Ordered to move and not seen up in the new pool since.
  std::map<VmId, Away> moving;
  /// Up again after a move or a reboot, until so long after it their endpoints should have
  /// registered.
  std::map<VmId, TimePoint> registering;
  /// Pools that don't take a VM.
  std::set<std::pair<VmId, ServiceId>> refused;
  jobs::PoolSizer sizer;
  PoolSizesLog sizes_log;
  jobs::OrderBudget budget;
  std::shared_ptr<WorkQueue> orders;
};

}  // namespace chervilspar::job_entry
