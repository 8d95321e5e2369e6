#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilspar::prove {

/// Judges a run from outside: it sees what endpoints ran, what callers sent and got, what operators
/// published and when nothing was wrong. It uses plain values only and shares no code with the
/// modules. Times are microseconds of true time.
class Observer {
 public:
  enum class Answer { kNotRun, kMayHaveRun, kCompleted, kCompletedEarlier, kUnauthenticated };
  /// Whether every entry has had time to hear of what was done before.
  enum class Calm { kNo, kYes };

  /// Longest that a task may go on after the configuration that allowed it has been replaced and
  /// all entries have had time to learn of it.
  explicit Observer(std::int64_t longest_run_us) : longest_run_us(longest_run_us) {}

  void OnLimitPublished(std::int64_t now, const std::string& team, std::uint32_t limit);
  /// Nothing has been wrong since then: every entry has had time to act by what was published
  /// before.
  void OnCalm(std::int64_t since, std::int64_t now);

  void OnTaskStarted(std::int64_t now, const std::string& task, const std::string& team,
                     const std::string& request);
  void OnTaskEnded(std::int64_t now, const std::string& task);

  void OnKeyGiven(const std::string& key, const std::string& team);
  /// An operator has been told that the key is withdrawn for good.
  void OnKeyWithdrawn(std::int64_t now, const std::string& key);

  /// A caller sends a try; its number.
  std::uint64_t OnTry(std::int64_t now, const std::string& request, const std::string& key,
                      Calm calm);
  /// `body` names the request whose result it is.
  void OnAnswer(std::int64_t now, std::uint64_t number, Answer answer, const std::string& body);

  /// The operators' declaration of a VM, its pool, and how many VMs that pool must keep.
  void OnVmDeclared(const std::string& vm, const std::string& pool, std::uint32_t budget);
  void OnVmDraining(const std::string& vm, bool is_draining);
  void OnVmFailed(std::int64_t now, const std::string& vm);
  void OnVmBack(const std::string& vm);
  /// The platform restarts a VM on which `running` tasks run.
  void OnVmRebooted(std::int64_t now, const std::string& vm, std::uint32_t running);

  /// What an entry said of its configuration when asked.
  void OnVersionSeen(std::int64_t now, const std::string& entry, std::uint64_t life,
                     std::int64_t version, std::int64_t published);

  /// In the last phase every team is asked for more than its limit, and must reach it.
  void BeginLastPhase(std::int64_t now);
  void CheckLastPhase(std::int64_t now);

  const std::vector<std::string>& Violations() const { return this->violations; }
  std::uint64_t TasksStarted() const { return this->tasks_started; }
  std::uint64_t TriesSent() const { return this->tries.size(); }
  std::uint64_t Answered(Answer answer) const;

 private:
  struct Limit {
    std::uint32_t limit = 0;
    std::int64_t from = 0;
    /// When no task under it may run any more; none while it is or may be in force.
    std::optional<std::int64_t> over;
  };
  struct Team {
    std::vector<Limit> limits;
    std::uint32_t running = 0;
    std::uint32_t most_in_last_phase = 0;
  };
  struct Try {
    std::string request;
    std::string key;
    bool is_forbidden = false;
    std::optional<Answer> answer;
  };
  struct Key {
    std::string team;
    std::optional<std::int64_t> withdrawn_at;
  };
  struct Request {
    std::uint32_t starts = 0;
    std::vector<std::uint64_t> tries;
  };
  struct Task {
    std::string team;
    std::string request;
  };
  struct Seen {
    std::uint64_t life = 0;
    std::int64_t version = 0;
  };

  struct Vm {
    std::string pool;
    std::uint32_t budget = 0;
    bool is_up = true;
    bool is_draining = false;
    std::int64_t failed_at = 0;
  };

  std::uint32_t Allowed(const Team& team, std::int64_t now) const;
  bool HasOpenTry(const Request& request) const;
  bool IsAllowed(const Request& request, const std::string& team) const;
  bool IsForbidden(const std::string& key, std::int64_t now, Calm calm) const;
  void Violate(std::int64_t now, const std::string& what);

  std::int64_t longest_run_us;
  std::map<std::string, Team> teams;
  std::map<std::string, Task> tasks;
  std::map<std::string, Request> requests;
  std::map<std::string, Seen> seen;
  std::map<std::string, Key> keys;
  std::map<std::string, Vm> vms;
  std::vector<Try> tries;
  std::vector<std::string> violations;
  std::uint64_t tasks_started = 0;
  bool in_last_phase = false;
};

}  // namespace chervilspar::prove
