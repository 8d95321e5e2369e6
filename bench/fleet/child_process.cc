#include "bench/fleet/child_process.h"

#include <fcntl.h>
#include <fstream>
#include <signal.h>
#include <sstream>
#include <thread>
#include <unistd.h>

#include <sys/prctl.h>
#include <sys/wait.h>

#include "chervilspar/base/assert.h"

namespace chervilspar::scenario {

namespace {

constexpr std::chrono::milliseconds kPollInterval(5);
constexpr int kLogMode = 0644;
constexpr int kCannotExecute = 127;
/// Fields before `utime` in /proc/PID/stat, counted from the one after the command name.
constexpr int kFieldsBeforeUserTime = 11;

void AppendTo(const std::string& file, int stream) {
  dup2(open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode), stream);
}

[[noreturn]] void Execute(const std::vector<std::string>& arguments, const OutputFiles& files,
                          const std::vector<std::string>& environment) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  AppendTo(files.output, STDOUT_FILENO);
  AppendTo(files.errors, STDERR_FILENO);
  for (const std::string& variable : environment) {
    putenv(const_cast<char*>(variable.c_str()));
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  execv(pointers[0], pointers.data());
  _exit(kCannotExecute);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const OutputFiles& files,
                           const std::vector<std::string>& environment) {
  this->pid = fork();
  CHERVILSPAR_ASSERT(this->pid >= 0);
  if (this->pid == 0) {
    Execute(arguments, files, environment);
  }
}

ChildProcess::~ChildProcess() {
  if (this->IsRunning()) {
    kill(this->pid, SIGKILL);
    this->Reap(0);
  }
}

void ChildProcess::Signal(int signal) {
  if (this->IsRunning()) {
    kill(this->pid, signal);
  }
}

void ChildProcess::Reap(int options) {
  int status = 0;
  if (this->exit_code || waitpid(this->pid, &status, options) != this->pid) {
    return;
  }
  this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool ChildProcess::IsRunning() {
  this->Reap(WNOHANG);
  return !this->exit_code;
}

std::optional<int> ChildProcess::WaitForExit(Duration timeout) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + timeout;
  while (this->IsRunning() && clock.Now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->exit_code;
}

Duration ChildProcess::CpuTime() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/stat");
  std::string line;
  std::getline(file, line);
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) {
    return Duration::zero();
  }
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return std::chrono::microseconds((user + system) * 1'000'000 / sysconf(_SC_CLK_TCK));
}

std::size_t ChildProcess::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace chervilspar::scenario
