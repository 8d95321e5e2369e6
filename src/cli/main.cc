#include "chervilspar/cli/main.h"

#include <exception>
#include <iostream>

#include "chervilspar/entry/run_entry.h"

#include "cli/program.h"

namespace chervilspar::cli {

namespace {

class ProcessRunner final : public CommandRunner {
 public:
  explicit ProcessRunner(job_entry::LinkFactory& links) : links(links) {}

  ExitCode JobEntry(const job_entry::JobEntrySettings& settings) override {
    return static_cast<ExitCode>(job_entry::RunJobEntry(settings, this->links));
  }

  ExitCode Entry(const entry::EntrySettings& settings) override {
    return static_cast<ExitCode>(entry::RunEntry(settings));
  }

  Result<std::unique_ptr<EntryConnection>> Connect(
      const std::vector<std::string>& routes) override {
    return MakeHttpConnection(routes);
  }

 private:
  job_entry::LinkFactory& links;
};

}  // namespace

int Main(int argc, char** argv, job_entry::LinkFactory& links) {
  const SystemClock clock;
  const Console console{std::cout, std::cerr, clock};
  ProcessRunner runner(links);
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(RunProgram(arguments, runner, console));
  } catch (const std::exception& error) {
    std::cerr << "chervilspar: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kInternal);
  }
}

}  // namespace chervilspar::cli
