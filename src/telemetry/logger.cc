#include "chervilspar/telemetry/logger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_file_backend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>

namespace chervilspar::telemetry {

namespace {

namespace log = boost::log;

constexpr std::array kLevelNames = {
    std::pair{LogLevel::kDebug, "debug"}, std::pair{LogLevel::kInfo, "info"},
    std::pair{LogLevel::kWarning, "warning"}, std::pair{LogLevel::kError, "error"}};

constexpr std::string_view kMask = "[masked]";
/// How keys begin; see `config_log::GenerateKey`.
constexpr std::string_view kKeyPrefix = "cs_";
/// The shortest text after the prefix that is masked: a cut-off key is still most of a key.
constexpr std::size_t kShortestKeyPart = 16;

/// The settings of the process's log. Written once, before any thread logs.
LogSettings& ProcessSettings() {
  static LogSettings settings;
  return settings;
}

bool IsHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

/// Masks every key in a text.
std::string WithoutKeys(std::string text) {
  std::size_t at = 0;
  while ((at = text.find(kKeyPrefix, at)) != std::string::npos) {
    std::size_t end = at + kKeyPrefix.size();
    while (end < text.size() && IsHexDigit(text[end])) {
      ++end;
    }
    if (end - at >= kKeyPrefix.size() + kShortestKeyPart) {
      text.replace(at, end - at, kMask);
      at += kMask.size();
    } else {
      at = end;
    }
  }
  return text;
}

bool IsSecretName(const std::string& name) {
  return name == "key" || name == "authorization" || name == "Authorization" ||
         name == "operator_key";
}

std::string TimeText() {
  using std::chrono::system_clock;
  const auto now = std::chrono::floor<std::chrono::milliseconds>(system_clock::now());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  const std::time_t time = system_clock::to_time_t(seconds);
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min,
                parts.tm_sec, static_cast<int>((now - seconds).count()));
  return text.data();
}

void AddErrorStreamSink() {
  auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  using Sink = log::sinks::synchronous_sink<log::sinks::text_ostream_backend>;
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
}

/// Lines that wait for standard output: some seconds of an entry under load.
constexpr std::size_t kMostWaiting = 8192;
/// How long the end of the process waits for a reader.
constexpr std::chrono::milliseconds kFlushTime(300);

std::atomic<std::uint64_t> dropped_lines = 0;

/// What a full queue does with a line.
class CountAndDrop {
 protected:
  // Named by Boost.Log.
  template <typename Lock>
  // NOLINTNEXTLINE(readability-identifier-naming)
  static bool on_overflow(const log::record_view&, Lock&) {
    ++dropped_lines;
    return false;
  }
  static void on_queue_space_available() {}  // NOLINT(readability-identifier-naming)
  static void interrupt() {}                 // NOLINT(readability-identifier-naming)
};

using OutputSink =
    log::sinks::asynchronous_sink<log::sinks::text_ostream_backend,
                                  log::sinks::bounded_fifo_queue<kMostWaiting, CountAndDrop>>;

boost::shared_ptr<OutputSink>& ProcessOutput() {
  static boost::shared_ptr<OutputSink> sink;
  return sink;
}

void AddOutputSink() {
  auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  auto sink = boost::make_shared<OutputSink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  ProcessOutput() = sink;
}

void AddFileSink(const std::string& path) {
  auto backend = boost::make_shared<log::sinks::text_file_backend>(
      log::keywords::file_name = path, log::keywords::open_mode = std::ios_base::app,
      log::keywords::auto_flush = true);
  using Sink = log::sinks::synchronous_sink<log::sinks::text_file_backend>;
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  log::core::get()->add_sink(sink);
}

}  // namespace

const char* ToString(LogLevel level) {
  for (const auto& [known, name] : kLevelNames) {
    if (known == level) {
      return name;
    }
  }
  return "info";
}

std::optional<LogLevel> LogLevelFromString(std::string_view name) {
  for (const auto& [level, known] : kLevelNames) {
    if (name == known) {
      return level;
    }
  }
  return std::nullopt;
}

Status SetUpLogging(const LogSettings& settings) {
  if (!settings.path.empty()) {
    std::FILE* file = std::fopen(settings.path.c_str(), "a");
    if (file == nullptr) {
      return Reason{ErrorCode::kInvalidArgument, "--log-file",
                    '"' + settings.path + "\" can't be opened for appending"};
    }
    std::fclose(file);
  }
  ProcessSettings() = settings;
  log::core::get()->remove_all_sinks();
  if (settings.path.empty() && settings.stream == LogStream::kStandardOutput) {
    AddOutputSink();
  } else if (settings.path.empty()) {
    AddErrorStreamSink();
  } else {
    AddFileSink(settings.path);
  }
  return Done{};
}

std::string FormatLogLine(const LogLine& line, const LogSettings& settings,
                          const std::string& time) {
  boost::json::object json{{"time", time},
                           {"level", ToString(line.level)},
                           {"event", line.event},
                           {"entry", settings.entry.text},
                           {"zone", settings.zone.text}};
  if (!line.request.IsEmpty()) {
    json["request_id"] = line.request.text;
  }
  json["message"] = WithoutKeys(line.message);
  if (!line.fields.empty()) {
    boost::json::object fields;
    for (const LogField& field : line.fields) {
      fields[field.name] = IsSecretName(field.name) ? std::string(kMask) : WithoutKeys(field.value);
    }
    json["fields"] = std::move(fields);
  }
  return boost::json::serialize(json);
}

void Log(const LogLine& line) {
  const LogSettings& settings = ProcessSettings();
  if (line.level < settings.min_level) {
    return;
  }
  log::sources::logger logger;
  if (log::record record = logger.open_record()) {
    log::record_ostream stream(record);
    stream << FormatLogLine(line, settings, TimeText());
    stream.flush();
    logger.push_record(std::move(record));
  }
}

void Log(LogLevel level, std::string event, std::string message) {
  LogLine line;
  line.level = level;
  line.event = std::move(event);
  line.message = std::move(message);
  Log(line);
}

void FlushLogging() {
  const boost::shared_ptr<OutputSink> output = ProcessOutput();
  if (output == nullptr) {
    log::core::get()->flush();
    return;
  }
  // A reader that has stopped reading would hold the process for ever.
  const auto is_flushed = std::make_shared<std::atomic<bool>>(false);
  std::thread([output, is_flushed] {
    output->flush();
    *is_flushed = true;
  }).detach();
  const auto give_up = std::chrono::steady_clock::now() + kFlushTime;
  while (!*is_flushed && std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

std::uint64_t DroppedLogLines() { return dropped_lines; }

}  // namespace chervilspar::telemetry
