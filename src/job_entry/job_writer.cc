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
/// Submissions in one append: with 4,000 bytes of payload each still far below the store's limit
/// of 2 MiB for one call.
constexpr std::size_t kMostTogether = 100;
/// After no other entry could write either. In an outage of the whole store, entries would else
/// press on each other with every submission.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);
/// An append takes 4 ms and its way; above the one the store counts as slow, below the other as
/// usual again.
constexpr Duration kSlowAppend = std::chrono::milliseconds(150);
constexpr Duration kUsualAppend = std::chrono::milliseconds(50);
/// Longer than all tries together.
constexpr Duration kGiveUp = std::chrono::seconds(10);

}  // namespace

std::string SubmissionKey(const jobs::JobId& id) { return jobs::ToString(id); }

std::string CancellationKey(const jobs::JobId& id) { return jobs::ToString(id) + "/cancelled"; }

JobWriter::JobWriter(const Context& context, RecordRelay* relay)
    : context(context),
      relay(relay),
      partition(static_cast<std::uint32_t>(StableHash(context.settings.id.text) %
                                           context.settings.job_partitions)),
      wakeup(std::make_shared<http::Wakeup>(context.io.get_executor())) {}

asio::awaitable<WriteVerdict> JobWriter::Write(KeyedRecord record) {
  const auto entry = std::make_shared<Waiting>();
  entry->record = std::move(record);
  entry->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  this->waiting.push_back(entry);
  this->wakeup->Notify();
  while (!entry->verdict) {
    co_await entry->wakeup->WaitFor(kGiveUp);
  }
  co_return *entry->verdict;
}

asio::awaitable<void> JobWriter::Run([[maybe_unused]] std::shared_ptr<JobWriter> self) {
  while (true) {
    while (this->waiting.empty()) {
      co_await this->wakeup->WaitFor(kGiveUp);
    }
    std::vector<std::shared_ptr<Waiting>> together;
    std::vector<KeyedRecord> records;
    while (!this->waiting.empty() && together.size() < kMostTogether) {
      together.push_back(this->waiting.front());
      records.push_back(together.back()->record);
      this->waiting.pop_front();
    }
    const TimePoint begin = this->context.Now();
    const WriteVerdict verdict = co_await this->Append(std::move(records));
    this->NoteTime(this->context.Now() - begin);
    for (const std::shared_ptr<Waiting>& entry : together) {
      entry->verdict = verdict;
      entry->wakeup->Notify();
    }
  }
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
    const Duration left = std::max<Duration>(give_up - this->context.Now(), kTryPause);
    const AppendOutcome outcome = co_await this->context.links.store->Append(
        Topic::kJobs, this->partition, records, std::nullopt, std::min(kAppendTimeout, left));
    if (outcome.kind == AppendOutcome::Kind::kStored) {
      co_return WriteVerdict::kStored;
    }
    may_be_stored = may_be_stored || outcome.kind == AppendOutcome::Kind::kUnknown;
    const WriteVerdict elsewhere = co_await this->AppendElsewhere(records);
    if (elsewhere == WriteVerdict::kStored) {
      co_return elsewhere;
    }
    may_be_stored = may_be_stored || elsewhere == WriteVerdict::kMayBeStored;
    if (!may_be_stored) {
      co_return WriteVerdict::kNotStored;
    }
    if (this->context.Now() + kTryPause >= give_up) {
      co_return WriteVerdict::kMayBeStored;
    }
    co_await Pause(this->context, kTryPause);
  }
}

/// What can go wrong: the store turns this entry away while it serves the others. Callers whose
/// connections are here are refused until the balancer has noticed, three seconds later. The same
/// records in the same partition are harmless twice, so another entry may write them even if a try
/// of this one takes effect later.
asio::awaitable<WriteVerdict> JobWriter::AppendElsewhere(const std::vector<KeyedRecord>& records) {
  const bool may_ask = this->relay != nullptr && this->context.settings.decisions.relays_records;
  if (!may_ask || this->context.Now() < this->relay_again) {
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
