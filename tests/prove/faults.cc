#include <algorithm>
#include <utility>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr Duration kCalmFor = std::chrono::seconds(10);
constexpr Duration kInForceWithin = std::chrono::seconds(9);
constexpr std::uint32_t kLargestLimit = 10;
/// Snapshots are written about every 5 s.
constexpr Duration kRetention = std::chrono::seconds(12);

}  // namespace

void World::Begin(const Fault& fault) {
  if (this->timeline.IsOn()) {
    std::ostringstream text;
    text << fault;
    this->Note(text.str());
  }
  const std::size_t slot = this->LiveSlot(fault.target);
  const std::shared_ptr<EntryProcess> entry = this->entries.at(slot);
  const std::uint32_t zone = fault.target % kZones;
  const std::uint32_t other_zone = (zone + 1 + fault.extra % (kZones - 1)) % kZones;
  Endpoint& endpoint = *this->endpoints.at(fault.target % this->endpoints.size());
  switch (fault.kind) {
    case FaultKind::kKillEntry:
      this->KillEntry(slot, fault.Lasts() / 4);
      break;
    case FaultKind::kPauseEntry:
      entry->Pause();
      this->Hold(fault.Lasts(), [entry] { entry->Resume(); });
      break;
    case FaultKind::kCutZones:
      this->network.Cut(zone, other_zone);
      this->Hold(fault.Lasts(), [this, zone, other_zone] { this->network.Heal(zone, other_zone); });
      break;
    case FaultKind::kCutPlatform:
      this->network.Cut(zone, kPlatform);
      this->Hold(fault.Lasts(), [this, zone] { this->network.Heal(zone, kPlatform); });
      break;
    case FaultKind::kLogOutage:
      this->log.BeginOutage(this->simulation.Now());
      this->Hold(fault.Lasts(), [this] { this->log.EndOutage(this->simulation.Now()); });
      break;
    case FaultKind::kRetentionGap:
      this->log.DropOlderThan(kRetention, this->simulation.Now());
      break;
    case FaultKind::kBadNetwork:
      this->network.BeginBad();
      this->Hold(fault.Lasts(), [this] { this->network.EndBad(); });
      break;
    case FaultKind::kKillEndpoint:
      endpoint.Die();
      this->Hold(fault.Lasts() / 2, [&endpoint] { endpoint.ComeBack(); });
      break;
    case FaultKind::kFailingEndpoint:
      endpoint.BeginFailing();
      this->Hold(fault.Lasts(), [&endpoint] { endpoint.EndFailing(); });
      break;
    case FaultKind::kBurst:
      this->Burst(fault);
      break;
    case FaultKind::kCancelWave:
      this->CancelWave();
      break;
    case FaultKind::kPublishLimit:
      this->PublishLimit(fault);
      break;
    case FaultKind::kPublishEntries:
      this->PublishEntries(fault);
      break;
    case FaultKind::kOperatorRace:
      this->RaceOperators(fault);
      break;
    case FaultKind::kRetireEntry:
      this->RetireEntry(fault);
      break;
    case FaultKind::kWithdrawKey:
      this->ReplaceKey(fault);
      break;
    case FaultKind::kKeyRace:
      this->RaceOnKey(fault);
      break;
  }
}

void World::Hold(Duration lasts, std::function<void()> end) {
  ++this->active_faults;
  this->simulation.After(lasts, [this, end = std::move(end)] {
    end();
    --this->active_faults;
    this->calm_since = this->simulation.Now();
  });
}

void World::Publish(std::uint32_t choice, const Change& change,
                    const std::map<std::string, std::uint32_t>& limits) {
  const std::shared_ptr<EntryProcess> entry = this->AnyUpEntry(choice);
  entry->Run([entry, change, limits] { entry->OnPublish(change, limits); });
}

void World::PublishLimit(const Fault& fault) {
  const TeamId team = TeamAt(fault.target % kTeams);
  const std::uint32_t limit = 1 + fault.extra % kLargestLimit;
  this->Publish(fault.target,
                [team, limit](inventory::Inventory& wanted) {
                  if (wanted.teams.contains(team)) {
                    wanted.teams.at(team).upper_limit = limit;
                  }
                },
                {{team.text, limit}});
}

