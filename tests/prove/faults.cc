#include <algorithm>
#include <utility>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr Duration kCalmFor = std::chrono::seconds(10);
constexpr Duration kInForceWithin = std::chrono::seconds(9);
constexpr std::uint32_t kLargestLimit = 10;

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
      this->log.BeginOutage();
      this->Hold(fault.Lasts(), [this] { this->log.EndOutage(); });
      break;
    case FaultKind::kRetentionGap:
      this->log.DropOldRecords();
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

void World::Append(const Publish& publish) {
  const config_log::ConfigVersion before = this->log.Newest().version;
  this->log.NoteTime(this->simulation.Now());
  this->log.Append(publish);
  if (this->log.Newest().version == before) {
    this->Count("fold rejected: stale base");
    return;
  }
  for (const auto& [team, limit] : publish.upper_limits) {
    this->observer.OnLimitPublished(this->NowUs(), team.text, limit);
  }
  this->Note("version " + std::to_string(before + 1) + " is published");
}

void World::PublishLimit(const Fault& fault) {
  if (this->log.IsDown()) {
    return;
  }
  Publish publish;
  publish.base_version = this->log.Newest().version;
  publish.upper_limits[TeamAt(fault.target % kTeams)] = 1 + fault.extra % kLargestLimit;
  this->Append(publish);
  if (fault.extra % 3 == 0) {
    // The answer was lost and the operator publishes once more.
    this->Append(publish);
  }
}

void World::PublishEntries(const Fault& fault) {
  if (this->log.IsDown()) {
    return;
  }
  Publish publish;
  publish.base_version = this->log.Newest().version;
  std::set<EntryId> entries = this->log.Newest().entries;
  const std::size_t slot = fault.target % kEntrySlots;
  const bool is_listed = entries.contains(EntryAt(slot));
  if (is_listed && entries.size() > 2) {
    entries.erase(EntryAt(slot));
  } else if (!is_listed && !this->is_retired.at(slot)) {
    entries.insert(EntryAt(slot));
  }
  publish.entries = entries;
  this->Append(publish);
}

void World::RaceOperators(const Fault& fault) {
  if (this->log.IsDown()) {
    return;
  }
  for (std::uint32_t operators = 0; operators < 2; ++operators) {
    Publish publish;
    publish.base_version = this->log.Newest().version - operators;
    publish.upper_limits[TeamAt(fault.target % kTeams)] =
        1 + (fault.extra + operators * 7) % kLargestLimit;
    this->Append(publish);
  }
}

void World::RetireEntry(const Fault& fault) {
  const std::size_t slot = this->LiveSlot(fault.target);
  std::set<EntryId> entries = this->log.Newest().entries;
  entries.erase(EntryAt(slot));
  const auto retired = std::count(this->is_retired.begin(), this->is_retired.end(), true);
  if (this->log.IsDown() || entries.size() < 2 || retired >= 2) {
    return;
  }
  this->is_retired.at(slot) = true;
  this->Note("entry " + EntryAt(slot).text + " is killed for good and declared gone");
  this->entries.at(slot)->Kill();
  Publish publish;
  publish.base_version = this->log.Newest().version;
  publish.entries = entries;
  publish.gone.insert(EntryAt(slot));
  this->Append(publish);
}

void World::WatchCalm() {
  const TimePoint now = this->simulation.Now();
  const bool is_calm = this->active_faults == 0 && now - this->calm_since >= kCalmFor;
  if (is_calm) {
    this->observer.OnCalm((now - kCalmFor).time_since_epoch().count(), this->NowUs());
    this->CheckVersions();
  }
  this->simulation.After(Seconds(1), [this] { this->WatchCalm(); });
}

void World::CheckVersions() {
  const TimePoint now = this->simulation.Now();
  const config_log::ConfigVersion published = this->log.PublishedBy(now - kInForceWithin);
  for (const std::shared_ptr<EntryProcess>& life : this->entries) {
    if (life->IsUp() && now - life->StartedAt() >= kCalmFor) {
      this->observer.OnVersionSeen(this->NowUs(), life->Me().id.text, life->Me().incarnation.nonce,
                                   life->Current()->version, published);
    }
  }
}

}  // namespace chervilspar::prove
