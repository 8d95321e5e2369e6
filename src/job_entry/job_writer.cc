#include "job_entry/job_writer.h"

#include <algorithm>

#include "chervilspar/base/hash.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// An append takes 4 ms, and some hundred milliseconds while the store is slow.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1100);
/// How long an append with an unknown outcome is retried. Callers wait 3 s. An earlier answer that
/// the job may have run makes them retry at once and use up their attempts before a store that
/// resets connections for some seconds has recovered.
constexpr Duration kMaxRetryTime = std::chrono::milliseconds(2000);
constexpr Duration kRetryPause = std::chrono::milliseconds(120);
/// The pause in relaying after no other entry could write either. In an outage of the whole store,
/// entries would otherwise send each other every submission.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);
/// An append takes 4 ms plus the network round trip. The store is considered slow above
/// `kSlowAppend` and normal again below `kNormalAppend`.
constexpr Duration kSlowAppend = std::chrono::milliseconds(150);
constexpr Duration kNormalAppend = std::chrono::milliseconds(50);
/// An append that took longer was queued behind those of other entries: on its own it takes some
/// hundred milliseconds in a slow store.
constexpr Duration kContendedAppend = std::chrono::milliseconds(600);

}  // namespace

std::string SubmissionKey(const jobs::JobId& id) { return jobs::ToString(id); }

std::string CancellationKey(const jobs::JobId& id) { return jobs::ToString(id) + "/cancelled"; }

JobWriter::JobWriter(const Context& context, RecordRelay* relay)
    : context(context),
      relay(relay),
      partition(static_cast<std::uint32_t>(StableHash(context.settings.id.text) %
                                           context.settings.job_partitions)),
      queue(std::make_shared<RecordQueue>(context, [this](std::vector<KeyedRecord> records) {
        return this->Append(std::move(records));
      })) {}

asio::awaitable<WriteVerdict> JobWriter::Write(KeyedRecord record) {
  std::vector<KeyedRecord> records;
  records.push_back(std::move(record));
  co_return co_await this->queue->Write(std::move(records));
}

/// The log lines explain late job starts: a slow store delays the acceptance of jobs, and with it
/// the VMs that are requested for them.
void JobWriter::TrackAppendTime(Duration taken) {
  const bool is_slow = taken > (this->is_slow ? kNormalAppend : kSlowAppend);
  if (is_slow != this->is_slow) {
    this->is_slow = is_slow;
    LogEvent(is_slow ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo,
             is_slow ? "store_slow" : "store_usual",
             is_slow ? "an append of submissions was slow" : "append latency is back to normal",
             {{"took_ms", MillisecondsText(taken)}});
  }
}

bool JobWriter::IsSlow() const {
  const bool is_waiting =
      this->append_began && this->context.Now() - *this->append_began > kSlowAppend;
  return this->is_slow || this->is_gathered || is_waiting;
}

asio::awaitable<WriteVerdict> JobWriter::Append(std::vector<KeyedRecord> records) {
  this->append_began = this->context.Now();
  const WriteVerdict verdict = co_await this->AppendWithRetries(std::move(records));
  this->append_began.reset();
  co_return verdict;
}

asio::awaitable<WriteVerdict> JobWriter::AppendWithRetries(std::vector<KeyedRecord> records) {
  const TimePoint deadline = this->context.Now() + kMaxRetryTime;
  bool may_be_stored = false;
  while (true) {
    // Retries are idempotent: the same keys get the same values.
    const WriteVerdict gathered = co_await this->AppendGathered(records);
    const Duration remaining = std::max<Duration>(deadline - this->context.Now(), kRetryPause);
    const WriteVerdict local = gathered == WriteVerdict::kStored
                                   ? gathered
                                   : co_await this->AppendLocally(records, remaining);
    if (local == WriteVerdict::kRejected) {
      const bool is_certain = !may_be_stored && gathered != WriteVerdict::kMayBeStored;
      co_return is_certain ? WriteVerdict::kRejected : WriteVerdict::kMayBeStored;
    }
    const WriteVerdict relayed =
        local == WriteVerdict::kStored ? local : co_await this->AppendRelayed(records);
    if (relayed == WriteVerdict::kStored) {
      co_return relayed;
    }
    for (const WriteVerdict verdict : {gathered, local, relayed}) {
      may_be_stored = may_be_stored || verdict == WriteVerdict::kMayBeStored;
    }
    if (!may_be_stored) {
      co_return WriteVerdict::kNotStored;
    }
    if (this->context.Now() + kRetryPause >= deadline) {
      co_return WriteVerdict::kMayBeStored;
    }
    co_await Pause(this->context, kRetryPause);
  }
}

