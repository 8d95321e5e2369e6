#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::platform {

/// What came of an append. `kMayHaveRun` means that the record may be in the log although no
/// answer came; the writer finds out by reading on, and the record's id makes a repeat harmless.
struct AppendOutcome {
  Verdict verdict = Verdict::kNotRun;
  /// Where the record stands; there when `verdict` is `kCompleted`.
  std::optional<config_log::Offset> offset;
  /// Why it is not known to be in the log.
  Reason reason;

  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// One record as it stands in the log.
struct LogRecord {
  config_log::Offset offset = 0;
  std::string data;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// What a read gave.
enum class ReadKind {
  /// `records` are the records from the asked offset on, without a hole; none when there are none
  /// yet.
  kRecords,
  /// The asked offset is older than the oldest retained record (`first`): a gap that only a
  /// snapshot or a peer can fill.
  kGap,
};

/// Answer of the log to a read.
struct ReadBatch {
  ReadKind kind = ReadKind::kRecords;
  /// Offset of the oldest retained record.
  config_log::Offset first = 0;
  /// Offset that the next appended record will have.
  config_log::Offset next = 0;
  std::vector<LogRecord> records;

  friend bool operator==(const ReadBatch&, const ReadBatch&) = default;
};

/// The platform's append-only log. Calls block; every one ends within its timeout. Safe to use
/// from several threads.
class LogService {
 public:
  virtual ~LogService() = default;
  /// Appends one record (UTF-8, at most 1 MiB).
  virtual AppendOutcome Append(std::string_view data, Duration timeout) = 0;
  /// Reads at most `max` records from offset `from` on, waiting up to `wait` for the first. An
  /// answer whose records don't follow each other from `from` on is an error (`kMalformed`) and
  /// nothing of it is given out.
  virtual Result<ReadBatch> Read(config_log::Offset from, std::size_t max, Duration wait,
                                 Duration timeout) = 0;
};

}  // namespace chervilspar::platform
