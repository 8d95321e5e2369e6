#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"

namespace chervilspar::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

const char* ToString(LogLevel level);
std::optional<LogLevel> LogLevelFromString(std::string_view name);

/// A named value in a log line.
struct LogField {
  std::string name;
  std::string value;

  friend bool operator==(const LogField&, const LogField&) = default;
};

/// One line of the log. `event` is a stable name that operators can search for.
struct LogLine {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::string message;
  RequestId request;
  std::vector<LogField> fields;

  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/// Where lines go when no file is named.
enum class LogStream {
  kStandardError,
  /// Written by a thread of its own from a bounded queue, so that a reader that has stopped reading
  /// never holds up a request. Lines that find the queue full are counted and left out.
  kStandardOutput,
};

/// Where the log goes and what is on every line.
struct LogSettings {
  EntryId entry;
  ZoneId zone;
  LogLevel min_level = LogLevel::kInfo;
  /// A file that lines are appended to; empty for `stream`.
  std::string path;
  LogStream stream = LogStream::kStandardError;

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

/// Sets the log up for this process; call once before the first line. Lines are JSON objects with
/// time, level, event, entry, zone, request_id and fields.
Status SetUpLogging(const LogSettings& settings);

/// Writes one line. Thread-safe. Fields whose name speaks of a key or whose value looks like a
/// team's key are masked: a key in a log could be used by anyone who reads logs.
void Log(const LogLine& line);

/// Shorthand for a line without request or fields.
void Log(LogLevel level, std::string event, std::string message);

/// Writes out what is buffered, before the process ends; gives up on a reader that has stopped
/// reading.
void FlushLogging();

/// Lines left out so far, as the queue to standard output was full.
std::uint64_t DroppedLogLines();

/// The text of a line, without the line end; `Log` writes just this.
std::string FormatLogLine(const LogLine& line, const LogSettings& settings,
                          const std::string& time);

}  // namespace chervilspar::telemetry
