#include "chervilspar/cli/main.h"

#include <exception>
#include <iostream>

#include "chervilspar/entry/run_entry.h"

#include "cli/program.h"

namespace chervilspar::cli {

namespace {

class ProcessRunner final : public CommandRunner {
 public:
  ExitCode Entry(const entry::EntrySettings& settings) override {
    return static_cast<ExitCode>(entry::RunEntry(settings));
  }

  Result<std::unique_ptr<EntryConnection>> Connect(
      const std::vector<std::string>& routes) override {
    return MakeHttpConnection(routes);
  }
};

}  // namespace

int Main(int argc, char** argv) {
  const SystemClock clock;
  const Console console{std::cout, std::cerr, clock};
  ProcessRunner runner;
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(RunProgram(arguments, runner, console));
  } catch (const std::exception& error) {
    std::cerr << "chervilspar: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kInternal);
  }
}

}  // namespace chervilspar::cli
