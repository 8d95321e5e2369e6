#include "script.h"

#include <charconv>
#include <cstdio>
#include <future>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace chervilspar::scenario {

namespace {

constexpr std::chrono::milliseconds kPollInterval(50);
/// The line from which on `at` counts; without it that is the script's first line.
constexpr const char* kClockStarts = "clock starts";

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

bool IsPlaceholder(const std::string& word) { return word.front() == '<' && word.back() == '>'; }

bool Fits(const std::vector<std::string>& pattern, const std::vector<std::string>& words,
          Arguments& arguments) {
  arguments.clear();
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == "...") {
      arguments.insert(arguments.end(), words.begin() + static_cast<std::ptrdiff_t>(i),
                       words.end());
      return true;
    }
    if (i >= words.size()) {
      return false;
    }
    if (IsPlaceholder(pattern[i])) {
      arguments.push_back(words[i]);
    } else if (pattern[i] != words[i]) {
      return false;
    }
  }
  return pattern.size() == words.size();
}

Reason AtLine(int number, const std::string& message) {
  return {ErrorCode::kInvalidArgument, "line " + std::to_string(number), message};
}

Result<ScriptLine> ParseLine(int number, std::vector<std::string> words) {
  ScriptLine line;
  line.number = number;
  line.text = Join(words);
  if (words.size() > 2 && words[0] == "at") {
    const Result<Duration> at = ParseSpan(words[1]);
    if (!at) {
      return AtLine(number, at.LastReason().message);
    }
    line.at = *at;
    words.erase(words.begin(), words.begin() + 2);
  }
  if (words.size() > 2 && words[words.size() - 2] == "within") {
    const Result<Duration> within = ParseSpan(words.back());
    if (!within) {
      return AtLine(number, within.LastReason().message);
    }
    line.within = *within;
    words.resize(words.size() - 2);
  }
  const bool is_together = words.front() == "together";
  line.parts.emplace_back();
  for (std::size_t i = is_together ? 1 : 0; i < words.size(); ++i) {
    if (is_together && words[i] == "|") {
      line.parts.emplace_back();
    } else {
      line.parts.back().push_back(words[i]);
    }
  }
  return line;
}

/// Does a part, again and again where the line allows it time.
Status RunPart(const std::vector<std::string>& part, const std::optional<Duration>& within,
               const Vocabulary& vocabulary) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + within.value_or(Duration::zero());
  Status status = vocabulary.Run(part);
  while (!status && clock.Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    status = vocabulary.Run(part);
  }
  return status;
}

/// The first part runs on this thread: the kernel ends a child when the thread that started it
/// ends, so processes are only started by lines of one part or by a first part.
Status RunLine(const ScriptLine& line, const Vocabulary& vocabulary) {
  std::vector<std::future<Status>> others;
  for (std::size_t i = 1; i < line.parts.size(); ++i) {
    others.push_back(std::async(std::launch::async, [&line, i, &vocabulary] {
      return RunPart(line.parts[i], line.within, vocabulary);
    }));
  }
  Status status = RunPart(line.parts.front(), line.within, vocabulary);
  for (std::future<Status>& other : others) {
    Status other_status = other.get();
    if (status && !other_status) {
      status = other_status;
    }
  }
  return status;
}

}  // namespace

Result<Duration> ParseSpan(const std::string& text) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string unit(end, text.data() + text.size());
  if (error == std::errc() && number >= 0) {
    if (unit == "ms") {
      return Duration(std::chrono::milliseconds(number));
    }
    if (unit == "s") {
      return Duration(std::chrono::seconds(number));
    }
    if (unit == "m") {
      return Duration(std::chrono::minutes(number));
    }
  }
  return Reason{ErrorCode::kInvalidArgument, "",
                "'" + text + "' is not a time such as 250ms or 3s"};
}

Result<std::vector<ScriptLine>> ParseScript(const std::string& text) {
  std::vector<ScriptLine> script;
  std::istringstream stream(text);
  std::string raw;
  for (int number = 1; std::getline(stream, raw); ++number) {
    std::vector<std::string> words = Words(raw.substr(0, raw.find('#')));
    if (words.empty()) {
      continue;
    }
    Result<ScriptLine> line = ParseLine(number, std::move(words));
    if (!line) {
      return line.LastReason();
    }
    script.push_back(*line);
  }
  return script;
}

Vocabulary::Vocabulary() {
  this->Add(kClockStarts, [](const Arguments&) { return Status(Done{}); });
}

void Vocabulary::Add(const std::string& pattern, Action action) {
  this->entries.push_back({Words(pattern), std::move(action)});
}

const Vocabulary::Entry* Vocabulary::Find(const std::vector<std::string>& words,
                                          Arguments& arguments) const {
  for (const Entry& entry : this->entries) {
    if (Fits(entry.pattern, words, arguments)) {
      return &entry;
    }
  }
  return nullptr;
}

Status Vocabulary::Check(const std::vector<ScriptLine>& script) const {
  Arguments unused;
  if (script.empty() || script.front().parts.front().front() != "fleet") {
    return AtLine(1, "a script begins with 'fleet'");
  }
  for (const ScriptLine& line : script) {
    for (const std::vector<std::string>& part : line.parts) {
      if (part.empty() || this->Find(part, unused) == nullptr) {
        return AtLine(line.number, "'" + Join(part) + "' is not a statement");
      }
    }
  }
  return Done{};
}

Status Vocabulary::Run(const std::vector<std::string>& words) const {
  Arguments arguments;
  const Entry* entry = this->Find(words, arguments);
  if (entry == nullptr) {
    return Reason{ErrorCode::kInvalidArgument, "", "'" + Join(words) + "' is not a statement"};
  }
  try {
    return entry->action(arguments);
  } catch (const std::out_of_range&) {
    return Reason{ErrorCode::kNotFound, "", "'" + Join(words) + "' names what is not in the fleet"};
  }
}

std::string Vocabulary::Help() const {
  std::string help;
  for (const Entry& entry : this->entries) {
    help += Join(entry.pattern) + "\n";
  }
  return help;
}

Status RunScript(const std::vector<ScriptLine>& script, const Vocabulary& vocabulary) {
  const SystemClock clock;
  TimePoint start = clock.Now();
  for (const ScriptLine& line : script) {
    if (line.text == kClockStarts) {
      start = clock.Now();
    }
    if (line.at && clock.Now() < start + *line.at) {
      std::this_thread::sleep_for(start + *line.at - clock.Now());
    }
    const std::chrono::duration<double> elapsed = clock.Now() - start;
    std::printf("%7.3f s  %s\n", elapsed.count(), line.text.c_str());
    std::fflush(stdout);
    const Status status = RunLine(line, vocabulary);
    if (!status) {
      return AtLine(line.number, line.text + ": " + ToString(status.LastReason()));
    }
  }
  return Done{};
}

}  // namespace chervilspar::scenario
