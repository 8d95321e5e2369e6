#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilspar/jobs/move_record.h"
#include "chervilspar/jobs/pool_sizer.h"
#include "chervilspar/jobs/scheduler.h"
#include "chervilspar/jobs/upkeep.h"
#include "chervilspar/jobs/vm_order_rate_limiter.h"

#include "job_entry/context.h"
#include "job_entry/operator_view.h"
#include "job_entry/owner_directory.h"
#include "job_entry/owner_proof.h"
#include "job_entry/pool_sizes_log.h"
#include "job_entry/work_queue.h"

namespace chervilspar::job_entry {

/// What a VM driver needs of the term that it belongs to.
class VmDriverHost {
 public:
  virtual ~VmDriverHost() = default;
  /// Plans a renewal of the endpoint at once; see `jobs::Scheduler::RequestReport`.
  virtual void WakeEndpoint(const std::string& endpoint) = 0;
  /// There are records to store.
  virtual void OnVmRecords() = 0;
};

/// Sends all orders for VMs: completes the operators' waves, and moves VMs between pools according
/// to the demand of the queues.
///
/// An order ends whatever runs on its VM, and may be executed seconds after it was sent, also when
/// another entry has become the owner. Therefore the endpoint on the VM first gets no more work; an
/// order waits until the endpoint has reported since then that it runs nothing, and until it is
/// stored. A successor gives the VM no work either, and repeats the order until its outcome is
/// known.
class VmDriver {
 public:
  /// `member`: the name of this entry in its claim.
  VmDriver(const Context& context, OperatorView& operators, const OwnerDirectory& directory,
           jobs::Scheduler& scheduler, VmDriverHost& host, std::string member, std::uint64_t token);

  /// Runs until stopped. `began`: when this entry took over. `owner`: keeps this object alive.
  boost::asio::awaitable<void> Run(TimePoint began, std::weak_ptr<void> owner);
  void Stop() { this->is_stopped = true; }
  /// Restores the progress of a wave from a predecessor; call before `Run`.
  void Restore(const jobs::WaveProgress& progress);
  /// The same for a move that a predecessor has or would have ordered.
  void Restore(const jobs::MoveRecord& move);
  bool HasRecords() const { return !this->changed_waves.empty() || !this->changed_moves.empty(); }
  /// The progress of waves and the moves that have changed and are to be stored. Without them, a
  /// successor would evacuate and reboot all VMs of a wave again, and give work to VMs with orders
  /// under way.
  std::vector<KeyedRecord> TakeRecords();
  /// The records that were taken last are stored.
  void OnRecordsStored();
  /// Endpoints may have reported: sends the orders that have waited for it.
  void OnReports();
  /// The keys of a wave's progress and of a move, and whether a key is one.
  static std::string WaveKey(std::uint64_t wave);
  static bool IsWaveKey(std::string_view key);
  static std::string MoveKey(const VmId& vm);
  static bool IsMoveKey(std::string_view key);
  /// The capacity of all VMs outside cordoned zones, including those that are off. 0 if there is no
  /// VM service; nothing before the first list has been read.
  std::optional<jobs::Resources> ListedCapacity() const;

 private:
  /// The move of a VM to a pool, from the decision until the VM is seen up in the pool.
  struct PendingMove {
    ServiceId pool;
    /// The endpoint that gets no work.
    std::string endpoint;
    /// When it was decided, or answered.
    TimePoint since{};
    /// A successor knows of it.
    bool is_stored = false;
    /// An order got no answer and may be executed later, so it is repeated until one does.
    bool is_unanswered = false;
    bool is_in_flight = false;
    bool is_done = false;
    TimePoint next_try{};
  };
  /// A reboot that is ordered until an answer tells its outcome. Its VM counts as down meanwhile,
  /// as an order without an answer may be executed seconds later.
  struct PendingReboot {
    std::uint64_t wave = 0;
    /// A successor knows of it.
    bool is_stored = false;
    /// An order got no answer, possibly one of a predecessor.
    bool is_unanswered = false;
    bool is_in_flight = false;
    TimePoint next_try{};
  };

