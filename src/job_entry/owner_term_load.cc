#include <algorithm>

#include "job_entry/owner_term.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// For a page of 500 records on a link of 2 Mbit a second.
constexpr Duration kLoadTimeout = std::chrono::seconds(8);
/// Reads of the state side by side, one for each part of it, and the rate in megabits a second that
/// one more of them needs. On a narrow link the joins that keep this entry in the group would wait
/// behind them, and another would be chosen in the middle of the reading.
constexpr double kMostReadsAtOnce = 10;
constexpr double kRateOfRead = 20;
/// Before the jobs are read, so that the first answers of the endpoints don't wait behind them.
constexpr Duration kHeadStart = std::chrono::milliseconds(400);

}  // namespace

asio::awaitable<bool> OwnerTerm::Load() {
  this->FollowRules();
  const double at_once =
      std::clamp(this->context.settings.link_rate / kRateOfRead, 1.0, kMostReadsAtOnce);
  if (at_once <= 1.0) {
    co_await this->KeepLeases();
  }
  // Side by side: a slow store takes a quarter of a second for each page. Progress doesn't change
  // any more, as the token is announced.
  std::vector<KeyedRecord> progress;
  std::vector<asio::awaitable<bool>> parts = this->job_log.LoadPartitions();
  parts.push_back(this->registry.Load());
  parts.push_back(this->ReadProgress(progress));
  const bool is_read =
      co_await AllOf(this->context, std::move(parts), static_cast<std::size_t>(at_once));
  if (!is_read) {
    co_return false;
  }
  this->SetEndpoints();
  this->LoadProgress(progress);
  this->LoadLapseNotices(progress);
  this->keeper->Stop();
  this->scheduler.NoteLeases(this->keeper->Leases().LeaseEnds());
  this->job_log.ApplyCancellations();
  this->FollowRules();
  co_return this->operators.Policy() != nullptr;
}

/// What can go wrong: the jobs take longer to read than a lease lasts. So on a link that takes one
/// read at a time, the registrations come first, and what runs is kept alive from then on. They are
/// read again with the rest, as an endpoint that drains meanwhile must get nothing new.
asio::awaitable<void> OwnerTerm::KeepLeases() {
  if (this->is_keeping) {
    co_return;
  }
  const bool is_read = co_await this->registry.Load();
  if (!is_read || this->is_stopped) {
    co_return;
  }
  this->is_keeping = true;
  const std::vector<jobs::EndpointRecord> endpoints = this->registry.Endpoints();
  if (this->context.links.roster != nullptr) {
    this->context.links.roster->SetEndpoints(endpoints);
  }
  this->keeper->Start(endpoints);
  co_await this->keeper->Settle(kHeadStart);
}

asio::awaitable<bool> OwnerTerm::ReadProgress(std::vector<KeyedRecord>& records) {
  Result<NewestOutcome> progress =
      co_await this->context.links.store->Newest(Topic::kProgress, 0, kLoadTimeout);
  if (!progress) {
    co_return false;
  }
  records = (*std::move(progress)).records;
  co_return true;
}

void OwnerTerm::LoadProgress(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (record.value && VmDriver::IsWaveKey(record.key)) {
      this->LoadWave(record);
      continue;
    }
    const std::optional<jobs::JobId> id = jobs::ParseJobId(record.key);
    if (!id || !record.value) {
      continue;
    }
    const Status restored = this->scheduler.RestoreStored(*id, *record.value);
    if (!restored) {
      LogEvent(telemetry::LogLevel::kError, "progress_unreadable", ToString(restored.LastReason()),
               {}, record.key);
    }
  }
}

void OwnerTerm::LoadLapseNotices(const std::vector<KeyedRecord>& records) {
  std::vector<jobs::LapseNotice> notices;
  for (const KeyedRecord& record : records) {
    if (!record.value || !record.key.starts_with(kLapsePrefix)) {
      continue;
    }
    const Result<jobs::LapseNotice> notice = jobs::DecodeLapseNotice(*record.value);
    if (notice) {
      notices.push_back(*notice);
    } else {
      LogEvent(telemetry::LogLevel::kError, "progress_unreadable", ToString(notice.LastReason()),
               {{"record", record.key}});
    }
  }
  this->scheduler.RestoreLapseNotices(notices);
}

void OwnerTerm::LoadWave(const KeyedRecord& record) {
  const Result<jobs::WaveProgress> progress = jobs::DecodeWaveProgress(*record.value);
  if (!progress) {
    LogEvent(telemetry::LogLevel::kError, "progress_unreadable", ToString(progress.LastReason()),
             {{"key", record.key}});
    return;
  }
  this->vms.Restore(*progress);
}

}  // namespace chervilspar::job_entry
