#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "chervilspar/base/verdict.h"
#include "chervilspar/config_log/appender.h"
#include "chervilspar/config_log/key_overlay.h"
#include "chervilspar/config_log/log_follower.h"
#include "chervilspar/idempotency/request_client.h"
#include "chervilspar/idempotency/request_registry.h"
#include "chervilspar/maintenance/planner.h"
#include "chervilspar/maintenance/step_executor.h"
#include "chervilspar/membership/membership.h"
#include "chervilspar/quota/quota.h"

#include "tests/prove/endpoint.h"
#include "tests/prove/fake_log.h"
#include "tests/prove/guards.h"
#include "tests/prove/observer.h"

namespace chervilspar::prove {

class World;

/// A request as a caller sends it.
struct Call {
  RequestId request;
  config_log::KeyDigest key;
  TeamId team;
  Duration length = Duration::zero();
  /// How long the entry may keep it waiting.
  Duration patience = Duration::zero();
  std::function<void(Observer::Answer, std::string)> answer;
};

/// Changes a copy of the inventory into what an operator wants.
using Change = std::function<void(inventory::Inventory&)>;

using StatePtr = std::shared_ptr<const config_log::FleetState>;

/// One life of an entry: the pure modules, and as little around them as carries their messages,
/// like the entry of the product.
class EntryProcess : public std::enable_shared_from_this<EntryProcess> {
 public:
  EntryProcess(World& world, const membership::Self& self, std::uint32_t zone,
               Duration clock_offset, Duration boot_offset);

  void Start();
  void Kill() { this->is_dead = true; }
  void Pause() { ++this->pauses; }
  void Resume();

  /// Runs what has come in: at once, when the pause ends, or never.
  void Run(std::function<void()> action);

  void OnCall(const Call& call);
  void OnCallCancelled(const RequestId& request);
  void OnHeartbeat(const membership::Heartbeat& heartbeat);
  void OnLending(const quota::LendingMessage& message);
  void OnRegister(const idempotency::RegisterRequest& request);
  void OnRegisterReply(const idempotency::RegisterReply& reply);
  void OnOutcome(const idempotency::OutcomeReport& report, const EntryId& from);
  void OnOutcomeSeen(const idempotency::OutcomeSeen& seen);
  void OnPeerState(const StatePtr& peer_state);
  void OnPeerTail(const std::vector<config_log::LogRecord>& tail);
  void OnPublish(const Change& change, const std::map<std::string, std::uint32_t>& limits);
  void OnDeclareGone(const EntryId& entry);
  /// Tells by `done` when the key is in the log.
  void OnGiveKey(const config_log::KeyDigest& key, const TeamId& team, std::function<void()> done);
  void OnWithdrawKey(const config_log::KeyDigest& key, std::function<void()> done);
  void OnPeerWithdrawals(const std::set<config_log::KeyDigest>& keys);

  bool IsUp() const { return !this->is_dead && this->pauses == 0; }
  bool IsDead() const { return this->is_dead; }
  const membership::Self& Me() const { return this->self; }
  std::uint32_t Zone() const { return this->zone; }
  StatePtr Current() const { return this->follower.State(); }
  TimePoint StartedAt() const { return this->started_at; }
  void CountGuards() const;
  /// Writes its units of each team into the time line.
  void NoteUnits();

 private:
  struct Open {
    Call call;
    idempotency::Attempt attempt;
    TimePoint deadline;
    bool is_queued = false;
    std::uint32_t sends = 0;
    TaskId task;
    std::uint32_t endpoint = 0;
    VerdictTracker tracker;
  };

  TimePoint Now() const;
  WallTime Wall() const;
  void Tick();
  void Beat();
  void ReadLog();
  void OnUpdate(const config_log::FollowUpdate& update);
  void OnAppends(const config_log::AppendActions& actions);
  void AppendToLog(const config_log::Record& record);
  void Submit(const RecordId& subject, const std::vector<config_log::Record>& records,
              Duration patience, std::function<void(config_log::AppendResult)> done);
  RecordId NextRecordId();
  void WriteSnapshotIfDue();
  void ShareWithdrawals();
  void TellPeer(const EntryId& peer, config_log::Offset from);
  void AdoptState();
  void Refresh();
  void Send(const EntryId& to, std::function<void(EntryProcess&)> deliver);
  void SendLending(const std::vector<quota::LendingMessage>& messages);
  void SendOutcome(const std::optional<idempotency::OutgoingOutcome>& outcome);
  void OnRegisterTimeout(std::uint64_t number);
  void Enqueue(std::uint64_t number);
  void StartWaiting();
  bool TryDispatch(std::uint64_t number);
  void SendTask(std::uint64_t number, const quota::StartPermit& permit);
  void OnTaskAnswer(std::uint64_t number, const TaskId& task, TaskAnswer answer,
                    const std::string& body);
  void OnTaskTimeout(std::uint64_t number, const TaskId& task);
  void CancelTask(const TaskId& task, std::uint32_t endpoint);
  void GiveUpWaiting(std::uint64_t number);
  /// An endpoint of the team's pool that the folded state calls available, mostly of the own zone.
  std::optional<std::uint32_t> PickEndpoint(const TeamId& team);

  // Maintenance (entry_maintenance.cc).
  void ReadVmList();
  void OnVmList(TimePoint as_of, const std::set<VmId>& live);
  void AppendObservations();
  void AskEndpoints();
  maintenance::Observations Observe() const;
  void Maintain();
  void PlanSteps(const StatePtr& state);
  void FeedSteps();
  void FeedStep(const StepId& step, const maintenance::StepInput& input);
  void DoStep(const StepId& step, const maintenance::StepOutput& output);
  void AppendStep(const StepId& step, const maintenance::AppendRecord& append);
  void CallEndpoint(const VmId& vm, std::function<void(Endpoint&)> call);
  void DrainVm(const StepId& step, const VmId& vm);
  void UndrainVm(const std::optional<StepId>& step, const VmId& vm);
  void RebootVm(const StepId& step, const VmId& vm);
  void DescribeVm(const StepId& step, const VmId& vm);
  void Finish(std::uint64_t number, Verdict verdict, const std::string& body);
  void Later(Duration delay, std::function<void()> action);

  World& world;
  membership::Self self;
  std::uint32_t zone;
  Duration clock_offset;
  Duration boot_offset;
  TimePoint started_at;
  bool is_dead = false;
  int pauses = 0;
  std::deque<std::function<void()>> inbox;

  config_log::LogFollower follower;
  config_log::Appender appender;
  config_log::KeyOverlay overlay;
  std::map<RecordId, std::function<void(config_log::AppendResult)>> when_finished;
  std::uint64_t last_record = 0;

  /// A step that this entry carries out.
  struct Job {
    maintenance::StepExecutor executor;
    EntryId gone_executor;
  };
  struct SeenVm {
    bool is_listed = false;
    std::optional<TimePoint> missing_since;
    maintenance::DrainState drain_state = maintenance::DrainState::kUnknown;
  };
  maintenance::Planner planner;
  std::map<StepId, Job> jobs;
  std::map<VmId, SeenVm> seen_vms;
  std::optional<TimePoint> list_read_at;
  WallTime list_as_of;
  membership::Membership membership;
  quota::Quota quota;
  idempotency::RequestRegistry registry;
  idempotency::RequestClient client;
  std::map<std::uint64_t, Open> open;
  std::map<TeamId, std::deque<std::uint64_t>> queues;
  std::uint64_t last_task = 0;
  std::uint64_t ticks = 0;
};

}  // namespace chervilspar::prove