  boost::asio::awaitable<void> Round(TimePoint began);
  /// True while an order may be sent. A process that was paused for seconds, or is cut off from the
  /// store alone, would send orders concurrently with its successor. The service can't be relied on
  /// to refuse them: it compares tokens for each VM separately, and the successor may not have sent
  /// an order for that VM. So an order needs recent proof that there is no successor, and a
  /// successor sends no order in its first moment.
  boost::asio::awaitable<bool> IsStillOwner();
  /// Adds the endpoints that the wave has yet to reboot to `due`.
  boost::asio::awaitable<void> DriveWave(const jobs::Wave& wave, std::set<std::string>& due);
  /// Forgets reboots that were not ordered yet and that no wave requires any more.
  void DropUnwantedReboots(const std::map<std::uint64_t, jobs::Wave>& known);
  void ForgetReboot(const VmId& vm);
  void OrderPendingReboots();
  /// The token of an order: higher than those of all orders before it, by any owner, so that the
  /// service refuses an order that arrives after a later one for the same VM.
  std::uint64_t NextOrderToken();
  void AddMoveRecords(std::vector<KeyedRecord>& records);
  void OnMovesStored();
  /// Closes the VM's endpoint to work; the order follows when it is stored and confirmed.
  void BeginMove(const VmId& vm, const ServiceId& pool);
  void OrderPendingMoves();
  /// The VM gets work again, unless it is to be empty for another reason.
  void ForgetMove(const VmId& vm);
  /// Whether the move is not to be ordered, although no order for it is under way.
  bool IsMoveOutdated(const VmId& vm, const PendingMove& move) const;
  /// No order for the move is under way any more.
  void DropMoveRecord(const VmId& vm, const PendingMove& move);
  /// Null if the list doesn't show it.
  const jobs::VmRecord* FindVm(const VmId& id) const;
  /// What an order for the VM rests on at this time, for the log.
  std::vector<telemetry::LogField> EvidenceFor(const VmId& id) const;
  /// Tells the claims on a VM when an order for it is answered, and counts those that it ended.
  void CountClaimsUnder(const VmId& id, jobs::VmOrderOutcome outcome,
                        std::vector<telemetry::LogField>& fields) const;
  jobs::Occupancy OccupancyOf(const jobs::VmRecord& vm) const;
  /// Whether the list shows the VM as up, and nothing runs on it. An order for a VM that isn't
  /// listed may only be repeated.
  bool MayBeOrdered(const VmId& vm, bool is_repeated) const;
  /// Requests a report of the VM's endpoint if that is what an order lacks.
  void RequestMissingReport(const VmId& vm);
  /// Whether an order that waited for its turn is still to be sent.
  bool IsRebootWanted(const VmId& vm) const;
  bool IsMoveWanted(const VmId& vm, const ServiceId& pool) const;
  boost::asio::awaitable<void> Reboot(VmId vm);
  void OnRebootAnswered(const VmId& vm, jobs::VmOrderOutcome outcome);
  boost::asio::awaitable<void> PublishWaveStatus(const jobs::Wave& wave,
                                                 jobs::WaveProgress& progress, bool is_complete);
  void ResizePools();
  boost::asio::awaitable<void> Move(VmId vm, ServiceId pool);
  void OnMoveAnswered(const VmId& vm, const ServiceId& pool, jobs::VmOrderOutcome outcome);
  /// Queues an order behind those before it.
  void EnqueueOrder(WorkQueue::Work order);
  /// Starts a read of the list of VMs if the last one is old enough. `first_order`: no order is
  /// sent before this time. Rounds go on with the last list meanwhile: with thousands of VMs a read
  /// takes most of a second, in which demand may double.
  void RefreshList(TimePoint first_order);
  boost::asio::awaitable<void> ReadList(std::shared_ptr<void> self);
  void UpdateReturnedVms();
  /// The VM is up again, and its endpoint is expected to register.
  void ExpectRegistration(const jobs::VmRecord& vm);
  bool IsRegistering(const jobs::VmRecord& vm) const;
  /// The VMs that open waves have yet to reboot.
  std::set<VmId> VmsToReboot(const std::map<std::uint64_t, jobs::Wave>& known);
  /// Marks the endpoints under evacuation again, and ends the evacuation of those that no wave
  /// names any more.
  void RenewEvacuations(const std::set<VmId>& wanted);
  void Evacuate(const jobs::VmRecord& vm, const char* reason);
  void SetReleased(const std::set<VmId>& wanted);
  std::vector<jobs::SizerVm> SizerVms() const;
  std::map<std::string, jobs::EndpointLoad> Loads() const;

  const Context context;
  OperatorView& operators;
  jobs::Scheduler& scheduler;
  VmDriverHost& host;
  const std::uint64_t token;
  /// Orders to which `NextOrderToken` has given a token.
  std::uint64_t order_count = 0;
  OwnerProof proof;
  std::weak_ptr<void> owner;
  bool is_stopped = false;
  std::vector<jobs::VmRecord> vms;
  /// The positions in `vms` by VM.
  std::unordered_map<std::string, std::size_t> vm_index;
  /// When the list was requested.
  TimePoint listed_at{};
  TimePoint next_resize{};
  /// A list has been requested and hasn't arrived.
  bool is_listing = false;
  /// The last read succeeded. While the service doesn't answer, it may be executing orders of which
  /// this entry doesn't know, so no orders are derived from an earlier list.
  bool is_list_current = false;
  /// The list is recent enough for orders of this term: a predecessor may just have sent one for
  /// the same VM.
  bool may_order = false;
  std::map<std::uint64_t, jobs::WaveProgress> waves;
  /// Waves whose progress has yet to be stored.
  std::set<std::uint64_t> changed_waves;
  /// VMs whose moves have yet to be stored, or to be removed from the store.
  std::set<VmId> changed_moves;
  /// Those of them that the records taken last contain.
  std::set<VmId> recording_moves;
  /// An order waits for a report of an endpoint.
  bool awaits_report = false;
  /// Evacuated for a wave.
  std::set<VmId> evacuating;
  /// VMs whose reboot is pending or was executed, and that haven't been seen up since. A VM counts
  /// as down until the time here even if the list shows it as up.
  std::map<VmId, TimePoint> down;
  std::map<VmId, PendingReboot> pending_reboots;
  /// Those that the records taken last contain.
  std::set<VmId> recording_reboots;
  /// VMs whose reboot the service has refused for a wave; it is retried after the time here.
  std::map<VmId, TimePoint> refused_reboots;
  /// Evacuated so that they can be moved.
  std::set<VmId> released;
  /// VMs that are to move and haven't been seen up in the new pool since.
  std::map<VmId, PendingMove> moving;
  /// VMs that are up again after a move or a reboot, and the time by which their endpoints should
  /// have registered.
  std::map<VmId, TimePoint> registering;
  /// Moves that the service has refused.
  std::set<std::pair<VmId, ServiceId>> refused_moves;
  jobs::PoolSizer sizer;
  PoolSizesLog sizes_log;
  jobs::VmOrderRateLimiter budget;
  std::shared_ptr<WorkQueue> orders;
};

}  // namespace chervilspar::job_entry
