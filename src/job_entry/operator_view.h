#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "chervilspar/jobs/zone_cordon.h"

#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// The operators' rules, waves and cordons as known to this entry.
class OperatorView : public RecordListener {
 public:
  explicit OperatorView(const Context& context);

  void Start() { this->tail->Start(); }
  void OnRecords(const std::vector<KeyedRecord>& records) override;
  void OnNewest(const std::vector<KeyedRecord>& records) override;

  /// Null before the first configuration.
  std::shared_ptr<const jobs::Policy> Policy() const { return this->policy; }
  const std::map<std::uint64_t, jobs::Wave>& Waves() const { return this->waves; }
  /// When this entry first read the wave.
  std::optional<TimePoint> FirstSeenAt(std::uint64_t wave) const;
  const std::set<ZoneId>& CordonedZones() const { return this->cordon.Zones(); }
  /// Whether a task may be started in the zone: the zone isn't cordoned, and the cordons are known
  /// recently enough.
  bool MayStartIn(const ZoneId& zone) const;
  /// Whether every zone is cordoned, so that no task can be started until a cordon is lifted.
  bool AreAllZonesCordoned() const;
  bool IsFresh(Duration limit) const { return this->tail->IsFresh(limit); }
  std::optional<TimePoint> Proof() const { return this->tail->Proof(); }

 private:
  void ApplyPolicy(const std::string& value);
  void ApplyWave(const std::string& value);
  void ApplyCordon(const KeyedRecord& record);
  /// Lifts the cordons whose keys are not among these.
  void LiftCordonsExcept(const std::set<std::string>& keys);
  void ReportCordon(const ZoneId& zone, bool is_cordoned);

  const Context context;
  std::shared_ptr<const jobs::Policy> policy;
  std::map<std::uint64_t, jobs::Wave> waves;
  std::map<std::uint64_t, TimePoint> first_seen;
  jobs::ZoneCordon cordon;
  /// The cordoned zone of each record, by the key of the record.
  std::map<std::string, ZoneId> zone_of_key;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
