#include "cli/command.h"

namespace chervilspar::cli {

ExitCode RunEntryGone(const EntryGoneOptions& options, const OperatorClient& client,
                      const Console& console) {
  const Answer answer =
      client.CallAny("POST", "/v1/operator/entries/" + options.entry + "/gone", "{}");
  if (!answer.IsOk()) {
    return Fail(answer, console);
  }
  console.out << "entry " << options.entry << " is gone for good; its part of each limit is free\n";
  return ExitCode::kOk;
}

}  // namespace chervilspar::cli
