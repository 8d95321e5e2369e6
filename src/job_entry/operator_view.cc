#include "job_entry/operator_view.h"

namespace chervilspar::job_entry {

namespace {

/// A change of the rules has to be in force within 2 s; a read that waits is answered at once when
/// there is one. A second keeps the proof that the rules are known young.
constexpr Duration kWait = std::chrono::seconds(1);

}  // namespace

OperatorView::OperatorView(const Context& context)
    : context(context),
      tail(std::make_shared<RecordTail>(
          context,
          RecordTail::Options{
              .topic = Topic::kOperators, .wait = kWait, .is_proven_by_waiting = true},
          *this)) {}

void OperatorView::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
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
