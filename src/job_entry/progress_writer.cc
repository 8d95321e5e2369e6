#include "job_entry/progress_writer.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// For one append; a retry gets the response of the first attempt if that took effect.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(900);
constexpr Duration kInitialPause = std::chrono::milliseconds(30);
constexpr Duration kMaxPause = std::chrono::milliseconds(300);
/// All owners write under one writer name, so that the token of one fences the others.
constexpr const char* kWriterName = "owner";

}  // namespace

ProgressWriter::ProgressWriter(const Context& context, std::uint64_t token)
    : context(context), token(token), last_proof(context.Now()) {}

asio::awaitable<FencedWrite> ProgressWriter::Announce(const bool& is_stopped) {
  const std::vector<KeyedRecord> none;
  co_return co_await this->Write(none, is_stopped);
}

asio::awaitable<FencedWrite> ProgressWriter::Write(const std::vector<KeyedRecord>& records,
                                                   const bool& is_stopped) {
  Duration pause = kInitialPause;
  while (!is_stopped) {
    const TimePoint sent = this->context.Now();
    const Writer writer{kWriterName, this->token, this->sequence};
    const AppendOutcome outcome = co_await this->context.links.store->Append(
        Topic::kProgress, 0, records, writer, kAppendTimeout);
    switch (outcome.kind) {
      case AppendOutcome::Kind::kStored:
        this->last_proof = sent;
        this->sequence += records.empty() ? 0 : 1;
        co_return FencedWrite::kStored;
      case AppendOutcome::Kind::kFenced:
        co_return FencedWrite::kSuperseded;
      case AppendOutcome::Kind::kOutOfSequence:
        LogEvent(telemetry::LogLevel::kWarning, "sequence_corrected",
                 "the store expects another sequence number",
                 {{"sent", std::to_string(this->sequence)},
                  {"expected", std::to_string(outcome.expected)}});
        this->sequence = outcome.expected;
        continue;
      case AppendOutcome::Kind::kRejected:
        co_return FencedWrite::kRejected;
      case AppendOutcome::Kind::kEndMismatch:
      case AppendOutcome::Kind::kNotStored:
      case AppendOutcome::Kind::kUnknown:
        this->context.metrics.Count({"chervilspar_progress_retries_total", {}});
        break;
    }
    co_await Pause(this->context, pause);
    pause = std::min(pause * 2, kMaxPause);
  }
  co_return FencedWrite::kStopped;
}

}  // namespace chervilspar::job_entry
