#include "tests/prove/world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chervilspar::prove {

namespace {

constexpr std::size_t kListLagSeconds = 3;
constexpr WallTime kWallEpoch = WallTime(std::chrono::hours(500000));

}  // namespace

World::World(const Case& run, const GuardSet& guards, Coverage& coverage, Timeline::Mode mode)
    : run(run),
      guards(guards),
      coverage(coverage),
      timeline(mode),
      simulation(run.seed),
      network(this->simulation),
      observer((kLongestRun + Seconds(1)).count()),
      ledger(this->observer),
      log(this->ledger),
      entries(kEntrySlots),
      is_retired(kEntrySlots, false),
      keys(kTeams) {
  const Duration half_skew = kMaxClockSkew / 2;
  for (std::size_t at = 0; at < kVms; ++at) {
    this->endpoints.push_back(
        std::make_unique<Endpoint>(*this, VmAt(at), static_cast<std::uint32_t>(at % kZones),
                                   this->simulation.Between(-half_skew, half_skew)));
    this->observer.OnVmDeclared(VmAt(at).text, PoolAt(at).text, BudgetOf(PoolAt(at)));
  }
}

void World::UpdateVmList() {
  std::set<VmId> live;
  for (const std::unique_ptr<Endpoint>& endpoint : this->endpoints) {
    if (endpoint->IsUp()) {
      live.insert(endpoint->Vm());
    }
  }
  this->listed.push_back(live);
  this->listed_at.push_back(this->simulation.Now());
  if (this->listed.size() > kListLagSeconds) {
    this->listed.pop_front();
    this->listed_at.pop_front();
  }
  this->simulation.After(Seconds(1), [this] { this->UpdateVmList(); });
}

Endpoint& World::EndpointOf(const VmId& vm) {
  const auto found =
      std::find_if(this->endpoints.begin(), this->endpoints.end(),
                   [&vm](const std::unique_ptr<Endpoint>& it) { return it->Vm() == vm; });
  return **found;
}

Outcome World::Run() {
  this->UpdateVmList();
  for (std::size_t slot = 0; slot < kEntrySlots; ++slot) {
    this->StartEntry(slot);
  }
  this->simulation.At(TimePoint(Seconds(1)), [this] {
    std::map<std::string, std::uint32_t> limits;
    const inventory::Inventory first = FirstInventory();
    for (const auto& [id, team] : first.teams) {
      limits[id.text] = team.upper_limit;
    }
    this->Publish(
        0, [first](inventory::Inventory& wanted) { wanted = first; }, limits);
  });
  this->simulation.At(TimePoint(Seconds(1.7)), [this] { this->GiveFirstKeys(); });
  for (const Fault& fault : this->run.faults) {
    this->simulation.At(fault.Begin(), [this, fault] { this->Begin(fault); });
  }
  this->IssueRequests();
  this->WatchCalm();
  this->simulation.At(kRequestsEnd, [this] { this->EndMaintenance(); });
  this->simulation.At(kLastPhase, [this] { this->AskForMoreThanTheLimits(); });
  this->simulation.At(kLastPhase + Seconds(5), [this] {
    for (const std::shared_ptr<EntryProcess>& life : this->entries) {
      life->Run([life] { life->NoteUnits(); });
    }
  });
  this->simulation.RunUntil(kEnd);
  this->observer.CheckLastPhase(this->NowUs());
  for (const auto& life : this->former_lives) {
    life->CountGuards();
  }
  for (const auto& life : this->entries) {
    life->CountGuards();
  }
  return {this->observer.Violations(), this->timeline.Lines(), this->simulation.EventsRun()};
}

WallTime World::WallAt(Duration clock_offset) const {
  return kWallEpoch + this->simulation.Now().time_since_epoch() + clock_offset;
}

void World::StartEntry(std::size_t slot) {
  const Duration half_skew = kMaxClockSkew / 2;
  const Duration clock_offset = this->simulation.Between(-half_skew, half_skew);
  const Duration boot_offset = this->simulation.Between(Seconds(1), Seconds(100000));
  membership::Self self;
  self.id = EntryAt(slot);
  self.incarnation = {this->WallAt(clock_offset), ++this->last_life};
  const auto zone = static_cast<std::uint32_t>(slot % kZones);
  self.zone = ZoneId{"zone" + std::to_string(zone)};
  this->entries.at(slot) =
      std::make_shared<EntryProcess>(*this, self, zone, clock_offset, boot_offset);
  this->Note("entry " + self.id.text + " starts, life " + std::to_string(this->last_life));
  this->entries.at(slot)->Start();
}

void World::KillEntry(std::size_t slot, Duration replaced_after) {
  this->Note("entry " + EntryAt(slot).text + " is killed");
  this->entries.at(slot)->Kill();
  this->former_lives.push_back(this->entries.at(slot));
  this->Hold(replaced_after, [this, slot] {
    if (!this->is_retired.at(slot)) {
      this->former_lives.push_back(this->entries.at(slot));
      this->StartEntry(slot);
    }
  });
}

std::size_t World::LiveSlot(std::uint32_t choice) const {
  for (std::size_t tried = 0; tried < kEntrySlots; ++tried) {
    const std::size_t slot = (choice + tried) % kEntrySlots;
    const bool is_listed = this->Newest().inventory.entries.contains(EntryAt(slot));
    if (is_listed && !this->entries.at(slot)->IsDead()) {
      return slot;
    }
  }
  return 0;
}

const config_log::FleetState& World::Newest() const {
  const config_log::FleetState* newest = nullptr;
  for (const std::shared_ptr<EntryProcess>& life : this->entries) {
    const config_log::FleetState& state = *life->Current();
    if (newest == nullptr || state.next_offset > newest->next_offset) {
      newest = &state;
    }
  }
  return *newest;
}

std::shared_ptr<EntryProcess> World::AnyUpEntry(std::uint32_t choice) const {
  for (std::size_t tried = 0; tried < kEntrySlots; ++tried) {
    const std::shared_ptr<EntryProcess>& life = this->entries.at((choice + tried) % kEntrySlots);
    if (life->IsUp()) {
      return life;
    }
  }
  return this->entries.front();
}

void World::SendToEntry(std::uint32_t from_zone, const EntryId& to,
                        std::function<void(EntryProcess&)> deliver) {
  for (std::size_t slot = 0; slot < kEntrySlots; ++slot) {
    if (EntryAt(slot) != to) {
      continue;
    }
    const auto zone = static_cast<std::uint32_t>(slot % kZones);
    this->network.Send(from_zone, zone, [this, slot, deliver = std::move(deliver)] {
      // Whoever lives at the address when the message comes gets it.
      const std::shared_ptr<EntryProcess> life = this->entries.at(slot);
      life->Run([life, deliver] { deliver(*life); });
    });
    return;
  }
}

}  // namespace chervilspar::prove
