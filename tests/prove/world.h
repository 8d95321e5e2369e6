#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/prove/coverage.h"
#include "tests/prove/endpoint.h"
#include "tests/prove/entry_process.h"
#include "tests/prove/fake_log.h"
#include "tests/prove/fault.h"
#include "tests/prove/guards.h"
#include "tests/prove/network.h"
#include "tests/prove/observer.h"
#include "tests/prove/simulation.h"

namespace chervilspar::prove {

/// What a run came to.
struct Outcome {
  std::vector<std::string> violations;
  std::vector<std::string> timeline;
  std::uint64_t events = 0;
};

/// Several entries, endpoints, callers and operators in virtual time, and the faults of one case.
class World {
 public:
  World(const Case& run, const GuardSet& guards, Coverage& coverage, Timeline::Mode mode);

  Outcome Run();

  Simulation& Sim() { return this->simulation; }
  Network& Net() { return this->network; }
  FakeLog& Log() { return this->log; }
  PublishLedger& Ledger() { return this->ledger; }
  Observer::Calm CalmNow() const;
  Observer& Watch() { return this->observer; }
  const GuardSet& Guards() const { return this->guards; }
  void Note(const std::string& text) { this->timeline.Add(this->simulation.Now(), text); }
  void Count(const std::string& what, std::uint64_t times = 1) {
    this->coverage.Count(what, times);
  }
  std::int64_t NowUs() const { return this->simulation.Now().time_since_epoch().count(); }
  WallTime WallAt(Duration clock_offset) const;

  void SendToEntry(std::uint32_t from_zone, const EntryId& to,
                   std::function<void(EntryProcess&)> deliver);
  Endpoint& EndpointOf(const VmId& vm);
  std::size_t EndpointCount() const { return this->endpoints.size(); }
  /// What the platform's VM list said some seconds ago.
  std::set<VmId> ListedVms() const { return this->listed.front(); }
  TimePoint ListedAsOf() const { return this->listed_at.front(); }
  Endpoint& EndpointAt(std::uint32_t at) { return *this->endpoints.at(at); }
  std::uint32_t EndpointZone(std::uint32_t at) const { return this->endpoints.at(at)->Zone(); }

 private:
  /// A caller's request over all its tries.
  struct Asked {
    RequestId request;
    TeamId team;
    Duration length = Duration::zero();
    Duration patience = Duration::zero();
    std::uint32_t tries_left = 0;
    bool is_answered = false;
  };

  // Entries (world.cc).
  void StartEntry(std::size_t slot);
  void UpdateVmList();
  void KillEntry(std::size_t slot, Duration replaced_after);
  std::size_t LiveSlot(std::uint32_t choice) const;

  // Callers (callers.cc).
  void IssueRequests();
  void Ask(const TeamId& team, Duration length, Duration patience, std::uint32_t tries,
           std::size_t slot);
  void Try(const std::shared_ptr<Asked>& asked, std::size_t slot);
  void TryAgain(const std::shared_ptr<Asked>& asked);
  void AskForMoreThanTheLimits();
  Duration AnyLength();

  // Faults and operators (faults.cc).
  void Begin(const Fault& fault);
  void Hold(Duration lasts, std::function<void()> end);
  void PublishLimit(const Fault& fault);
  void PublishEntries(const Fault& fault);
  void RaceOperators(const Fault& fault);
  void RetireEntry(const Fault& fault);
  /// Operators end the maintenance before the last phase: a task on its way to a VM that is being
  /// rebooted is lost, and its unit is rightly held for the longest run of a task.
  void EndMaintenance();
  void DeclareGone(std::size_t slot, std::uint32_t choice);

  // Keys (keys.cc).
  void GiveFirstKeys();
  void GiveKey(std::size_t team, std::uint32_t choice);
  void WithdrawKey(const std::string& key, std::uint32_t choice);
  void ReplaceKey(const Fault& fault);
  void RaceOnKey(const Fault& fault);
  /// The key that a caller of the team sends: mostly the newest, at times an old or a wrong one.
  std::string KeyFor(const TeamId& team);
  /// Asks an entry to publish a change of the configuration that it knows.
  void Publish(std::uint32_t choice, const Change& change,
               const std::map<std::string, std::uint32_t>& limits);
  std::shared_ptr<EntryProcess> AnyUpEntry(std::uint32_t choice) const;
  const config_log::FleetState& Newest() const;
  void CancelWave();
  void Burst(const Fault& fault);
  void WatchCalm();
  void CheckVersions();

  Case run;
  GuardSet guards;
  Coverage& coverage;
  Timeline timeline;
  Simulation simulation;
  Network network;
  Observer observer;
  PublishLedger ledger;
  FakeLog log;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::deque<std::set<VmId>> listed;
  std::deque<TimePoint> listed_at;
  std::vector<std::shared_ptr<EntryProcess>> entries;
  std::vector<Duration> entry_clock_offsets;
  std::vector<bool> is_retired;
  std::vector<std::shared_ptr<EntryProcess>> former_lives;
  std::vector<std::shared_ptr<Asked>> asked;
  std::uint64_t last_life = 0;
  std::vector<std::vector<std::string>> keys;
  std::uint64_t last_key = 0;
  int active_faults = 0;
  TimePoint calm_since;
};

/// The entry that stands in a slot.
EntryId EntryAt(std::size_t slot);
std::size_t SlotOf(const EntryId& entry);
TeamId TeamAt(std::size_t team);
VmId VmAt(std::size_t at);
PoolId PoolAt(std::size_t vm);
std::uint32_t BudgetOf(const PoolId& pool);
/// Teams take turns in the services, each with a pool of the same name.
PoolId PoolOf(const TeamId& team);

inline constexpr std::size_t kEntrySlots = 7;
/// Entries of the first configuration; the last slot joins and leaves.
inline constexpr std::size_t kFirstEntries = 6;
inline constexpr std::size_t kTeams = 4;
inline constexpr std::size_t kVms = 12;
/// What the operators start with.
inventory::Inventory FirstInventory();
inventory::EntryVm EntryVmAt(std::size_t slot);
config_log::KeyDigest DigestFor(const std::string& key);

inline constexpr TimePoint kRequestsEnd = TimePoint(std::chrono::seconds(62));
inline constexpr TimePoint kLastPhase = TimePoint(std::chrono::seconds(92));
inline constexpr TimePoint kEnd = TimePoint(std::chrono::seconds(107));

}  // namespace chervilspar::prove
