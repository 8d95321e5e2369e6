#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/quota/quota.h"
#include "chervilspar/scheduling/quota_gate.h"

#include "entry/entry_context.h"
#include "entry/peer_sender.h"

namespace chervilspar::entry {

/// A unit of a team's limit that was taken, and the task id that it was taken for.
struct TakenUnit {
  TaskId task;
  quota::StartPermit permit;
};

/// Drives `quota::Quota` under one lock, shared by all shards of services.
class LimitKeeper {
 public:
  /// The limits as the scheduler sees them while it picks one request. Holds the keeper's lock.
  ///
  /// If two shards both saw the team's last unit free, both would start a task, and the team would
  /// be above its limit. So a unit is taken when the scheduler asks, and one that wasn't used after
  /// all (no slot fits) is returned when the session ends.
  class Session final : public scheduling::QuotaGate {
   public:
    explicit Session(LimitKeeper& keeper);
    ~Session() override;
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    scheduling::GateAnswer MayStart(const TeamId& team, TimePoint now) override;
    /// The unit taken for the team that was picked. One must have been taken.
    TakenUnit Use(const TeamId& team);

   private:
    LimitKeeper& keeper;
    std::unique_lock<std::mutex> lock;
    std::map<TeamId, TakenUnit> taken;
  };

  LimitKeeper(const EntryContext& context, PeerSender& sender);

  void OnState(const config_log::FleetState& state);
  void OnMayOwn();
  void OnSettled(const membership::Agreement& settled);
  void SetLenders(const std::vector<EntryId>& lenders);
  /// Requests of each team that wait here, over all services; teams left out have none.
  void SetWaiting(const std::map<TeamId, std::uint32_t>& waiting);

  /// The task has ended, or never started, for certain.
  void OnEnded(const TaskId& task);
  /// Returns the teams that may have got units by the message.
  std::vector<TeamId> OnMessage(const quota::LendingMessage& message);
  void Tick();
  void BeginShutdown();

  config_log::ConfigVersion SettledVersion();
  quota::TeamUnits Units(const TeamId& team);
  bool IsIdle();

 private:
  void Send(const std::vector<quota::LendingMessage>& messages);
  TaskId NextTask();

  const EntryContext& context;
  PeerSender& sender;
  std::mutex mutex;
  quota::Quota quota;
  std::uint64_t last_task = 0;
  std::map<TeamId, std::uint32_t> waiting;
};

}  // namespace chervilspar::entry
