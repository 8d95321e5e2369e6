#include "job_entry/operator_view.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace {

/// A change of the rules must be in force within 2 s; a pending read returns at once when there is
/// one. A wait of 1 s keeps the proof that the rules are current recent.
constexpr Duration kReadWait = std::chrono::seconds(1);

}  // namespace

OperatorView::OperatorView(const Context& context)
    : context(context),
      cordon(context.settings.cordon_bound),
      tail(std::make_shared<RecordTail>(
          context,
          RecordTail::Options{
              .topic = Topic::kOperators, .wait = kReadWait, .extends_proof_by_wait = true},
          *this)) {}

void OperatorView::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (this->context.links.records->IsCordonKey(record.key)) {
      this->ApplyCordon(record);
      continue;
    }
    if (!record.value) {
      continue;  // Rules and waves are replaced, never removed.
    }
    if (this->context.links.records->IsPolicyKey(record.key)) {
      this->ApplyPolicy(*record.value);
    } else if (this->context.links.records->IsWaveKey(record.key)) {
      this->ApplyWave(*record.value);
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
      this->ReportCordon(entry.second, false);
    }
    return is_lifted;
  });
}

void OperatorView::ApplyCordon(const KeyedRecord& record) {
  const Result<ZoneId> zone = this->context.links.records->ReadCordon(record.key, record.value);
  if (!zone) {
    LogEvent(telemetry::LogLevel::kError, "cordon_unreadable",
             ToString(zone.LastReason()) + "; the previous cordon state stays in force",
             {{"record", record.key}});
    return;
  }
  if (record.value) {
    this->zone_of_key.insert_or_assign(record.key, *zone);
  } else {
    this->zone_of_key.erase(record.key);
  }
  const bool is_changed = record.value ? this->cordon.Add(*zone) : this->cordon.Remove(*zone);
  if (is_changed) {
    this->ReportCordon(*zone, record.value.has_value());
  }
}

void OperatorView::ReportCordon(const ZoneId& zone, bool is_cordoned) {
  this->context.metrics.Set({"chervilspar_cordoned_zones", {}},
                            static_cast<double>(this->cordon.Zones().size()));
  LogEvent(telemetry::LogLevel::kInfo, is_cordoned ? "zone_cordoned" : "zone_uncordoned",
           is_cordoned ? "no task is started in the zone any more; running tasks continue"
                       : "tasks may be started in the zone again",
           {{"zone", zone.text}});
  const std::vector<ZoneId>& known = this->context.settings.fleet_zones;
  if (!known.empty() && std::find(known.begin(), known.end(), zone) == known.end()) {
    LogEvent(telemetry::LogLevel::kWarning, "zone_unknown",
             "the settings don't name the cordoned zone", {{"zone", zone.text}});
  }
}

bool OperatorView::MayStartIn(const ZoneId& zone) const {
  return this->cordon.MayStart(zone, this->context.Now(), this->tail->Proof());
}

bool OperatorView::AreAllZonesCordoned() const {
  return this->cordon.CoversAll(this->context.settings.fleet_zones);
}

void OperatorView::ApplyPolicy(const std::string& value) {
  Result<jobs::Policy> read = this->context.links.records->ReadPolicy(value);
  if (!read) {
    LogEvent(telemetry::LogLevel::kError, "configuration_unreadable", ToString(read.LastReason()));
    return;
  }
  // An older version must not replace the current one when records are read again.
  if (this->policy && read->version <= this->policy->version) {
    return;
  }
  this->policy = std::make_shared<const jobs::Policy>(*std::move(read));
  LogEvent(telemetry::LogLevel::kInfo, "configuration_taken",
           "a new configuration version is in force",
           {{"version", std::to_string(this->policy->version)},
            {"queues", std::to_string(this->policy->queues.size())}});
}

void OperatorView::ApplyWave(const std::string& value) {
  Result<jobs::Wave> read = this->context.links.records->ReadWave(value);
  if (!read) {
    LogEvent(telemetry::LogLevel::kError, "wave_unreadable", ToString(read.LastReason()));
    return;
  }
  this->first_seen.try_emplace(read->number, this->context.Now());
  this->waves.insert_or_assign(read->number, *read);
}

std::optional<TimePoint> OperatorView::FirstSeenAt(std::uint64_t wave) const {
  const auto found = this->first_seen.find(wave);
  return found == this->first_seen.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace chervilspar::job_entry