void World::PublishEntries(const Fault& fault) {
  const std::size_t slot = fault.target % kEntrySlots;
  const bool may_join = !this->is_retired.at(slot);
  this->Publish(fault.extra,
                [slot, may_join](inventory::Inventory& wanted) {
                  const bool is_listed = wanted.entries.contains(EntryAt(slot));
                  if (is_listed && wanted.entries.size() > 2) {
                    wanted.entries.erase(EntryAt(slot));
                  } else if (!is_listed && may_join) {
                    wanted.entries[EntryAt(slot)] = EntryVmAt(slot);
                  }
                },
                {});
}

void World::RaceOperators(const Fault& fault) {
  Fault other = fault;
  other.extra += 7;
  other.target += kTeams;
  this->PublishLimit(fault);
  this->PublishLimit(other);
}

std::size_t SlotOf(const EntryId& entry) {
  std::size_t slot = 0;
  while (EntryAt(slot) != entry) {
    ++slot;
  }
  return slot;
}

void World::RetireEntry(const Fault& fault) {
  const std::size_t slot = this->LiveSlot(fault.target);
  const auto retired = std::count(this->is_retired.begin(), this->is_retired.end(), true);
  const auto& listed = this->Newest().inventory.entries;
  const auto dead = std::count_if(listed.begin(), listed.end(), [this](const auto& entry) {
    return this->is_retired.at(SlotOf(entry.first));
  });
  // At least two entries that live stay listed.
  if (retired >= 2 || static_cast<std::ptrdiff_t>(listed.size()) - dead < 3) {
    return;
  }
  this->is_retired.at(slot) = true;
  this->Note("entry " + EntryAt(slot).text + " is killed for good");
  this->entries.at(slot)->Kill();
  this->DeclareGone(slot, fault.extra);
}

/// Takes the dead entry off the list and declares it gone, again and again until both are in force.
void World::DeclareGone(std::size_t slot, std::uint32_t choice) {
  if (this->Newest().gone_entries.contains(EntryAt(slot))) {
    return;
  }
  const std::shared_ptr<EntryProcess> entry = this->AnyUpEntry(choice);
  if (this->Newest().inventory.entries.contains(EntryAt(slot))) {
    this->Publish(choice,
                  [slot](inventory::Inventory& wanted) {
                    if (wanted.entries.size() > 1) {
                      wanted.entries.erase(EntryAt(slot));
                    }
                  },
                  {});
  } else {
    entry->Run([entry, slot] { entry->OnDeclareGone(EntryAt(slot)); });
  }
  this->simulation.After(Seconds(1), [this, slot, choice] { this->DeclareGone(slot, choice + 1); });
}

void World::EndMaintenance() {
  if (this->Newest().inventory.maintenance.every == Duration::zero()) {
    return;
  }
  this->Publish(
      0, [](inventory::Inventory& wanted) { wanted.maintenance.every = Duration::zero(); }, {});
  this->simulation.After(Seconds(1), [this] { this->EndMaintenance(); });
}

Observer::Calm World::CalmNow() const {
  const bool is_calm =
      this->active_faults == 0 && this->simulation.Now() - this->calm_since >= kCalmFor;
  return is_calm ? Observer::Calm::kYes : Observer::Calm::kNo;
}

void World::WatchCalm() {
  const TimePoint now = this->simulation.Now();
  if (this->CalmNow() == Observer::Calm::kYes) {
    this->observer.OnCalm((now - kCalmFor).time_since_epoch().count(), this->NowUs());
    this->CheckVersions();
  }
  this->simulation.After(Seconds(1), [this] { this->WatchCalm(); });
}

void World::CheckVersions() {
  const TimePoint now = this->simulation.Now();
  const std::int64_t published = this->ledger.VersionBy(now - kInForceWithin);
  for (const std::shared_ptr<EntryProcess>& life : this->entries) {
    if (life->IsUp() && now - life->StartedAt() >= kCalmFor) {
      this->observer.OnVersionSeen(this->NowUs(), life->Me().id.text, life->Me().incarnation.nonce,
                                   life->Current()->version, published);
    }
  }
}

}  // namespace chervilspar::prove
