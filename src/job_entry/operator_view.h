#pragma once

#include <map>
#include <memory>

#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// The operators' rules and waves as this entry knows them.
class OperatorView : public RecordListener {
 public:
  explicit OperatorView(const Context& context);

  void Start() { this->tail->Start(); }
  void OnRecords(const std::vector<KeyedRecord>& records) override;

  /// Null before the first configuration.
  std::shared_ptr<const jobs::Policy> Policy() const { return this->policy; }
  const std::map<std::uint64_t, jobs::Wave>& Waves() const { return this->waves; }
  /// When a wave was first seen here.
  std::optional<TimePoint> SeenAt(std::uint64_t wave) const;
  bool IsFresh(Duration limit) const { return this->tail->IsFresh(limit); }
  std::optional<TimePoint> Proof() const { return this->tail->Proof(); }

 private:
  void TakePolicy(const std::string& value);
  void TakeWave(const std::string& value);

  const Context context;
  std::shared_ptr<const jobs::Policy> policy;
  std::map<std::uint64_t, jobs::Wave> waves;
  std::map<std::uint64_t, TimePoint> seen;
  std::shared_ptr<RecordTail> tail;
};

}  // namespace chervilspar::job_entry