asio::awaitable<WriteVerdict> JobWriter::AppendLocally(std::vector<KeyedRecord> records,
                                                       Duration timeout) {
  const TimePoint begin = this->context.Now();
  const AppendOutcome outcome =
      co_await this->context.links.store->Append(Topic::kJobs, this->partition, std::move(records),
                                                 std::nullopt, std::min(kAppendTimeout, timeout));
  const Duration taken = this->context.Now() - begin;
  this->TrackAppendTime(taken);
  if (outcome.kind == AppendOutcome::Kind::kRejected) {
    co_return WriteVerdict::kRejected;
  }
  const bool is_stored = outcome.kind == AppendOutcome::Kind::kStored;
  if (!is_stored || taken > kContendedAppend) {
    this->SetGathered(true, is_stored ? "an append was queued behind those of other entries"
                                      : "an append failed");
  }
  if (is_stored) {
    co_return WriteVerdict::kStored;
  }
  co_return outcome.kind == AppendOutcome::Kind::kUnknown ? WriteVerdict::kMayBeStored
                                                          : WriteVerdict::kNotStored;
}

bool JobWriter::MayRelay() const {
  return this->relay != nullptr && this->context.settings.decisions.relays_records &&
         this->context.Now() >= this->next_relay_time;
}

void JobWriter::SetGathered(bool is_gathered, const char* reason) {
  if (this->relay == nullptr || is_gathered == this->is_gathered) {
    return;
  }
  this->is_gathered = is_gathered;
  LogEvent(telemetry::LogLevel::kInfo, is_gathered ? "records_gathered" : "records_written_here",
           reason);
}

asio::awaitable<WriteVerdict> JobWriter::AppendGathered(const std::vector<KeyedRecord>& records) {
  if (!this->is_gathered || !this->MayRelay()) {
    co_return WriteVerdict::kNotStored;
  }
  const TimePoint begin = this->context.Now();
  const WriteVerdict verdict = co_await this->relay->Gather(this->partition, records);
  if (verdict != WriteVerdict::kStored) {
    this->SetGathered(false, "the gathering entry did not store the records");
    // A quick refusal leaves time to relay this append to other entries.
    if (this->context.Now() - begin > kSlowAppend) {
      this->next_relay_time = this->context.Now() + kRelayPause;
    }
  } else if (this->context.Now() - begin < kNormalAppend) {
    this->SetGathered(false, "append latency is back to normal");
  }
  co_return verdict;
}

/// The store may refuse this entry while it serves the others. Without the relay, callers connected
/// to this entry would be refused until the load balancer notices, three seconds later. Duplicates
/// of a record within a partition are harmless, so another entry may write the records even if an
/// attempt of this entry takes effect later.
asio::awaitable<WriteVerdict> JobWriter::AppendRelayed(const std::vector<KeyedRecord>& records) {
  if (!this->MayRelay()) {
    co_return WriteVerdict::kNotStored;
  }
  const WriteVerdict verdict = co_await this->relay->Append(this->partition, records);
  if (verdict != WriteVerdict::kStored) {
    this->next_relay_time = this->context.Now() + kRelayPause;
  }
  this->context.metrics.Count(
      {"chervilspar_records_relayed_total",
       {{"outcome", verdict == WriteVerdict::kStored ? "stored" : "failed"}}});
  co_return verdict;
}

}  // namespace chervilspar::job_entry
