#include <algorithm>

#include "job_entry/owner_term.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// For a page of 500 records on a link of 2 Mbit/s.
constexpr Duration kLoadTimeout = std::chrono::seconds(8);
/// Maximum number of concurrent reads of the state, one for each part of it, and the link rate in
/// megabits per second that each of them needs. On a slow link, the joins that keep this entry in
/// the group would queue behind the reads, and the group would choose another entry during the
/// load.
constexpr double kMaxConcurrentReads = 10;
constexpr double kMbpsPerRead = 20;
/// The wait before the jobs are read, so that the first responses of the endpoints don't queue
/// behind them.
constexpr Duration kLeaseHeadStart = std::chrono::milliseconds(400);

}  // namespace

asio::awaitable<bool> OwnerTerm::Load() {
  this->ApplyOperatorSettings();
  const double concurrency =
      std::clamp(this->context.settings.link_rate / kMbpsPerRead, 1.0, kMaxConcurrentReads);
  if (concurrency <= 1.0) {
    co_await this->StartLeaseKeeper();
  }
  // Concurrently: a slow store takes 250 ms for each page. Progress doesn't change any more, as the
  // token is announced.
  std::vector<KeyedRecord> progress;
  std::vector<asio::awaitable<bool>> parts = this->job_log.LoadPartitions();
  parts.push_back(this->registry.Load());
  parts.push_back(this->ReadProgress(progress));
  const bool is_read =
      co_await RunAll(this->context, std::move(parts), static_cast<std::size_t>(concurrency));
  if (!is_read) {
    co_return false;
  }
  this->SetEndpoints();
  this->LoadProgress(progress);
  this->LoadLapseNotices(progress);
  this->keeper->Stop();
  this->scheduler.RecordInterimLeases(this->keeper->Leases().Leases());
  this->job_log.ApplyCancellations();
  this->ApplyOperatorSettings();
  co_return this->operators.Policy() != nullptr;
}

/// The jobs may take longer to read than a lease lasts. So on a link that allows one read at a
/// time, the registrations are read first, and the leases of the runs are renewed from then on. The
/// registrations are read again with the rest of the state, as an endpoint that drains in the
/// meantime must get no new work.
asio::awaitable<void> OwnerTerm::StartLeaseKeeper() {
  if (this->is_keeper_started) {
    co_return;
  }
  const bool is_read = co_await this->registry.Load();
  if (!is_read || this->is_stopped) {
    co_return;
  }
  this->is_keeper_started = true;
  const std::vector<jobs::EndpointRecord> endpoints = this->registry.Endpoints();
  if (this->context.links.fleet_observer != nullptr) {
    this->context.links.fleet_observer->SetEndpoints(endpoints);
  }
  this->keeper->Start(endpoints);
  co_await this->keeper->WaitUntilSettled(kLeaseHeadStart);
}

asio::awaitable<bool> OwnerTerm::ReadProgress(std::vector<KeyedRecord>& records) {
  Result<NewestOutcome> progress =
      co_await this->context.links.store->ReadNewest(Topic::kProgress, 0, kLoadTimeout);
  if (!progress) {
    co_return false;
  }
  records = (*std::move(progress)).records;
  co_return true;
}

void OwnerTerm::LoadProgress(const std::vector<KeyedRecord>& records) {
  std::unordered_map<std::string_view, std::string_view> texts;
  for (const KeyedRecord& record : records) {
    if (record.value) {
      texts.emplace(record.key, *record.value);
    }
  }
  for (const KeyedRecord& record : records) {
    if (record.value && VmDriver::IsWaveKey(record.key)) {
      this->LoadWave(record);
      continue;
    }
    if (record.value && VmDriver::IsMoveKey(record.key)) {
      this->LoadMove(record);
      continue;
    }
    const std::optional<jobs::JobId> id = jobs::ParseJobId(record.key);
    if (!id || !record.value) {
      continue;
    }
    std::vector<std::string_view> parts{*record.value};
    for (auto part = texts.find(ProgressKey(record.key, 1)); part != texts.end();
         part = texts.find(ProgressKey(record.key, static_cast<std::uint32_t>(parts.size())))) {
      parts.push_back(part->second);
    }
    const Status restored = this->scheduler.RestoreStored(*id, parts);
    if (!restored) {
      LogEvent(telemetry::LogLevel::kError, "progress_unreadable", ToString(restored.LastReason()),
               {}, record.key);
    }
  }
}

std::vector<jobs::LapseNotice> OwnerTerm::ReadNotices(const std::vector<KeyedRecord>& records,
                                                      std::string_view prefix) {
  std::vector<jobs::LapseNotice> notices;
  for (const KeyedRecord& record : records) {
    if (!record.value || !record.key.starts_with(prefix)) {
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
  return notices;
}

void OwnerTerm::LoadLapseNotices(const std::vector<KeyedRecord>& records) {
  this->scheduler.RestoreLapseNotices(ReadNotices(records, kLapsePrefix));
  this->scheduler.RestoreLongLeases(ReadNotices(records, kLongLeasePrefix));
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

void OwnerTerm::LoadMove(const KeyedRecord& record) {
  const Result<jobs::MoveRecord> move = jobs::DecodeMoveRecord(*record.value);
  if (!move) {
    LogEvent(telemetry::LogLevel::kError, "progress_unreadable", ToString(move.LastReason()),
             {{"key", record.key}});
    return;
  }
  this->vms.Restore(*move);
}

}  // namespace chervilspar::job_entry
