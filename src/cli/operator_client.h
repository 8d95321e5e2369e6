#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/cli/main.h"

#include "cli/entry_connection.h"

namespace chervilspar::cli {

/// Whom to talk to, and as whom.
struct OperatorOptions {
  /// Entries' HTTP addresses, tried in this order.
  std::vector<std::string> entries;
  std::string operator_key;
  Duration timeout = std::chrono::seconds(30);

  friend bool operator==(const OperatorOptions&, const OperatorOptions&) = default;
};

/// One call as its command sees it.
struct Answer {
  /// The entry that answered, or was asked last.
  std::string address;
  /// Zero when no whole answer came.
  unsigned status = 0;
  std::string body;
  /// Whether the call may have taken effect although no answer came.
  Verdict verdict = Verdict::kNotRun;
  /// What went wrong when there is no answer.
  Reason reason;

  bool IsOk() const { return this->status == 200; }
  /// The body as JSON; null when it is none.
  boost::json::value Json() const;
  /// The exit code that fits an answer other than 200, or none at all.
  ExitCode FailureCode() const;
  /// One sentence on what went wrong.
  std::string FailureText() const;

  friend bool operator==(const Answer&, const Answer&) = default;
};

/// Makes operators' calls.
class OperatorClient {
 public:
  OperatorClient(EntryConnection& connection, OperatorOptions options)
      : connection(connection), options(std::move(options)) {}

  /// Asks one entry.
  Answer Call(const std::string& address, const std::string& method, const std::string& target,
              const std::string& body = "") const;

  /// Asks one entry after another until one answers. A call that may have taken effect is never
  /// made again elsewhere.
  Answer CallAny(const std::string& method, const std::string& target,
                 const std::string& body = "") const;

  const std::vector<std::string>& Entries() const { return this->options.entries; }

 private:
  EntryConnection& connection;
  OperatorOptions options;
};

}  // namespace chervilspar::cli
