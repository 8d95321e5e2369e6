#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Added to the time that a read may wait at the store: an answer takes 4 ms, and 240 ms when the
/// store is slow.
constexpr Duration kReadMargin = std::chrono::milliseconds(900);
constexpr Duration kNewestTimeout = std::chrono::milliseconds(2000);
/// The pause between attempts while the store doesn't answer. It is short, since users of the proof
/// wait while the tail lags, and long enough that nine entries don't overload a recovering store.
constexpr Duration kRetryPause = std::chrono::milliseconds(150);

}  // namespace

RecordTail::RecordTail(const Context& context, Options options, RecordListener& listener)
    : context(context),
      options(options),
      listener(listener),
      wait(options.wait),
      next(options.from) {}

void RecordTail::Start() { Spawn(this->context, this->Run(this->shared_from_this())); }

void RecordTail::Stop() { this->is_stopped = true; }

bool RecordTail::IsFresh(Duration limit) const {
  return this->proof && this->context.Now() - *this->proof < limit;
}

asio::awaitable<void> RecordTail::Run([[maybe_unused]] std::shared_ptr<RecordTail> self) {
  while (!this->is_stopped) {
    bool is_answered = false;
    if (this->next) {
      is_answered = co_await this->ReadOn();
    } else {
      is_answered = co_await this->Resync();
    }
    if (!is_answered && !this->is_stopped) {
      co_await Pause(this->context, kRetryPause);
    }
  }
}

asio::awaitable<bool> RecordTail::Resync() {
  const TimePoint sent = this->context.Now();
  const Result<NewestOutcome> newest = co_await this->context.links.store->ReadNewest(
      this->options.topic, this->options.partition, kNewestTimeout);
  if (this->is_stopped) {
    co_return false;
  }
  this->NoteOutcome(newest.HasValue(), newest ? "" : ToString(newest.LastReason()));
  if (!newest) {
    co_return false;
  }
  this->next = newest->next;
  this->listener.OnNewest(newest->records);
  this->proof = sent;
  co_return true;
}

asio::awaitable<bool> RecordTail::ReadOn() {
  const TimePoint sent = this->context.Now();
  const Duration waited = this->wait;
  const Result<ReadOutcome> read =
      co_await this->context.links.store->Read(this->options.topic, this->options.partition,
                                               *this->next, this->wait, this->wait + kReadMargin);
  if (this->is_stopped) {
    co_return false;
  }
  this->NoteOutcome(read.HasValue(), read ? "" : ToString(read.LastReason()));
  if (!read) {
    co_return false;
  }
  if (read->has_gap) {
    LogEvent(telemetry::LogLevel::kWarning, "records_skipped",
             "the store deleted records before they were read; reading the newest of each key");
    this->next.reset();
    co_return true;
  }
  this->next = read->next;
  const bool has_news = !read->records.empty();
  if (has_news) {
    this->listener.OnRecords(read->records);
  }
  if (read->is_at_end) {
    const bool has_waited = read->records.empty() && this->context.Now() - sent >= waited;
    this->proof = this->options.extends_proof_by_wait && has_waited ? sent + waited : sent;
    if (has_news && this->options.gather > Duration::zero()) {
      co_await Pause(this->context, this->options.gather);
    }
  }
  co_return true;
}

void RecordTail::NoteOutcome(bool is_answered, const std::string& reason) {
  if (is_answered == !this->is_store_lost) {
    return;
  }
  this->is_store_lost = !is_answered;
  if (is_answered) {
    this->listener.OnStoreRecovered();
  }
  LogEvent(is_answered ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
           is_answered ? "store_regained" : "store_lost",
           is_answered ? "the store answers again" : reason,
           {{"topic", std::to_string(static_cast<int>(this->options.topic))}});
}

}  // namespace chervilspar::job_entry
