#include "cli/command.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "chervilspar/inventory/document.h"

#include "cli/json_view.h"

namespace chervilspar::cli {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) {
      return Reason{ErrorCode::kNotFound, path, "the file can't be read"};
    }
  }
  std::istream& in = path == "-" ? std::cin : file;
  std::string text;
  char c = 0;
  // One byte beyond the largest document is enough for its reader to say that it is too large.
  while (text.size() <= inventory::kMaxDocumentBytes && in.get(c)) {
    text += c;
  }
  return text;
}

ExitCode Fail(const Answer& answer, const Console& console) {
  console.err << "chervilspar: " << answer.FailureText() << "\n";
  const boost::json::value json = answer.Json();
  for (const JsonView& fault : JsonView(json).At("faults").Rows()) {
    console.err << "  " << fault.At("field").Text() << ": " << fault.At("message").Text() << "\n";
  }
  return answer.FailureCode();
}

}  // namespace chervilspar::cli
