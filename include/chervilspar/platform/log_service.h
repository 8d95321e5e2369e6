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

/// Result of an append. `kMayHaveRun` means that the record may be in the log although no valid
/// answer was received; the writer finds out by reading on, and the record's id makes a repeated
/// append harmless.
struct AppendOutcome {
  Verdict verdict = Verdict::kNotRun;
  /// Offset of the record; set when `verdict` is `kCompleted`.
  std::optional<config_log::Offset> offset;
  /// Why the record is not known to be in the log.
  Reason reason;

  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// A record of the log and its offset.
struct LogRecord {
  config_log::Offset offset = 0;
  std::string data;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Kind of answer to a read.
enum class ReadKind {
  /// `records` holds consecutive records from the requested offset on; it is empty when there are
  /// none yet.
  kRecords,
  /// The requested offset is older than the oldest retained record (`first`). Only a snapshot or a
  /// peer can supply the missing records.
  kGap,
};

/// The log's answer to a read.
struct ReadBatch {
  ReadKind kind = ReadKind::kRecords;
  /// Offset of the oldest retained record.
  config_log::Offset first = 0;
  /// Offset of the next record to be appended.
  config_log::Offset next = 0;
  std::vector<LogRecord> records;

  friend bool operator==(const ReadBatch&, const ReadBatch&) = default;
};

/// The platform's append-only log. Calls block, at most until their timeout. Thread-safe.
class LogService {
 public:
  virtual ~LogService() = default;
  /// Appends one record (UTF-8, at most 1 MiB).
  virtual AppendOutcome Append(std::string_view data, Duration timeout) = 0;
  /// Reads at most `max` records from offset `from` on, waiting up to `wait` for the first. An
  /// answer whose records aren't consecutive from `from` on is rejected as a whole (`kMalformed`).
  virtual Result<ReadBatch> Read(config_log::Offset from, std::size_t max, Duration wait,
                                 Duration timeout) = 0;
};

}  // namespace chervilspar::platform
