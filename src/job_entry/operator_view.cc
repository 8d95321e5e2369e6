#include "job_entry/operator_view.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// A change of the rules has to be in force within 2 s; a read that waits is answered at once when
/// there is one. A second keeps the proof that the rules are known young.
constexpr Duration kWait = std::chrono::seconds(1);

}  // namespace

OperatorView::OperatorView(const Context& context)
    : context(context),
      cordon(context.settings.cordon_bound),
      tail(std::make_shared<RecordTail>(
          context,
          RecordTail::Options{
              .topic = Topic::kOperators, .wait = kWait, .extends_proof_by_wait = true},
          *this)) {}

void OperatorView::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (this->context.links.records->IsCordonKey(record.key)) {
      this->TakeCordon(record);
      continue;
    }
    if (!record.value) {
      continue;  // Rules and waves are replaced, never taken back.
    }
    if (this->context.links.records->IsPolicyKey(record.key)) {
      this->TakePolicy(*record.value);
    } else if (this->context.links.records->IsWaveKey(record.key)) {
      this->TakeWave(*record.value);
    }
  }
}

void OperatorView::OnNewest(const std::vector<KeyedRecord>& records) {
  std::set<std::string> keys;
  for (const KeyedRecord& record : records) {
    keys.insert(record.key);
  }
  this->LiftCordonsExcept(keys);
  this->OnRecords(records);
}

void OperatorView::LiftCordonsExcept(const std::set<std::string>& keys) {
  std::erase_if(this->zone_of_key, [&](const auto& entry) {
    const bool is_lifted = !keys.contains(entry.first);
    if (is_lifted && this->cordon.Remove(entry.second)) {
      this->TellCordon(entry.second, false);
    }
    return is_lifted;
  });
}

void OperatorView::TakeCordon(const KeyedRecord& record) {
  const Result<ZoneId> zone = this->context.links.records->ReadCordon(record.key, record.value);
  if (!zone) {
    LogEvent(telemetry::LogLevel::kError, "cordon_unreadable",
             ToString(zone.LastReason()) + "; what held before holds", {{"record", record.key}});
    return;
  }
  if (record.value) {
    this->zone_of_key.insert_or_assign(record.key, *zone);
  } else {
    this->zone_of_key.erase(record.key);
  }
  const bool is_changed = record.value ? this->cordon.Add(*zone) : this->cordon.Remove(*zone);
  if (is_changed) {
    this->TellCordon(*zone, record.value.has_value());
  }
}

void OperatorView::TellCordon(const ZoneId& zone, bool is_cordoned) {
  this->context.metrics.Set({"chervilspar_cordoned_zones", {}},
                            static_cast<double>(this->cordon.Zones().size()));
  LogEvent(telemetry::LogLevel::kInfo, is_cordoned ? "zone_cordoned" : "zone_uncordoned",
           is_cordoned ? "nothing more is started there; what runs there runs on"
                       : "tasks are started there again",
           {{"zone", zone.text}});
  const std::vector<ZoneId>& known = this->context.settings.fleet_zones;
  if (!known.empty() && std::find(known.begin(), known.end(), zone) == known.end()) {
    LogEvent(telemetry::LogLevel::kWarning, "zone_unknown",
             "the cordon names a zone that the settings don't", {{"zone", zone.text}});
  }
}

bool OperatorView::MayStartIn(const ZoneId& zone) const {
  return this->cordon.MayStart(zone, this->context.Now(), this->tail->Proof());
}

bool OperatorView::AreAllZonesCordoned() const {
  return this->cordon.CoversAll(this->context.settings.fleet_zones);
}

void OperatorView::TakePolicy(const std::string& value) {
  Result<jobs::Policy> read = this->context.links.records->ReadPolicy(value);
  if (!read) {
    LogEvent(telemetry::LogLevel::kError, "configuration_unreadable", ToString(read.LastReason()));
    return;
  }
  // A version that was in force must not give way to an older one, whatever is read again.
  if (this->policy && read->version <= this->policy->version) {
    return;
  }
  this->policy = std::make_shared<const jobs::Policy>(*std::move(read));
  LogEvent(telemetry::LogLevel::kInfo, "configuration_taken", "a new version is in force",
           {{"version", std::to_string(this->policy->version)},
            {"queues", std::to_string(this->policy->queues.size())}});
}

void OperatorView::TakeWave(const std::string& value) {
  Result<jobs::Wave> read = this->context.links.records->ReadWave(value);
  if (!read) {
    LogEvent(telemetry::LogLevel::kError, "wave_unreadable", ToString(read.LastReason()));
    return;
  }
  this->seen.try_emplace(read->number, this->context.Now());
  this->waves.insert_or_assign(read->number, *read);
}

std::optional<TimePoint> OperatorView::SeenAt(std::uint64_t wave) const {
  const auto found = this->seen.find(wave);
  return found == this->seen.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace chervilspar::job_entry
