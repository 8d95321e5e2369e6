#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scenario {

/// The words that a pattern's placeholders stand for, in order.
using Arguments = std::vector<std::string>;
using Action = std::function<Status(const Arguments&)>;

/// One line of a script.
struct ScriptLine {
  int number = 0;
  std::string text;
  /// From `at TIME`: not before this long after the last `clock starts`, or the script's start.
  std::optional<Duration> at;
  /// From `within TIME`: tried again until it holds or this has passed.
  std::optional<Duration> within;
  /// Parts separated by `|` after `together`, done at once; else one part.
  std::vector<std::vector<std::string>> parts;
};

/// "250ms", "3s" or "2m".
Result<Duration> ParseSpan(const std::string& text);

/// Lines of a script; `#` starts a comment, and empty lines are left out.
Result<std::vector<ScriptLine>> ParseScript(const std::string& text);

/// The statements that a script may use. A pattern is words, `<placeholders>`, and at its end
/// perhaps `...` for any further words.
class Vocabulary {
 public:
  Vocabulary();
  void Add(const std::string& pattern, Action action);
  /// The first line that no pattern fits, as a reason with its number.
  Status Check(const std::vector<ScriptLine>& script) const;
  /// Does one part of a line.
  Status Run(const std::vector<std::string>& words) const;
  /// All patterns, one a line.
  std::string Help() const;

 private:
  struct Entry {
    std::vector<std::string> pattern;
    Action action;
  };

  const Entry* Find(const std::vector<std::string>& words, Arguments& arguments) const;

  std::vector<Entry> entries;
};

/// Runs a script line by line and prints what it does; stops at the first line that fails.
Status RunScript(const std::vector<ScriptLine>& script, const Vocabulary& vocabulary);

}  // namespace chervilspar::scenario
