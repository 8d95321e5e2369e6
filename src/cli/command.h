#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/cli/main.h"

#include "cli/operator_client.h"

namespace chervilspar::cli {

/// Where a command reads the time and writes its output: answers to `out`, everything else to
/// `err`, so that `out` can be piped on.
struct Console {
  std::ostream& out;
  std::ostream& err;
  const Clock& clock;
};

/// How an answer is printed.
enum class OutputForm { kText, kJson };

struct CheckOptions {
  std::string file;
  /// Check as if it were this time (ISO 8601); empty for now.
  std::string at;
};

struct PublishOptions {
  std::string file;
  /// The version that the file was made from.
  std::optional<std::int64_t> base_version;
};

struct KeyGiveOptions {
  std::string team;
  /// A digest made elsewhere; empty to make a new key.
  std::string digest;
};

struct KeyWithdrawOptions {
  /// One of the two is given.
  std::string digest;
  std::string key_file;
};

struct EntryGoneOptions {
  std::string entry;
};

enum class StatusPart { kSummary, kInventory };

struct ExplainOptions {
  /// "vm", "team" or "request".
  std::string kind;
  std::string id;
};

/// A job's id and the collected logs of entries, also of those that are gone.
struct ExplainJobOptions {
  std::string id;
  std::vector<std::string> logs;
};

/// Says from logs what became of a job; needs no network.
ExitCode RunExplainJob(const ExplainJobOptions& options, const Console& console);
ExitCode RunCheck(const CheckOptions& options, const Console& console);
ExitCode RunPublish(const PublishOptions& options, const OperatorClient& client,
                    const Console& console);
ExitCode RunKeyGive(const KeyGiveOptions& options, const OperatorClient& client,
                    const Console& console);
ExitCode RunKeyWithdraw(const KeyWithdrawOptions& options, const OperatorClient& client,
                        const Console& console);
ExitCode RunEntryGone(const EntryGoneOptions& options, const OperatorClient& client,
                      const Console& console);
ExitCode RunPlan(OutputForm form, const OperatorClient& client, const Console& console);
ExitCode RunStatus(StatusPart part, OutputForm form, const OperatorClient& client,
                   const Console& console);
ExitCode RunExplain(const ExplainOptions& options, const OperatorClient& client,
                    const Console& console);
ExitCode RunTimeline(const OperatorClient& client, const Console& console);

/// Reads a whole file, "-" for standard input.
Result<std::string> ReadFile(const std::string& path);

/// Prints a failed answer and gives its exit code.
ExitCode Fail(const Answer& answer, const Console& console);

}  // namespace chervilspar::cli
