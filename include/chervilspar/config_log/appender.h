#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/record.h"

namespace chervilspar::config_log {

/// How hard an appender tries.
struct AppendPolicy {
  /// Appends a second of one entry, on average and in a burst: nine entries stay under the several
  /// hundred a second that the platform takes from all.
  double rate_per_second = 20.0;
  double burst = 40.0;
  /// An answer that takes longer counts as lost.
  Duration answer_timeout = std::chrono::seconds(2);
  Duration first_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(2);
  /// Records waiting at most; more are refused at once.
  std::size_t max_waiting = 4096;

  friend bool operator==(const AppendPolicy&, const AppendPolicy&) = default;
};

/// How an append ended, as far as this entry can know.
enum class AppendResult {
  /// Read back and in force.
  kAccepted,
  /// Read back and rejected by the fold.
  kRejected,
  /// Never handed to the log; it can't take effect.
  kNotAppended,
  /// May be in the log and has not been read back by the deadline.
  kUnknown,
};

const char* ToString(AppendResult result);

/// A finished append.
struct AppendOutcome {
  RecordId record;
  AppendResult result = AppendResult::kUnknown;
  /// Where it was read back; -1 when it wasn't.
  Offset offset = -1;
  ConfigVersion version = 0;
  std::optional<Reason> reason;

  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// What an appender wants done.
struct AppendActions {
  /// To be sent to the log now, each once.
  std::vector<Record> send;
  std::vector<AppendOutcome> finished;

  friend bool operator==(const AppendActions&, const AppendActions&) = default;
};

/// Decides when records go to the log and when they are done. An append whose answer was lost may
/// have taken effect, so it is repeated with the same id, which the fold drops; it is done only
/// when it has been read back.
class Appender {
 public:
  explicit Appender(AppendPolicy policy) : policy(policy), tokens(policy.burst) {}

  /// Queues the records of one publish, step or key; `subject` is the id that outcomes name.
  AppendActions Submit(const RecordId& subject, std::vector<Record> records, TimePoint deadline,
                       TimePoint now);

  /// The log took the record at `offset`; it still has to be read back.
  void OnAnswer(const RecordId& record, Offset offset);

  /// The append failed or its answer was lost.
  void OnFailure(const RecordId& record, TimePoint now, Random& random);

  /// A record was folded.
  AppendActions OnFolded(const FoldOutcome& outcome, TimePoint now);

  /// Sends what is due and gives up what is late.
  AppendActions OnTick(TimePoint now);

  /// When `OnTick` has something to do next, if ever.
  std::optional<TimePoint> NextTick() const;

  std::size_t Waiting() const { return this->entries.size(); }

 private:
  enum class SendState { kQueued, kInFlight, kAppended };

  struct Entry {
    RecordId subject;
    Record record;
    SendState state = SendState::kQueued;
    /// Whether any send may have taken effect.
    bool sent_before = false;
    std::uint32_t failures = 0;
    TimePoint due;
    TimePoint deadline;
  };

  void Refill(TimePoint now);
  void SendDue(TimePoint now, AppendActions& actions);
  void ExpireLate(TimePoint now, AppendActions& actions);
  void Finish(const RecordId& subject);

  AppendPolicy policy;
  double tokens = 0;
  std::optional<TimePoint> refilled_at;
  /// In the order of submission.
  std::vector<Entry> entries;
};

}  // namespace chervilspar::config_log
