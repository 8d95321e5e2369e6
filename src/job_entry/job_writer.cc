#include "job_entry/job_writer.h"

#include <algorithm>

#include "chervilspar/base/hash.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// For one append: it takes 4 ms, and some hundred while the store is slow.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1100);
/// An append that may have been done is tried again for this long. Callers wait 3 s; told earlier
/// that it may have run, they ask again at once and have used up their tries before a store that
/// resets connections for some seconds is back.
constexpr Duration kTryFor = std::chrono::milliseconds(2000);
constexpr Duration kTryPause = std::chrono::milliseconds(120);
/// After no other entry could write either. In an outage of the whole store, entries would else
/// press on each other with every submission.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);
/// An append takes 4 ms and its way; above the one the store counts as slow, below the other as
/// usual again.
constexpr Duration kSlowAppend = std::chrono::milliseconds(150);
constexpr Duration kUsualAppend = std::chrono::milliseconds(50);
/// An append that took longer waited behind those of other entries: alone it takes some hundred
/// milliseconds in a slow store.
constexpr Duration kCrowdedAppend = std::chrono::milliseconds(600);

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

/// Callers whose jobs began late ask why; a slow store holds up the acceptance, and so the VMs that
/// the demand would call for.
void JobWriter::NoteTime(Duration taken) {
  const bool is_slow = taken > (this->is_slow ? kUsualAppend : kSlowAppend);
  if (is_slow != this->is_slow) {
    this->is_slow = is_slow;
    LogEvent(is_slow ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo,
             is_slow ? "store_slow" : "store_usual",
             is_slow ? "an append of submissions took long" : "appends are quick again",
             {{"took_ms", MillisecondsText(taken)}});
  }
}

asio::awaitable<WriteVerdict> JobWriter::Append(std::vector<KeyedRecord> records) {
  const TimePoint give_up = this->context.Now() + kTryFor;
  bool may_be_stored = false;
  while (true) {
    // A repeat is harmless: the same keys get the same values.
    const WriteVerdict gathered = co_await this->AppendGathered(records);
    const Duration left = std::max<Duration>(give_up - this->context.Now(), kTryPause);
    const WriteVerdict here =
        gathered == WriteVerdict::kStored ? gathered : co_await this->AppendHere(records, left);
    const WriteVerdict elsewhere =
        here == WriteVerdict::kStored ? here : co_await this->AppendElsewhere(records);
    if (elsewhere == WriteVerdict::kStored) {
      co_return elsewhere;
    }
    for (const WriteVerdict verdict : {gathered, here, elsewhere}) {
      may_be_stored = may_be_stored || verdict == WriteVerdict::kMayBeStored;
    }
    if (!may_be_stored) {
      co_return WriteVerdict::kNotStored;
    }
    if (this->context.Now() + kTryPause >= give_up) {
      co_return WriteVerdict::kMayBeStored;
    }
    co_await Pause(this->context, kTryPause);
  }
}

asio::awaitable<WriteVerdict> JobWriter::AppendHere(std::vector<KeyedRecord> records,
                                                    Duration timeout) {
  const TimePoint begin = this->context.Now();
  const AppendOutcome outcome =
      co_await this->context.links.store->Append(Topic::kJobs, this->partition, std::move(records),
                                                 std::nullopt, std::min(kAppendTimeout, timeout));
  const Duration taken = this->context.Now() - begin;
  this->NoteTime(taken);
  const bool is_stored = outcome.kind == AppendOutcome::Kind::kStored;
  if (!is_stored || taken > kCrowdedAppend) {
    this->SetGathered(true, is_stored ? "an append waited behind others" : "an append failed");
  }
  if (is_stored) {
    co_return WriteVerdict::kStored;
  }
  co_return outcome.kind == AppendOutcome::Kind::kUnknown ? WriteVerdict::kMayBeStored
                                                          : WriteVerdict::kNotStored;
}

bool JobWriter::MayAskOthers() const {
  return this->relay != nullptr && this->context.settings.decisions.relays_records &&
         this->context.Now() >= this->relay_again;
}

void JobWriter::SetGathered(bool is_gathered, const char* why) {
  if (this->relay == nullptr || is_gathered == this->is_gathered) {
    return;
  }
  this->is_gathered = is_gathered;
  LogEvent(telemetry::LogLevel::kInfo, is_gathered ? "records_gathered" : "records_written_here",
           why);
}

asio::awaitable<WriteVerdict> JobWriter::AppendGathered(const std::vector<KeyedRecord>& records) {
  if (!this->is_gathered || !this->MayAskOthers()) {
    co_return WriteVerdict::kNotStored;
  }
  const TimePoint begin = this->context.Now();
  const WriteVerdict verdict = co_await this->relay->Gather(this->partition, records);
  if (verdict != WriteVerdict::kStored) {
    this->SetGathered(false, "the entry that gathers has not stored them");
    // A quick refusal leaves time to ask others for this append.
    if (this->context.Now() - begin > kSlowAppend) {
      this->relay_again = this->context.Now() + kRelayPause;
    }
  } else if (this->context.Now() - begin < kUsualAppend) {
    this->SetGathered(false, "appends are quick again");
  }
  co_return verdict;
}

/// What can go wrong: the store turns this entry away while it serves the others. Callers whose
/// connections are here are refused until the balancer has noticed, three seconds later. The same
/// records in the same partition are harmless twice, so another entry may write them even if a try
/// of this one takes effect later.
asio::awaitable<WriteVerdict> JobWriter::AppendElsewhere(const std::vector<KeyedRecord>& records) {
  if (!this->MayAskOthers()) {
    co_return WriteVerdict::kNotStored;
  }
  const WriteVerdict verdict = co_await this->relay->Append(this->partition, records);
  if (verdict != WriteVerdict::kStored) {
    this->relay_again = this->context.Now() + kRelayPause;
  }
  this->context.metrics.Count(
      {"chervilspar_records_relayed_total",
       {{"outcome", verdict == WriteVerdict::kStored ? "stored" : "failed"}}});
  co_return verdict;
}

}  // namespace chervilspar::job_entry
