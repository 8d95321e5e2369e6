#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "chervilspar/base/time.h"

namespace chervilspar::scenario {

/// Where a process's output is appended to; both may name the same file.
struct OutputFiles {
  std::string output;
  std::string errors;
};

/// A process started by the runner; ended with it. Only its own process id is ever signalled.
class ChildProcess {
 public:
  /// Starts `arguments[0]`. `environment` are NAME=VALUE additions.
  ChildProcess(const std::vector<std::string>& arguments, const OutputFiles& files,
               const std::vector<std::string>& environment = {});
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t Pid() const { return this->pid; }
  void Signal(int signal);
  bool IsRunning();
  /// The exit code once it has ended, negative for a signal; empty after `timeout`.
  std::optional<int> WaitForExit(Duration timeout);
  /// Processor time used so far, user and system.
  Duration CpuTime() const;
  std::size_t ResidentBytes() const;

 private:
  void Reap(int options);

  pid_t pid = -1;
  std::optional<int> exit_code;
};

}  // namespace chervilspar::scenario
